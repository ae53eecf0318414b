#include "filbertroad/wire/id_conversions.hpp"

namespace filbertroad::wire
{

model::process_id to_model(process_id const& id)
{
    return {id.name(), id.incarnation()};
}

process_id to_wire(model::process_id const& id)
{
    process_id message;
    message.set_name(id.name);
    message.set_incarnation(id.incarnation);
    return message;
}

model::job_id job_id_of(task_ref const& task)
{
    return {task.route(), task.key()};
}

task_ref make_task_ref(model::job_id const& job, std::uint32_t index)
{
    task_ref task;
    task.set_route(job.route);
    task.set_key(job.key);
    task.set_index(index);
    return task;
}

} // namespace filbertroad::wire

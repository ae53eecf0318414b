#include "filbertroad/submission/internal/outbox.hpp"

#include "filbertroad/base/hash.hpp"

namespace filbertroad::submission::internal
{

void outbox::answer(std::uint64_t request_number, wire::job_report report)
{
    this->add(reply{request_number, std::move(report)});
}

void outbox::answer(std::uint64_t request_number, wire::request_error error)
{
    this->add(reply{request_number, std::move(error)});
}

void outbox::refuse(std::uint64_t request_number, error_code code, std::string_view detail)
{
    this->answer(request_number, make_error(code, detail, base::hash64(detail, request_number)));
}

void outbox::acknowledge(model::process_id const& agent, wire::task_ref const& task)
{
    *this->acknowledgements[agent].add_tasks() = task;
}

std::vector<action> outbox::take()
{
    for (auto& [agent, acknowledgement] : this->acknowledgements)
    {
        this->actions.emplace_back(send_finished_ack{agent, std::move(acknowledgement)});
    }
    this->acknowledgements.clear();
    return std::exchange(this->actions, {});
}

} // namespace filbertroad::submission::internal

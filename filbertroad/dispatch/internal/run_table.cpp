#include "filbertroad/dispatch/internal/run_table.hpp"

#include <utility>

namespace filbertroad::dispatch::internal
{
namespace
{

/// Name that the tasks of a step have in common: that of the task without its last part.
std::string_view step_of(std::string_view task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

run_table::position run_table::position_of(agent_run const& run)
{
    return {run.order.priority, run.arrival_number, run.order.id.task};
}

agent_run& run_table::add(std::string_view entry, start_order order, base::steady_time now)
{
    auto& run = this->runs[order.id.task];
    run.entry = entry;
    run.target_run = order.id.run;
    run.order = std::move(order);
    run.arrival_number = ++this->last_arrival_number;
    run.arrived = now;
    this->queue.insert(position_of(run));
    return run;
}

agent_run* run_table::find(std::string_view task)
{
    auto const found = this->runs.find(task);
    return found == this->runs.end() ? nullptr : &found->second;
}

agent_run const* run_table::find(std::string_view task) const
{
    auto const found = this->runs.find(task);
    return found == this->runs.end() ? nullptr : &found->second;
}

void run_table::change(agent_run& run, run_state next)
{
    bool const was_queued = run.state == run_state::queued;
    bool const is_queued = next == run_state::queued;
    run.state = next;
    if (was_queued && !is_queued)
    {
        this->queue.erase(position_of(run));
        this->allocate(run);
    }
    else if (!was_queued && is_queued)
    {
        this->queue.insert(position_of(run));
        this->release(run);
    }
}

void run_table::erase(std::string const& task)
{
    auto const found = this->runs.find(task);
    if (found == this->runs.end())
    {
        return;
    }
    if (found->second.state == run_state::queued)
    {
        this->queue.erase(position_of(found->second));
    }
    else
    {
        this->release(found->second);
    }
    this->runs.erase(found);
}

void run_table::allocate(agent_run const& run)
{
    this->allocated_resources += run.order.resources;
    if (run.order.max_per_target != 0)
    {
        ++this->present_by_step[std::string(step_of(run.order.id.task))];
    }
}

void run_table::release(agent_run const& run)
{
    this->allocated_resources -= run.order.resources;
    auto const found = this->present_by_step.find(step_of(run.order.id.task));
    if (run.order.max_per_target != 0 && --found->second == 0)
    {
        this->present_by_step.erase(found);
    }
}

std::uint32_t run_table::present_of_step(start_order const& order) const
{
    auto const found = this->present_by_step.find(step_of(order.id.task));
    return found == this->present_by_step.end() ? 0 : found->second;
}

agent_run* run_table::first_queued()
{
    return this->queue.empty() ? nullptr : this->find(this->queue.begin()->task);
}

agent_run* run_table::queued_after(agent_run const& run)
{
    auto const next = this->queue.upper_bound(position_of(run));
    return next == this->queue.end() ? nullptr : this->find(next->task);
}

std::vector<std::string> run_table::queued() const
{
    std::vector<std::string> tasks;
    tasks.reserve(this->queue.size());
    for (auto const& place : this->queue)
    {
        tasks.push_back(place.task);
    }
    return tasks;
}

} // namespace filbertroad::dispatch::internal

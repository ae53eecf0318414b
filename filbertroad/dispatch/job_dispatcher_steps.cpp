/// Tasks of a job and the order of its steps.

#include "filbertroad/dispatch/internal/dispatch_job.hpp"

#include <utility>

namespace filbertroad::dispatch
{

void job_dispatcher::job::create_tasks()
{
    auto const& requested = this->request.steps;
    this->steps.resize(requested.size());
    for (std::size_t index = 0; index < requested.size(); ++index)
    {
        auto& step = this->steps[index];
        step.first_task = static_cast<std::uint32_t>(this->tasks.size());
        step.unfinished = requested[index].count;
        auto const prefix = this->request.key + ".0." + std::to_string(index) + ".";
        for (std::uint32_t number = 0; number < requested[index].count; ++number)
        {
            task item;
            item.name = prefix + std::to_string(number);
            item.step = index;
            item.estimate = requested[index].estimate;
            this->tasks.push_back(std::move(item));
        }
        for (auto const earlier : requested[index].after)
        {
            bool const is_blocking = this->steps[earlier].unfinished != 0;
            step.blocking += is_blocking ? 1 : 0;
            this->steps[earlier].successor_count += is_blocking ? 1 : 0;
        }
    }
    this->unfinished = this->tasks.size();
    std::uint32_t successor_total = 0;
    for (auto& step : this->steps)
    {
        step.first_successor = successor_total;
        successor_total += std::exchange(step.successor_count, 0);
    }
    this->successors.resize(successor_total);
    for (std::uint32_t index = 0; index < this->steps.size(); ++index)
    {
        for (auto const earlier : requested[index].after)
        {
            auto& step = this->steps[earlier];
            if (step.unfinished != 0)
            {
                this->successors[step.first_successor + step.successor_count++] = index;
            }
        }
    }
    for (auto& item : this->tasks)
    {
        if (this->steps[item.step].blocking == 0)
        {
            this->change(item, task_state::waiting);
        }
    }
}

void job_dispatcher::job::change(task& item, task_state next)
{
    auto const index = static_cast<std::uint32_t>(&item - this->tasks.data());
    auto& step = this->steps[item.step];
    auto const previous = std::exchange(item.state, next);
    if (previous == task_state::waiting)
    {
        this->waiting.erase(index);
    }
    else if (previous == task_state::sent)
    {
        this->sent.erase(index);
        --step.placed;
        auto const occupied = step.occupied.find(item.agent);
        if (occupied != step.occupied.end() && --occupied->second == 0)
        {
            step.occupied.erase(occupied);
        }
    }
    if (next == task_state::waiting)
    {
        this->waiting.insert(index);
    }
    else if (next == task_state::sent)
    {
        this->sent.insert(index);
        ++step.placed;
    }
    else if (next == task_state::succeeded)
    {
        ++step.placed;
        --this->unfinished;
        if (--step.unfinished == 0)
        {
            this->unblock_successors(step);
        }
    }
}

void job_dispatcher::job::unblock_successors(step_progress const& completed)
{
    for (std::uint32_t number = 0; number < completed.successor_count; ++number)
    {
        auto const successor = this->successors[completed.first_successor + number];
        auto& step = this->steps[successor];
        if (--step.blocking != 0)
        {
            continue;
        }
        for (std::uint32_t task = 0; task < this->request.steps[successor].count; ++task)
        {
            this->change(this->tasks[step.first_task + task], task_state::waiting);
        }
    }
}

void job_dispatcher::job::occupy(task const& item, std::string const& agent)
{
    if (this->limits_targets(item))
    {
        ++this->steps[item.step].occupied[agent];
    }
}

} // namespace filbertroad::dispatch

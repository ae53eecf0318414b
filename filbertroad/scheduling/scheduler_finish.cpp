#include "filbertroad/scheduling/internal/scheduler_state.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

namespace filbertroad::scheduling
{
namespace
{

/// Remembers the first target on which something happened, and whether others followed.
void note(std::uint32_t target, std::uint32_t& first, bool& several)
{
    several |= first != internal::no_index && first != target;
    first = first == internal::no_index ? target : first;
}

internal::job_evidence evidence_of(internal::job_record const* job, task_id const& task,
                                   std::uint32_t target)
{
    if (job == nullptr)
    {
        return {.job = task.job};
    }
    auto const elsewhere = [&](std::uint32_t first, bool several)
    { return several || (first != internal::no_index && first != target); };
    return {.job = task.job,
            .failed_elsewhere = elsewhere(job->failed_on, job->failed_on_several),
            .succeeded_elsewhere = elsewhere(job->succeeded_on, job->succeeded_on_several)};
}

} // namespace

void scheduler::adopt_running(task_id const& task, std::string_view team, std::string_view target,
                              base::steady_time now)
{
    auto& state = *this->content;
    state.advance(now);
    auto& record = state.team(team);
    auto const [position, is_new] = state.running.try_emplace(task);
    if (!is_new)
    {
        return;
    }
    auto const number = state.targets.find_or_add_closed(target);
    position->second = {number, &record, nullptr};
    state.targets.started(number);
    ++record.running;
}

void scheduler::task_finished(task_id const& task, finish how, std::chrono::microseconds run_time,
                              base::steady_time now)
{
    auto& state = *this->content;
    state.advance(now);
    auto const stopped = state.stop(task);
    if (!stopped)
    {
        return;
    }
    auto* const job = stopped->job;
    auto const target = stopped->target;
    if (how == finish::succeeded && job != nullptr)
    {
        state.targets.succeeded(target, job->route, run_time, now);
        note(target, job->succeeded_on, job->succeeded_on_several);
    }
    else if (how == finish::failed || how == finish::lost)
    {
        state.targets.failed(target, evidence_of(job, task, target), now);
        if (job != nullptr)
        {
            note(target, job->failed_on, job->failed_on_several);
        }
    }
    if (job != nullptr)
    {
        state.jobs.forget_if_done(*job);
    }
}

void scheduler::task_refused(task_id const& task, start_refusal reason, base::steady_time now)
{
    auto& state = *this->content;
    state.advance(now);
    auto const stopped = state.stop(task);
    if (!stopped)
    {
        return;
    }
    state.targets.refused(stopped->target, reason, now);
    if (stopped->job != nullptr)
    {
        state.jobs.put_back(*stopped->job, task.index);
    }
}

std::optional<running_task> scheduler::state::stop(task_id const& task)
{
    auto const found = this->running.find(task);
    if (found == this->running.end())
    {
        return std::nullopt;
    }
    auto const stopped = found->second;
    this->running.erase(found);
    this->targets.stopped(stopped.target);
    --stopped.team->running;
    if (stopped.job != nullptr)
    {
        --stopped.job->running;
    }
    return stopped;
}

} // namespace filbertroad::scheduling

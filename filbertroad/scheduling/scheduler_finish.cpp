#include "filbertroad/scheduling/internal/scheduler_state.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

namespace filbertroad::scheduling
{
namespace
{

/// Records a target in `first` if it is the first one, and in `several` whether there was another.
void record_target(std::uint32_t target, std::uint32_t& first, bool& several)
{
    several |= first != internal::no_index && first != target;
    first = first == internal::no_index ? target : first;
}

internal::failure_evidence make_failure_evidence(internal::job_record const* job,
                                                 task_id const& task, std::uint32_t target)
{
    if (job == nullptr)
    {
        return {.job = task.job};
    }
    auto const on_other_target = [&](std::uint32_t first, bool several)
    { return several || (first != internal::no_index && first != target); };
    return {.job = task.job,
            .failed_elsewhere =
                on_other_target(job->first_failed_target, job->failed_on_several_targets),
            .succeeded_elsewhere =
                on_other_target(job->first_succeeded_target, job->succeeded_on_several_targets)};
}

} // namespace

void scheduler::adopt_running(task_id const& task, std::string_view team, std::string_view target,
                              base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto& record = state.find_or_add_team(team);
    auto const [position, is_new] = state.running.try_emplace(task);
    if (!is_new)
    {
        return;
    }
    auto const target_index = state.targets.find_or_add_unannounced(target);
    position->second = {target_index, &record, nullptr};
    state.targets.started(target_index);
    ++record.running;
}

void scheduler::task_finished(task_id const& task, task_outcome outcome,
                              std::chrono::microseconds run_time, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto const stopped = state.remove_running(task);
    if (!stopped)
    {
        return;
    }
    auto* const job = stopped->job;
    auto const target = stopped->target;
    if (outcome == task_outcome::succeeded && job != nullptr)
    {
        state.targets.succeeded(target, job->route, run_time, now);
        record_target(target, job->first_succeeded_target, job->succeeded_on_several_targets);
    }
    else if (outcome == task_outcome::failed || outcome == task_outcome::lost)
    {
        state.targets.failed(target, make_failure_evidence(job, task, target), now);
        if (job != nullptr)
        {
            record_target(target, job->first_failed_target, job->failed_on_several_targets);
        }
    }
    if (job != nullptr)
    {
        state.jobs.erase_if_finished(*job);
    }
}

void scheduler::task_refused(task_id const& task, start_refusal reason, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto const stopped = state.remove_running(task);
    if (!stopped)
    {
        return;
    }
    state.targets.refused(stopped->target, reason, now);
    if (stopped->job != nullptr)
    {
        state.jobs.requeue(*stopped->job, task.index);
    }
}

std::optional<running_task> scheduler::state::remove_running(task_id const& task)
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

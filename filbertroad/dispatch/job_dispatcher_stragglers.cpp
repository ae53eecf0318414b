#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include "filbertroad/dispatch/internal/elapsed.hpp"

#include <algorithm>

namespace filbertroad::dispatch
{

std::string_view to_string(move_reason reason)
{
    switch (reason)
    {
    case move_reason::overdue:
        return "overdue";
    case move_reason::target_delayed:
        return "target_delayed";
    case move_reason::longer_than_tail:
        return "longer_than_tail";
    case move_reason::none:
        break;
    }
    return "none";
}

internal::run_time job_dispatcher::time_so_far(job const& parent_job, task const& item) const
{
    auto const elapsed = internal::elapsed(item.sent, this->clock.steady_now());
    auto const stall_timeout =
        internal::scaled(item.expected, this->limits.stall_factor) + this->limits.stall_slack;
    // The estimate of the task is raised after a move; run times are learned by that of the job.
    auto const declared =
        std::max<std::int64_t>(parent_job.request.steps[item.step].estimate.count(), 1);
    auto const raised = static_cast<double>(item.order.estimate.count()) /
                        (static_cast<double>(declared) * item.run_factor);
    auto const running = elapsed - (item.expected - item.expected_run);
    auto const expected_run = std::max<std::int64_t>(item.expected_run.count(), 1);
    return {.ratio =
                raised * static_cast<double>(running.count()) / static_cast<double>(expected_run),
            .is_overdue = elapsed >= stall_timeout,
            .is_stopped = true};
}

void job_dispatcher::move_if_overdue(job& parent_job, task& item)
{
    auto const so_far = this->time_so_far(parent_job, item);
    if (item.is_cancel_sent || !so_far.is_overdue)
    {
        return;
    }
    auto const& request = parent_job.request;
    auto const reason =
        this->stragglers.reason_to_move(request.service, request.route, so_far.ratio,
                                        this->agents.find(item.agent)->second.status().progress);
    if (reason == move_reason::none)
    {
        return;
    }
    auto const now = this->clock.steady_now();
    auto const other = this->choose_placement(parent_job, item, item.agent);
    bool const can_finish_elsewhere =
        other && *other->agent != item.agent &&
        now + other->wait + other->run + this->limits.stall_slack < parent_job.deadline;
    auto const work = static_cast<double>(internal::elapsed(item.sent, now).count()) *
                      static_cast<double>(item.order.resources.cpu) / 1000;
    if (can_finish_elsewhere && this->stragglers.spend(work, now))
    {
        item.is_cancel_sent = true;
        item.moved = reason;
        this->actions.emplace_back(send_cancel{item.agent, item.order.id, reason, work});
    }
}

void job_dispatcher::learn_run_time(job const& parent_job, task const& item,
                                    run_report const& report)
{
    auto const& status = this->agents.find(item.agent)->second.status();
    bool const is_stopped = report.end == run_end::lost && item.is_cancel_sent;
    bool const is_known = report.end == run_end::succeeded || is_stopped;
    // The target may make progress again by now.
    bool const was_delayed = is_stopped && item.moved == move_reason::target_delayed;
    if (!is_known || was_delayed || report.target_lost || report.elapsed <= milliseconds(0) ||
        status.progress != target_progress_state::normal)
    {
        return;
    }
    auto const& request = parent_job.request;
    auto const estimate =
        static_cast<double>(std::max<std::int64_t>(request.steps[item.step].estimate.count(), 1));
    auto const elapsed = static_cast<double>(report.elapsed.count());
    // A run far from its data takes longer, which is no tail of the route.
    auto const expected = estimate * item.run_factor / status.speed;
    auto const stall_timeout = this->limits.stall_factor * expected +
                               static_cast<double>(this->limits.stall_slack.count());
    this->stragglers.observe(request.service, request.route, item.agent,
                             {.ratio = elapsed / expected,
                              .is_overdue = elapsed >= stall_timeout,
                              .is_stopped = is_stopped});
}

void job_dispatcher::learn_from_stopped_runs(job const& parent_job)
{
    auto const& request = parent_job.request;
    for (auto const& item : parent_job.tasks)
    {
        // Whether a start that may wait has left the agent's queue is not known here.
        bool const is_running = item.state == task_state::sent && !item.is_cancel_sent &&
                                item.order.queue_timeout == milliseconds(0);
        if (!is_running || this->agents.find(item.agent)->second.status().progress !=
                               target_progress_state::normal)
        {
            continue;
        }
        auto const so_far = this->time_so_far(parent_job, item);
        if (so_far.is_overdue)
        {
            this->stragglers.observe(request.service, request.route, item.agent, so_far);
        }
    }
}

} // namespace filbertroad::dispatch

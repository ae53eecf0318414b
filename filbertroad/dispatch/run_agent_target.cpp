#include "filbertroad/dispatch/run_agent.hpp"

#include "filbertroad/dispatch/internal/elapsed.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace filbertroad::dispatch
{

using internal::agent_run;
using internal::run_state;

namespace
{

/// Increment of the fencing token after a refusal. It is far above the sum of the increments that
/// lost answers can have caused.
constexpr std::uint64_t fencing_step = 1000;

} // namespace

void run_agent::start_answered(run_id const& id, std::uint64_t order_number, start_answer answer)
{
    auto* const run = this->runs.find(id.task);
    // The target may have refused an earlier start with the same run number.
    if (run == nullptr || run->order_number != order_number || run->state == run_state::queued)
    {
        return;
    }
    if (answer == start_answer::accepted)
    {
        run->is_start_confirmed = true;
        run->start_answered = this->clock.steady_now();
        this->cover_lease_of_earlier_orders(run->fencing_token);
        if (run->state == run_state::starting)
        {
            this->runs.change(*run, run_state::running);
        }
        return;
    }
    if (answer == start_answer::none)
    {
        // The next order that the target accepts fences the unanswered start. The start can then no
        // longer be executed, not even by a process that restarts under the target's id.
        this->raise_fencing_token(run->fencing_token, 1);
        if (run->state == run_state::starting && !run->is_start_confirmed)
        {
            this->verify_start(*run);
        }
        return;
    }
    if (run->state == run_state::stopping)
    {
        this->end_run(id.task, run_end::not_started, run->stop_reason);
        return;
    }
    switch (answer)
    {
    case start_answer::fenced:
        this->raise_fencing_token(run->fencing_token, fencing_step);
        this->requeue(*run);
        break;
    case start_answer::stale_run:
        ++run->target_run;
        this->requeue(*run);
        break;
    case start_answer::lease_expired:
    case start_answer::insufficient_resources:
    case start_answer::not_sent:
        this->requeue(*run);
        break;
    case start_answer::unhealthy:
        this->last_unhealthy = this->clock.steady_now();
        // A target that has crashed does not answer.
        this->actions.emplace_back(poll_runs{});
        this->backoff_until = this->last_unhealthy + this->limits.unhealthy_backoff;
        this->end_run(id.task, run_end::not_started, "target unhealthy");
        this->return_queued_runs("target unhealthy");
        break;
    default:
        this->end_run(id.task, run_end::not_started, "target rejected the start");
        break;
    }
}

void run_agent::verify_start(agent_run& run)
{
    run.verification_sent = this->clock.steady_now();
    this->actions.emplace_back(poll_runs{});
}

void run_agent::requeue(agent_run& run)
{
    run.verification_sent.reset();
    this->runs.change(run, run_state::queued);
    run.is_start_confirmed = false;
    run.is_target_lost = false;
    this->mark_status_changed();
}

void run_agent::stop_answered(run_id const& id, bool answered)
{
    auto* const run = this->runs.find(id.task);
    if (run != nullptr && run->target_run == id.run && run->state == run_state::stopping &&
        answered && !run->is_stop_answered)
    {
        run->is_stop_answered = true;
        run->stop_answered = this->clock.steady_now();
        this->actions.emplace_back(poll_runs{});
    }
}

renewal run_agent::make_renewal()
{
    auto const now = this->clock.steady_now();
    renewal next{this->fencing_token, this->last_seen, std::nullopt, now};
    // The runs of an earlier agent have to end: their entries count on the end of the lease that it
    // granted.
    if (this->is_reachable() && this->recovered && !this->is_lease_withheld())
    {
        next.lease_until_ms = this->grant_lease();
    }
    return next;
}

base::steady_time run_agent::end_due(agent_run const& run) const
{
    // A run that has to end may not have been stopped yet, if tick() is late.
    return run.state == run_state::stopping ? run.stop_due : this->entry_lease_end(run.entry);
}

bool run_agent::is_lease_withheld() const
{
    auto const now = this->clock.steady_now();
    bool is_withheld = false;
    this->runs.for_each(
        [&](agent_run const& run)
        {
            is_withheld =
                is_withheld || (run.state != run_state::queued &&
                                now - this->end_due(run) > this->limits.stop_confirmation_timeout);
        });
    return is_withheld;
}

milliseconds run_agent::lease_duration() const
{
    auto const now = this->clock.steady_now();
    auto end = now + this->limits.target_lease;
    this->runs.for_each(
        [&](agent_run const& run)
        {
            if (run.state != run_state::queued)
            {
                end = std::min(end, this->end_due(run) + this->limits.target_lease);
            }
        });
    return internal::elapsed(now, std::max(now, end));
}

std::uint64_t run_agent::grant_lease()
{
    auto const now = this->clock.steady_now();
    auto const target_now =
        this->target_clock_ms +
        static_cast<std::uint64_t>(internal::elapsed(this->target_clock_at, now).count());
    auto const until = target_now + static_cast<std::uint64_t>(this->lease_duration().count());
    // The target's clock was at least `target_clock_ms` when its answer was received.
    auto const longest =
        static_cast<double>(until - this->target_clock_ms) / this->limits.min_clock_rate;
    this->leases_expire_at =
        std::max(this->leases_expire_at,
                 this->target_clock_at + milliseconds(static_cast<std::int64_t>(longest) + 1));
    return until;
}

void run_agent::cover_lease_of_earlier_orders(std::uint64_t token)
{
    if (!this->token_after_restart)
    {
        return;
    }
    auto const longest = static_cast<double>(this->limits.longest_target_lease.count()) /
                         this->limits.min_clock_rate;
    this->leases_expire_at =
        std::max(this->leases_expire_at,
                 this->clock.steady_now() + milliseconds(static_cast<std::int64_t>(longest) + 1));
    if (token >= *this->token_after_restart)
    {
        this->token_after_restart.reset();
    }
}

bool run_agent::does_lease_outlast(std::string_view entry) const
{
    // grant_lease() counts from the last contact, on the slowest clock.
    auto const since_contact =
        static_cast<double>((this->limits.target_lease + this->limits.contact_timeout).count()) /
        this->limits.min_clock_rate;
    auto const longest =
        milliseconds(static_cast<std::int64_t>(since_contact) + 1) - this->limits.contact_timeout;
    return this->leases_expire_at > this->entry_lease_end(entry) + longest;
}

bool run_agent::is_reachable() const
{
    return this->listed_incarnation != 0 &&
           this->clock.steady_now() - this->target_clock_at < this->limits.contact_timeout;
}

void run_agent::renewal_answered(renewal const& sent, run_list const& list)
{
    if (list.incarnation < this->listed_incarnation)
    {
        return;
    }
    if (list.incarnation > this->listed_incarnation)
    {
        if (this->listed_incarnation != 0)
        {
            this->target_restarted(sent);
        }
        this->listed_incarnation = list.incarnation;
        this->last_seen = 0;
        this->target_clock_ms = 0;
        this->use_announcement(list.incarnation);
    }
    for (auto const& finish : list.finished)
    {
        if (finish.number > this->last_seen)
        {
            this->handle_finished_run(finish);
            this->last_seen = finish.number;
        }
    }
    if (list.clock_ms < this->target_clock_ms)
    {
        // A newer answer has already been processed; this list is outdated.
        this->start_queued();
        return;
    }
    this->target_clock_ms = list.clock_ms;
    this->target_clock_at = this->clock.steady_now();
    this->cover_lease_of_earlier_orders(sent.fencing_token);
    this->reconcile_with_list(sent, list);
    this->stop_unknown_runs(list);
    if (!this->recovered && !this->has_unknown_runs)
    {
        this->recovered = true;
        this->mark_status_changed();
    }
    this->start_queued();
}

void run_agent::renewal_fenced(renewal const& sent)
{
    this->raise_fencing_token(sent.fencing_token, fencing_step);
}

void run_agent::raise_fencing_token(std::uint64_t used, std::uint64_t step)
{
    // The refusal of an order with an earlier token says nothing about the current token.
    if (used >= this->fencing_token)
    {
        this->fencing_token = used + step;
    }
}

bool run_agent::had_run_at_last_contact(agent_run const& run) const
{
    bool const was_stopped_before =
        run.state == run_state::stopping && run.stop_due <= this->target_clock_at;
    return run.state != run_state::queued && !was_stopped_before;
}

bool run_agent::started_before_crash(agent_run const& run) const
{
    return run.state != run_state::queued && run.is_start_confirmed &&
           this->target_clock_at - run.started <= this->limits.crash_suspicion_time;
}

void run_agent::record_crash()
{
    if (this->last_heard_before_crash == this->target_clock_at)
    {
        return;
    }
    this->last_heard_before_crash = this->target_clock_at;
    std::set<std::string> routes;
    this->runs.for_each(
        [&](agent_run const& run)
        {
            if (this->started_before_crash(run))
            {
                routes.insert(run.order.route);
            }
        });
    if (routes.empty())
    {
        return;
    }
    ++this->crash_count;
    this->crashed_at = this->clock.steady_now();
    this->crash_routes.assign(routes.begin(), routes.end());
    this->mark_status_changed();
}

void run_agent::mark_lost_with_target(agent_run& run) const
{
    if (!run.is_target_lost && this->had_run_at_last_contact(run))
    {
        run.is_target_lost = true;
        run.target_last_heard = this->target_clock_at;
    }
}

bool run_agent::is_target_silent() const
{
    return !this->is_reachable() && this->pause_ended_at <= this->target_clock_at &&
           this->leaving_incarnation != this->listed_incarnation;
}

void run_agent::target_restarted(renewal const& sent)
{
    bool const has_crashed = this->leaving_incarnation != this->listed_incarnation;
    if (has_crashed)
    {
        this->record_crash();
    }
    this->runs.for_each(
        [&](agent_run& run)
        {
            if (has_crashed)
            {
                this->mark_lost_with_target(run);
            }
            if (run.state == run_state::stopping)
            {
                run.is_stop_answered = false;
            }
            // The new process may have accepted a start that was sent to the old one. Starts
            // accepted before the list was requested are in the list. For the others only a stop
            // proves that they do not run.
            bool const is_unconfirmed =
                run.state == run_state::starting ||
                (run.state == run_state::running && run.start_answered >= sent.made);
            if (is_unconfirmed)
            {
                this->stop(run, "target restarted");
            }
        });
    this->return_queued_runs("target restarted");
    this->has_unknown_runs = false;
    // The new process has none of these runs unless it has executed a late order.
    this->recently_ended_runs.clear();
    // Orders to the earlier process that are still in flight must not take effect on the new
    // process, which does not know the numbers of runs that ended.
    this->raise_fencing_token(this->fencing_token, fencing_step);
    this->token_after_restart = this->fencing_token;
}

void run_agent::handle_finished_run(finished_run const& finish)
{
    auto* const run = this->runs.find(finish.id.task);
    if (run == nullptr || run->target_run != finish.id.run || run->state == run_state::queued)
    {
        return;
    }
    auto const elapsed = internal::elapsed(run->started, this->clock.steady_now());
    run->is_start_confirmed = true;
    run->is_target_lost = false;
    switch (finish.end)
    {
    case finish_reason::done:
        this->record_completed_run(*run, elapsed);
        this->end_run(finish.id.task, run_end::succeeded, "");
        break;
    case finish_reason::failed:
        this->end_run(finish.id.task, run_end::failed, "target reported a failure");
        break;
    case finish_reason::stopped:
        this->end_run(finish.id.task, run_end::lost,
                      run->stop_reason.empty() ? "stopped" : run->stop_reason);
        break;
    case finish_reason::expired:
        this->end_run(finish.id.task, run_end::lost, "lease over");
        break;
    case finish_reason::other:
        this->end_run(finish.id.task, run_end::lost, "ended by the target");
        break;
    }
}

void run_agent::reconcile_with_list(renewal const& sent, run_list const& list)
{
    std::set<std::pair<std::string_view, std::uint32_t>> running;
    std::set<std::string_view> running_tasks;
    for (auto const& listed : list.running)
    {
        running.emplace(listed.id.task, listed.id.run);
        running_tasks.insert(listed.id.task);
    }
    std::vector<std::string> ended_tasks;
    this->runs.for_each(
        [&](agent_run& run)
        {
            bool const is_listed = running.contains({run.order.id.task, run.target_run});
            if (run.state == run_state::queued)
            {
                return;
            }
            if (is_listed)
            {
                run.is_target_lost = false;
                if (!run.is_start_confirmed)
                {
                    run.is_start_confirmed = true;
                    run.start_answered = this->clock.steady_now();
                }
                if (run.state == run_state::starting)
                {
                    this->runs.change(run, run_state::running);
                }
                return;
            }
            // The target has executed a late order, whose run is stopped. The task may not start
            // elsewhere before that run has ended.
            if (running_tasks.contains(run.order.id.task))
            {
                return;
            }
            // Only a list that was requested after the answer proves that the run has ended.
            bool const start_is_old =
                run.state == run_state::running && sent.made > run.start_answered;
            bool const stop_is_old = run.state == run_state::stopping && run.is_stop_answered &&
                                     sent.made >= run.stop_answered;
            // The target has seen a higher token than that of the start and does not list the run.
            // It refuses the start from now on.
            bool const start_is_fenced =
                !run.is_start_confirmed && sent.fencing_token > run.fencing_token;
            if (start_is_old || stop_is_old || start_is_fenced)
            {
                ended_tasks.push_back(run.order.id.task);
            }
        });
    for (auto const& task : ended_tasks)
    {
        auto const& run = *this->runs.find(task);
        // An unanswered start may still reach a later process under the target's id. The run is
        // therefore reported as lost, not as not started.
        std::string const missing =
            run.is_start_confirmed ? "missing from the target's list" : "start not answered";
        this->end_run(task, run_end::lost, run.stop_reason.empty() ? missing : run.stop_reason);
    }
}

void run_agent::stop_unknown_runs(run_list const& list)
{
    this->has_unknown_runs = false;
    for (auto const& listed : list.running)
    {
        auto const* const run = this->runs.find(listed.id.task);
        bool const is_known =
            run != nullptr && run->state != run_state::queued && run->target_run == listed.id.run;
        if (!is_known && !this->ended_recently(listed.id))
        {
            this->has_unknown_runs = true;
            this->actions.emplace_back(
                stop_run{listed.id, this->answering_process(), this->fencing_token});
        }
    }
}

bool run_agent::ended_recently(run_id const& id) const
{
    auto const found = this->recently_ended_runs.find(id.task);
    return found != this->recently_ended_runs.end() && found->second.first == id.run;
}

} // namespace filbertroad::dispatch

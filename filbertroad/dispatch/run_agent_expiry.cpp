#include "filbertroad/dispatch/run_agent.hpp"

namespace filbertroad::dispatch
{

using internal::agent_run;
using internal::run_state;

void run_agent::tick()
{
    auto const now = this->clock.steady_now();
    if (this->last_tick && now - *this->last_tick > this->limits.contact_timeout)
    {
        this->pause_ended_at = now;
    }
    this->last_tick = now;
    if (!this->is_reachable())
    {
        this->return_queued_runs("target unreachable");
    }
    bool const is_refusing = this->target_clock_at < this->last_unhealthy &&
                             now - this->last_unhealthy > this->limits.order_timeout;
    if (this->is_target_silent() || is_refusing)
    {
        this->record_crash();
    }
    this->record_overdue_runs();
    this->expire_entries();
    this->expire_leases();
    this->expire_queued();
    this->resend_unanswered_orders();
    this->start_queued();
}

void run_agent::expire_entries()
{
    this->runs.for_each(
        [&](agent_run& run)
        {
            bool const is_active =
                run.state == run_state::starting || run.state == run_state::running;
            if (is_active && !this->has_entry_lease(run.entry))
            {
                this->stop(run, "entry silent");
            }
        });
    auto const now = this->clock.steady_now();
    std::erase_if(this->recently_ended_runs, [&](auto const& item)
                  { return now - item.second.second > this->limits.max_reordering_delay; });
    std::erase_if(this->sessions,
                  [&](auto const& item)
                  {
                      auto const& until = item.second.entry_lease_until;
                      return until != base::steady_time{} &&
                             now - until > this->limits.session_retention;
                  });
}

void run_agent::expire_leases()
{
    if (this->clock.steady_now() <= this->leases_expire_at)
    {
        return;
    }
    bool const is_silent = this->is_target_silent();
    std::vector<std::string> ended_tasks;
    this->runs.for_each(
        [&](agent_run& run)
        {
            if (run.is_start_confirmed && run.state != run_state::queued)
            {
                if (is_silent)
                {
                    this->mark_lost_with_target(run);
                }
                ended_tasks.push_back(run.order.id.task);
            }
        });
    for (auto const& task : ended_tasks)
    {
        this->end_run(task, run_end::lost, "lease over");
    }
}

void run_agent::expire_queued()
{
    auto const now = this->clock.steady_now();
    for (auto* next = this->runs.first_queued(); next != nullptr;)
    {
        auto const& run = *next;
        next = this->runs.queued_after(run);
        if (now - run.arrived > run.order.queue_timeout)
        {
            this->end_run(run.order.id.task, run_end::not_started, "no room in time");
        }
    }
}

void run_agent::resend_unanswered_orders()
{
    auto const now = this->clock.steady_now();
    auto const answered_resend_timeout = this->limits.order_timeout +
                                         this->limits.stop_grace_period +
                                         this->limits.stop_confirmation_timeout;
    this->runs.for_each(
        [&](agent_run& run)
        {
            bool const is_verification_due =
                run.state == run_state::starting && run.verification_sent &&
                now - *run.verification_sent > this->limits.order_timeout;
            if (is_verification_due)
            {
                this->verify_start(run);
            }
            if (run.state != run_state::stopping)
            {
                return;
            }
            auto const resend_timeout =
                run.is_stop_answered ? answered_resend_timeout : this->limits.order_timeout;
            if (now - run.stop_sent > resend_timeout)
            {
                this->send_stop(run);
            }
        });
}

} // namespace filbertroad::dispatch

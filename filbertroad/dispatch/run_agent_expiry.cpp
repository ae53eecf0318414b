#include "filbertroad/dispatch/run_agent.hpp"

namespace filbertroad::dispatch
{

using internal::agent_run;
using internal::run_state;

void run_agent::tick()
{
    if (!this->is_reachable())
    {
        this->return_queue("target unreachable");
    }
    this->expire_entries();
    this->expire_leases();
    this->expire_queued();
    this->repeat_orders();
    this->start_queued();
}

void run_agent::expire_entries()
{
    this->runs.for_each(
        [&](agent_run& run)
        {
            bool const is_active =
                run.state == run_state::starting || run.state == run_state::running;
            if (is_active && !this->has_authority(run.entry))
            {
                this->stop(run, "entry silent");
            }
        });
    auto const now = this->clock.steady_now();
    std::erase_if(this->ended_runs, [&](auto const& item)
                  { return now - item.second.second > this->limits.crossing_time; });
    std::erase_if(this->sessions,
                  [&](auto const& item)
                  {
                      auto const& until = item.second.authority_until;
                      return until != base::steady_time{} &&
                             now - until > this->limits.session_retention;
                  });
}

void run_agent::expire_leases()
{
    if (this->clock.steady_now() <= this->leases_over_at)
    {
        return;
    }
    std::vector<std::string> over;
    this->runs.for_each(
        [&](agent_run const& run)
        {
            if (run.is_known_started && run.state != run_state::queued)
            {
                over.push_back(run.order.id.task);
            }
        });
    for (auto const& task : over)
    {
        this->end_run(task, run_end::lost, "lease over");
    }
}

void run_agent::expire_queued()
{
    auto const now = this->clock.steady_now();
    for (auto const& task : this->runs.queued())
    {
        auto const& run = *this->runs.find(task);
        if (now - run.arrived > run.order.useful_for)
        {
            this->end_run(task, run_end::not_started, "no room in time");
        }
    }
}

void run_agent::repeat_orders()
{
    auto const now = this->clock.steady_now();
    auto const answered_patience =
        this->limits.order_timeout + this->limits.stop_time + this->limits.stop_patience;
    this->runs.for_each(
        [&](agent_run& run)
        {
            bool const is_look_due = run.state == run_state::starting && run.looked_for &&
                                     now - *run.looked_for > this->limits.order_timeout;
            if (is_look_due)
            {
                this->look_for(run);
            }
            if (run.state != run_state::stopping)
            {
                return;
            }
            auto const patience =
                run.is_stop_answered ? answered_patience : this->limits.order_timeout;
            if (now - run.stop_sent > patience)
            {
                this->send_stop(run);
            }
        });
}

} // namespace filbertroad::dispatch

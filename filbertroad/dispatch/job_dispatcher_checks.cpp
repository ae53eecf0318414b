#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"

#include <algorithm>

namespace filbertroad::dispatch
{

void job_dispatcher::tick()
{
    auto const now = this->clock.steady_now();
    if (this->last_tick && now - *this->last_tick > this->limits.longest_tick_interval)
    {
        this->pause_ended_at = now;
    }
    this->last_tick = now;
    for (auto next = this->jobs.begin(); next != this->jobs.end();)
    {
        // A check ends no other job.
        auto& parent_job = *(next++)->second;
        this->check_job(parent_job);
        this->remove_if_ended(parent_job);
    }
}

void job_dispatcher::check_job(job& parent_job)
{
    auto const& sent = parent_job.sent;
    for (auto next = sent.first_from(0); next; next = sent.first_from(*next + 1))
    {
        ++this->visits.tasks;
        this->check_task(parent_job, parent_job.tasks[*next]);
        if (parent_job.is_ended)
        {
            return;
        }
    }
    auto const now = this->clock.steady_now();
    if (now >= parent_job.deadline)
    {
        this->give_up(parent_job, "time budget over");
        return;
    }
    this->place_waiting_tasks(parent_job);
    if (parent_job.is_ended || this->give_up_if_too_late(parent_job))
    {
        return;
    }
    if (parent_job.waiting.empty())
    {
        return;
    }
    auto const placement_timeout =
        internal::scaled(parent_job.objective, this->limits.placement_timeout_factor);
    // The targets that suspects may use take work again only after their restart, which takes
    // longer than the objective.
    bool const is_hopeless = is_not_run(parent_job) || this->is_isolated(parent_job);
    if (is_hopeless && now - parent_job.arrived > placement_timeout)
    {
        this->give_up(parent_job, "no target takes work");
    }
}

void job_dispatcher::check_task(job& parent_job, task& item)
{
    auto const now = this->clock.steady_now();
    auto const& view = this->agents.find(item.agent)->second;
    auto const time_since_contact = now - view.last_contact();
    bool const may_have_unread_messages = now - this->pause_ended_at < this->limits.catch_up_time;
    if (time_since_contact > this->limits.entry_lease && may_have_unread_messages)
    {
        return;
    }
    if (time_since_contact > this->limits.runs_expire_after)
    {
        // The start may still wait in the agent's queue, or be under way to it.
        this->actions.emplace_back(send_cancel{.agent = item.agent, .id = item.order.id});
        this->handle_run_end(
            parent_job, item, item.agent,
            {.id = {item.name, item.run}, .end = run_end::lost, .reason = "agent silent"});
        return;
    }
    if (time_since_contact > this->limits.entry_lease)
    {
        // The agent is stopping the run by now. A further run cannot start before the leases have
        // expired, so whether it can still end in time is known.
        auto const retry_end =
            view.last_contact() + this->limits.runs_expire_after + item.order.estimate;
        if (retry_end > parent_job.deadline)
        {
            parent_job.may_have_run = true;
            this->finish(parent_job, job_outcome::given_up, "agent silent");
        }
        return;
    }
    this->move_if_overdue(parent_job, item);
}

} // namespace filbertroad::dispatch

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"

#include <algorithm>

namespace filbertroad::dispatch
{

void job_dispatcher::tick()
{
    std::vector<std::string> keys;
    keys.reserve(this->jobs.size());
    for (auto const& [key, owner] : this->jobs)
    {
        keys.push_back(key);
    }
    for (auto const& key : keys)
    {
        if (auto const found = this->jobs.find(key); found != this->jobs.end())
        {
            this->check_job(*found->second);
            this->remove_if_ended(*found->second);
        }
    }
}

void job_dispatcher::check_job(job& owner)
{
    for (auto& item : owner.tasks)
    {
        if (owner.is_ended)
        {
            return;
        }
        if (item.state == task_state::sent)
        {
            this->check_task(owner, item);
        }
    }
    if (owner.is_ended)
    {
        return;
    }
    auto const now = this->clock.steady_now();
    if (now >= owner.deadline)
    {
        this->give_up(owner, "time budget over");
        return;
    }
    this->place_waiting_tasks(owner);
    if (owner.is_ended || this->give_up_if_too_late(owner))
    {
        return;
    }
    bool const is_unplaced =
        std::any_of(owner.tasks.begin(), owner.tasks.end(),
                    [](task const& item) { return item.state == task_state::waiting; });
    auto const placement_timeout =
        internal::scaled(owner.objective, this->limits.placement_timeout_factor);
    if (is_unplaced && is_not_run(owner) && now - owner.arrived > placement_timeout)
    {
        this->finish(owner, job_outcome::not_run, "no target takes work");
    }
}

void job_dispatcher::check_task(job& owner, task& item)
{
    auto const now = this->clock.steady_now();
    auto const& view = this->agents.find(item.agent)->second;
    auto const silence = now - view.last_contact();
    if (silence > this->limits.runs_expire_after)
    {
        this->handle_run_end(owner, item, item.agent,
                             {{item.name, item.run}, run_end::lost, "agent silent", {}, {}});
        return;
    }
    if (silence > this->limits.entry_lease)
    {
        // The agent is stopping the run by now. A further run cannot start before the leases have
        // expired, so whether it can still end in time is known.
        auto const again =
            view.last_contact() + this->limits.runs_expire_after + item.order.estimate;
        if (again > owner.deadline)
        {
            owner.may_have_run = true;
            this->finish(owner, job_outcome::given_up, "agent silent");
        }
        return;
    }
    auto const stall_timeout =
        internal::scaled(item.expected, this->limits.stall_factor) + this->limits.stall_slack;
    if (item.is_cancel_sent || now - item.sent < stall_timeout)
    {
        return;
    }
    auto const other = this->choose_placement(owner, item, item.agent);
    bool const helps = other && *other->agent != item.agent &&
                       now + other->wait + other->run + this->limits.stall_slack < owner.deadline;
    if (helps)
    {
        item.is_cancel_sent = true;
        this->actions.emplace_back(send_cancel{item.agent, item.order.id});
    }
}

} // namespace filbertroad::dispatch

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
            this->settle(*found->second);
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
    this->place_waiting(owner);
    if (owner.is_ended || this->refuse_if_too_late(owner))
    {
        return;
    }
    bool const is_unplaced =
        std::any_of(owner.tasks.begin(), owner.tasks.end(),
                    [](task const& item) { return item.state == task_state::waiting; });
    auto const patience = internal::scaled(owner.objective, this->limits.waiting_share);
    if (is_unplaced && is_not_run(owner) && now - owner.arrived > patience)
    {
        this->finish(owner, job_outcome::not_run, "no target takes work");
    }
}

void job_dispatcher::check_task(job& owner, task& item)
{
    auto const now = this->clock.steady_now();
    auto const& view = this->agents.find(item.agent)->second;
    auto const silence = now - view.last_heard();
    if (silence > this->limits.runs_over_after)
    {
        this->take_end(owner, item, item.agent,
                       {{item.name, item.run}, run_end::lost, "agent silent", {}, {}});
        return;
    }
    if (silence > this->limits.authority)
    {
        // The run is being stopped by now; whether a further one can end in time is known.
        auto const again = view.last_heard() + this->limits.runs_over_after + item.order.estimate;
        if (again > owner.deadline)
        {
            owner.may_have_run = true;
            this->finish(owner, job_outcome::given_up, "agent silent");
        }
        return;
    }
    auto const patience =
        internal::scaled(item.expected, this->limits.stall_factor) + this->limits.stall_slack;
    if (item.is_cancel_sent || now - item.sent < patience)
    {
        return;
    }
    auto const other = this->choose(owner, item, item.agent);
    bool const helps = other && *other->agent != item.agent &&
                       now + other->wait + other->run + this->limits.stall_slack < owner.deadline;
    if (helps)
    {
        item.is_cancel_sent = true;
        this->actions.emplace_back(send_cancel{item.agent, item.order.id});
    }
}

} // namespace filbertroad::dispatch

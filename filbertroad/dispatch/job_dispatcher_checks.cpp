#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include <algorithm>

namespace filbertroad::dispatch
{

void job_dispatcher::tick()
{
    std::vector<std::string> keys;
    keys.reserve(this->jobs.size());
    for (auto const& [key, of] : this->jobs)
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

void job_dispatcher::check_job(job& of)
{
    for (auto& item : of.tasks)
    {
        if (of.is_ended)
        {
            return;
        }
        if (item.state == task_state::sent)
        {
            this->check_task(of, item);
        }
    }
    if (of.is_ended)
    {
        return;
    }
    auto const now = this->clock.steady_now();
    if (now >= of.deadline)
    {
        this->give_up(of, "time budget over");
        return;
    }
    this->place_waiting(of);
    if (of.is_ended || this->refuse_if_too_late(of))
    {
        return;
    }
    bool const is_unplaced =
        std::any_of(of.tasks.begin(), of.tasks.end(),
                    [](task const& item) { return item.state == task_state::waiting; });
    auto const patience = internal::scaled(of.objective, this->limits.waiting_share);
    if (is_unplaced && is_not_run(of) && now - of.arrived > patience)
    {
        this->finish(of, job_outcome::not_run, "no target takes work");
    }
}

void job_dispatcher::check_task(job& of, task& item)
{
    auto const now = this->clock.steady_now();
    auto const& view = this->agents.find(item.agent)->second;
    auto const silence = now - view.last_heard();
    if (silence > this->limits.runs_over_after)
    {
        this->take_end(of, item, item.agent,
                       {{item.name, item.run}, run_end::lost, "agent silent", {}, {}});
        return;
    }
    if (silence > this->limits.authority)
    {
        // The run is being stopped by now; whether a further one can end in time is known.
        auto const again = view.last_heard() + this->limits.runs_over_after + item.order.estimate;
        if (again > of.deadline)
        {
            of.may_have_run = true;
            this->finish(of, job_outcome::given_up, "agent silent");
        }
        return;
    }
    auto const patience =
        internal::scaled(item.expected, this->limits.stall_factor) + this->limits.stall_slack;
    if (item.is_cancel_sent || now - item.sent < patience)
    {
        return;
    }
    auto const other = this->choose(of, item, item.agent);
    bool const helps = other && *other->agent != item.agent &&
                       now + other->wait + other->run + this->limits.stall_slack < of.deadline;
    if (helps)
    {
        item.is_cancel_sent = true;
        this->actions.emplace_back(send_cancel{item.agent, item.order.id});
    }
}

} // namespace filbertroad::dispatch

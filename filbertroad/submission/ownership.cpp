#include "filbertroad/submission/internal/owner_state.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission
{
namespace
{

bool owns(ownership const& owned)
{
    return owned.is_owner && !owned.leaving;
}

bool knows(ownership const& owned, model::process_id const& member)
{
    auto const in = [&](std::vector<model::process_id> const& ids)
    { return std::find(ids.begin(), ids.end(), member) != ids.end(); };
    return in(owned.other_members) || in(owned.removed);
}

/// Whether this entry was the owner all the time between two ownerships. A member that came and
/// went in between may have been the owner.
bool is_continued(ownership const& before, ownership const& current)
{
    auto const known = [&](model::process_id const& member) { return knows(before, member); };
    return owns(before) && owns(current) && before.shards == current.shards &&
           std::all_of(current.removed.begin(), current.removed.end(), known) &&
           std::all_of(current.other_members.begin(), current.other_members.end(), known);
}

} // namespace

shard_owner::state::state(model::process_id self, std::string service, std::uint32_t shard,
                          owner_options options, scheduling::scheduler queue)
    : self(std::move(self)), service(std::move(service)), shard(shard), options(options),
      queue(std::move(queue)),
      fences({options.fence_timeout, options.confirmation_max_age, options.clock_skew})
{
}

void shard_owner::state::advance(base::steady_time now)
{
    this->now = std::max(this->now, now);
}

void shard_owner::state::advance(base::steady_time now, base::system_time wall)
{
    this->advance(now);
    this->wall_read_at = this->now;
    this->wall_read = wall;
}

base::system_time shard_owner::state::wall() const
{
    return this->wall_read +
           std::chrono::duration_cast<base::system_time::duration>(this->now - this->wall_read_at);
}

bool shard_owner::state::is_serving() const
{
    return this->is_current() && owns(this->owned);
}

bool shard_owner::state::is_current() const
{
    return this->confirmed && !this->removed;
}

bool shard_owner::state::is_after(base::system_time created, base::system_time change) const
{
    return created > change + this->options.confirmation_max_age + this->options.clock_skew;
}

void shard_owner::state::set_ownership(ownership const& current)
{
    auto const before = std::exchange(this->owned, current);
    auto const changed = !this->has_ownership || before.view != current.view ||
                         owns(before) != owns(current) || before.shards != current.shards;
    if (changed)
    {
        this->changed_at = this->wall();
        if (!this->has_ownership || !is_continued(before, current))
        {
            this->owner_since = this->wall();
        }
    }
    this->has_ownership = true;
    this->removed = std::find(current.removed.begin(), current.removed.end(), this->self) !=
                    current.removed.end();
    this->update_agents();
    if (owns(before) && !owns(current))
    {
        this->forget_ledgers();
    }
    if (!owns(current) || this->removed)
    {
        this->refuse_inquiries();
        return;
    }
    if (this->fences.exclude(current.view, current.removed, this->agents, this->now))
    {
        for (auto& [id, agent] : this->agents.all())
        {
            this->ask_for_ledgers(agent);
        }
    }
    if (changed)
    {
        for (auto& [id, asked] : this->inquiries)
        {
            this->ask(id, asked, true);
        }
    }
    this->settle_inquiries();
}

void shard_owner::state::forget_ledgers()
{
    this->fences.ownership_lost();
    auto const unowned = std::exchange(this->ledger_jobs, {});
    for (auto const& [serial, known] : unowned)
    {
        this->remove_job(*known);
    }
}

void shard_owner::state::update_agents()
{
    this->agents.set_registered(this->owned.agents, this->owned.former_agents, this->now);
    this->lose_replaced_and_silent();
    for (auto& [id, agent] : this->agents.all())
    {
        this->announce_target(agent);
    }
}

void shard_owner::state::tick()
{
    this->lose_replaced_and_silent();
    this->fences.expire(this->agents, this->now);
    this->ask_about_adopted();
    this->reject_expired();
    this->tick_inquiries();
    this->answer_due();
    this->jobs.expire(this->wall());
    this->agents.remove_unused();
}

void shard_owner::state::reject_expired()
{
    // A later owner may have started what an unconfirmed owner still sees in its queue.
    if (!this->is_current())
    {
        return;
    }
    std::vector<scheduling::rejection> rejections;
    this->queue.expire(this->now, rejections);
    for (auto const& rejection : rejections)
    {
        if (auto* const owner = this->jobs.find_number(rejection.task.job))
        {
            this->settle(*owner, rejection.task.index, internal::task_event::rejected,
                         wire::outcome_not_run, rejection.reason);
        }
    }
}

void shard_owner::state::answer_due()
{
    while (auto const due = this->waiting.due(this->now))
    {
        auto const request = this->waiting.take(*due);
        auto* const known = this->jobs.find(request->job);
        if (known == nullptr)
        {
            this->out.refuse(*due, internal::error_code::outcome_unknown,
                             "the job moved to another owner");
            continue;
        }
        if (known->content)
        {
            std::erase(known->content->waiting, *due);
        }
        this->answer_report(*due, *known, request->with_history);
    }
}

void shard_owner::state::dispatch()
{
    if (!this->is_current())
    {
        return;
    }
    std::vector<scheduling::assignment> assignments;
    this->queue.dispatch(this->now, assignments);
    for (auto const& assignment : assignments)
    {
        auto const& id = assignment.task;
        auto* const owner = this->jobs.find_number(id.job);
        auto* const agent = this->agents.usable_for_target(assignment.target);
        if (owner == nullptr || agent == nullptr)
        {
            this->queue.task_refused(id, scheduling::start_refusal::unreachable, this->now);
            continue;
        }
        if (!this->apply(*owner, id.index, internal::task_event::dispatched))
        {
            this->queue.task_finished(id, scheduling::task_outcome::cancelled, {}, this->now);
            continue;
        }
        this->send(*owner, id, *agent);
    }
}

void shard_owner::state::send(internal::job& owner, scheduling::task_id const& id,
                              internal::agent_record& agent)
{
    auto const& content = *owner.content;
    auto& sent = owner.content->tasks[id.index];
    sent.agent = &agent;
    agent.tasks[id] = 0;
    send_start start{.agent = agent.id, .start = {}};
    *start.start.mutable_task() = wire::make_task_ref(owner.id(), id.index);
    start.start.set_payload(sent.payload);
    start.start.set_job_digest(owner.digest);
    start.start.set_task_count(owner.task_count);
    start.start.set_team(this->jobs.name_of(owner.team));
    start.start.set_timeout_ms(static_cast<std::uint32_t>(content.task_timeout.count()));
    start.start.set_traceparent(content.traceparent);
    this->out.add(std::move(start));
    this->note(owner, id.index, internal::history_event::sent, agent.target.name());
}

} // namespace filbertroad::submission

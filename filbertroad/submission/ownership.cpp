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

bool lists_member(ownership const& owned, model::process_id const& member)
{
    auto const in = [&](std::vector<model::process_id> const& ids)
    { return std::find(ids.begin(), ids.end(), member) != ids.end(); };
    return in(owned.other_members) || in(owned.removed);
}

/// Whether this entry was the owner for the whole time between two ownerships. A member of
/// `current` that `before` does not list may have been the owner in between.
bool is_continued(ownership const& before, ownership const& current)
{
    auto const was_listed = [&](model::process_id const& member)
    { return lists_member(before, member); };
    return owns(before) && owns(current) && before.shards == current.shards &&
           std::all_of(current.removed.begin(), current.removed.end(), was_listed) &&
           std::all_of(current.other_members.begin(), current.other_members.end(), was_listed);
}

} // namespace

shard_owner::state::state(model::process_id self, std::string service, std::uint32_t shard,
                          owner_options options, scheduling::scheduler scheduler)
    : self(std::move(self)), service(std::move(service)), shard(shard), options(options),
      scheduler(std::move(scheduler)),
      recovery({options.fence_timeout, options.confirmation_max_age, options.clock_skew})
{
}

void shard_owner::state::advance(base::steady_time now)
{
    this->now = std::max(this->now, now);
}

void shard_owner::state::advance(base::steady_time now, base::system_time wall)
{
    this->advance(now);
    this->last_wall_time_read_at = this->now;
    this->last_wall_time = wall;
}

base::system_time shard_owner::state::wall() const
{
    return this->last_wall_time + std::chrono::duration_cast<base::system_time::duration>(
                                      this->now - this->last_wall_time_read_at);
}

bool shard_owner::state::accepts_new_keys() const
{
    return this->is_confirmed_member() && owns(this->current_ownership);
}

bool shard_owner::state::is_confirmed_member() const
{
    return this->confirmed && !this->removed;
}

bool shard_owner::state::is_created_after(base::system_time created, base::steady_time change) const
{
    auto const wall_change =
        this->wall() - std::chrono::duration_cast<base::system_time::duration>(this->now - change);
    return created > wall_change + this->options.confirmation_max_age + this->options.clock_skew;
}

void shard_owner::state::set_ownership(ownership const& current)
{
    auto const before = std::exchange(this->current_ownership, current);
    auto const changed = !this->has_ownership || before.view != current.view ||
                         owns(before) != owns(current) || before.shards != current.shards;
    if (changed)
    {
        this->ownership_changed_at = this->now;
        if (!this->has_ownership || !is_continued(before, current))
        {
            this->owner_since = this->now;
        }
    }
    this->has_ownership = true;
    this->removed = std::find(current.removed.begin(), current.removed.end(), this->self) !=
                    current.removed.end();
    this->update_agents();
    if (owns(before) && !owns(current))
    {
        this->drop_recovered_jobs();
    }
    if (!owns(current) || this->removed)
    {
        this->refuse_lookups();
        return;
    }
    if (this->recovery.start_fence(current.view, current.removed, this->agents, this->now))
    {
        for (auto& [id, agent] : this->agents.all())
        {
            this->send_fences(agent);
        }
    }
    if (changed)
    {
        for (auto& [id, lookup] : this->key_lookups)
        {
            this->send_lookups(id, lookup, true);
        }
    }
    this->try_complete_lookups();
}

void shard_owner::state::drop_recovered_jobs()
{
    this->recovery.ownership_lost();
    auto const dropped = std::exchange(this->recovered_jobs, {});
    for (auto const& [serial, job] : dropped)
    {
        this->remove_job(*job);
    }
}

void shard_owner::state::update_agents()
{
    this->agents.set_registered(this->current_ownership.agents,
                                this->current_ownership.unregistered_agents, this->now);
    this->mark_tasks_of_lost_agents();
    for (auto& [id, agent] : this->agents.all())
    {
        this->announce_target(agent);
    }
}

void shard_owner::state::tick()
{
    this->mark_tasks_of_lost_agents();
    this->recovery.expire(this->agents, this->now);
    this->poll_adopted_tasks();
    this->reject_expired();
    this->expire_and_retry_lookups();
    this->answer_timed_out_requests();
    this->jobs.expire(this->now);
    this->agents.remove_unused();
}

void shard_owner::state::reject_expired()
{
    // A later owner may already have started tasks that are still queued at an unconfirmed owner,
    // so an unconfirmed owner must not report them as not run.
    if (!this->is_confirmed_member())
    {
        return;
    }
    std::vector<scheduling::rejection> rejections;
    this->scheduler.expire(this->now, rejections);
    for (auto const& rejection : rejections)
    {
        if (auto* const job = this->jobs.find_by_scheduler_job_id(rejection.task.job))
        {
            this->end_task(*job, rejection.task.index, internal::task_event::rejected,
                           wire::outcome_not_run, rejection.reason);
        }
    }
}

void shard_owner::state::answer_timed_out_requests()
{
    while (auto const timed_out = this->waiting_requests.timed_out(this->now))
    {
        auto const request = this->waiting_requests.take(*timed_out);
        auto* const job = this->jobs.find(request->job);
        if (job == nullptr)
        {
            this->outbox.refuse(*timed_out, internal::error_code::outcome_unknown,
                                "the job moved to another owner");
            continue;
        }
        if (job->content)
        {
            std::erase(job->content->waiting_request_numbers, *timed_out);
        }
        this->answer_report(*timed_out, *job, request->with_history);
    }
}

void shard_owner::state::dispatch()
{
    if (!this->is_confirmed_member())
    {
        return;
    }
    std::vector<scheduling::assignment> assignments;
    this->scheduler.dispatch(this->now, assignments);
    for (auto const& assignment : assignments)
    {
        auto const& id = assignment.task;
        auto* const job = this->jobs.find_by_scheduler_job_id(id.job);
        auto* const agent = this->agents.startable_for_target(assignment.target);
        if (job == nullptr || agent == nullptr)
        {
            this->scheduler.task_refused(id, scheduling::start_refusal::unreachable, this->now);
            continue;
        }
        if (!this->apply(*job, id.index, internal::task_event::dispatched))
        {
            this->scheduler.task_finished(id, scheduling::task_outcome::cancelled, {}, this->now);
            continue;
        }
        this->send(*job, id, *agent);
    }
}

void shard_owner::state::send(internal::job& job, scheduling::task_id const& id,
                              internal::agent_record& agent)
{
    auto const& content = *job.content;
    auto& task = job.content->tasks[id.index];
    task.agent = &agent;
    agent.tasks[id] = 0;
    send_start start{.agent = agent.id, .start = {}};
    *start.start.mutable_task() = wire::make_task_ref(job.id(), id.index);
    start.start.set_payload(task.payload);
    start.start.set_job_digest(job.digest);
    start.start.set_task_count(job.task_count);
    start.start.set_team(this->jobs.name_of(job.team));
    start.start.set_timeout_ms(static_cast<std::uint32_t>(content.task_timeout.count()));
    start.start.set_traceparent(content.traceparent);
    this->outbox.add(std::move(start));
    this->record_history(job, id.index, internal::history_event::sent, agent.target.name());
}

} // namespace filbertroad::submission

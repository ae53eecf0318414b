#include "filbertroad/submission/internal/owner_state.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <utility>

namespace filbertroad::submission
{
namespace
{

struct ending
{
    internal::task_event event;
    scheduling::task_outcome task_outcome;
};

ending to_ending(wire::outcome outcome)
{
    switch (outcome)
    {
    case wire::outcome_succeeded:
        return {internal::task_event::succeeded, scheduling::task_outcome::succeeded};
    case wire::outcome_failed:
        return {internal::task_event::failed, scheduling::task_outcome::failed};
    case wire::outcome_cancelled:
    case wire::outcome_not_run:
        return {internal::task_event::failed, scheduling::task_outcome::cancelled};
    default:
        return {internal::task_event::lost, scheduling::task_outcome::lost};
    }
}

} // namespace

bool shard_owner::state::belongs_to_shard(std::string_view key) const
{
    return this->current_ownership.shards <= 1 ||
           model::shard_of_key(key, this->current_ownership.shards) == this->shard;
}

void shard_owner::state::agent_linked(wire::agent_hello const& hello)
{
    auto& agent = this->agents.set_linked(hello, this->now);
    this->mark_tasks_of_lost_agents();
    if (agent.replaced)
    {
        return;
    }
    this->announce_target(agent);
    std::set<internal::task_identity> reported_tasks;
    for (auto const& entry : hello.open())
    {
        reported_tasks.insert({wire::job_id_of(entry.task()), entry.task().index()});
        this->handle_ledger_entry(agent, entry, 0);
    }
    this->requeue_unreported(agent, 0, reported_tasks);
    this->send_fences(agent);
}

void shard_owner::state::announce_target(internal::agent_record& agent)
{
    if (!agent.registered && agent.announced && !agent.replaced)
    {
        // The scheduler then rejects jobs that only this target could run, which would otherwise
        // wait forever.
        agent.announced = false;
        this->scheduler.remove_target(agent.target.name(), this->now);
    }
    if (!agent.may_start() || agent.target.name().empty())
    {
        this->update_target_availability(agent);
        return;
    }
    agent.announced = true;
    scheduling::target_info info{
        .name = agent.target.name(),
        .zone = agent.zone,
        .labels = {agent.target.labels().begin(), agent.target.labels().end()},
        .slots = agent.target.slots()};
    this->scheduler.update_target(info, this->now);
    this->update_target_availability(agent);
}

void shard_owner::state::update_target_availability(internal::agent_record& agent)
{
    auto const& target = agent.target;
    if (target.name().empty() || agent.replaced)
    {
        return;
    }
    auto const available = agent.may_start() && target.reachable() && !target.leaving() &&
                           !this->targets_out_of_service.contains(target.name());
    this->scheduler.set_target_available(target.name(), available, this->now);
}

void shard_owner::state::mark_tasks_of_lost_agents()
{
    for (auto& [id, agent] : this->agents.all())
    {
        if (agent.tasks.empty())
        {
            continue;
        }
        if (agent.replaced)
        {
            this->mark_tasks_lost(agent, "the agent restarted while it held the task");
        }
        else if (!agent.linked &&
                 this->now - agent.unlinked_since >= this->options.agent_loss_timeout)
        {
            this->mark_tasks_lost(agent, "the agent had no link for longer than the loss timeout");
        }
    }
}

void shard_owner::state::handle_result(internal::agent_record& agent,
                                       wire::task_result const& result, wire::task_ref const& task)
{
    if (!this->belongs_to_shard(task.key()))
    {
        return;
    }
    if (agent.linked)
    {
        this->outbox.acknowledge(agent.id, task);
    }
    auto* const job = this->jobs.find(wire::job_id_of(task));
    if (agent.replaced || job == nullptr || job->has_ended() || task.index() >= job->task_count)
    {
        return;
    }
    auto const& known_task = job->content->tasks[task.index()];
    auto const at_agent = internal::is_at_agent(known_task.state);
    // A result of an adopted task is accepted from any agent: the previous owner may have sent the
    // task to a second agent after the first one refused it.
    if (at_agent && known_task.agent != &agent && !known_task.adopted)
    {
        return;
    }
    auto const ending = to_ending(result.outcome());
    if (at_agent)
    {
        this->scheduler.task_finished({known_task.scheduler_job_id, task.index()},
                                      ending.task_outcome,
                                      std::chrono::microseconds(result.run_time_us()), this->now);
    }
    auto answer = internal::to_answer(result);
    if (answer.target.empty())
    {
        answer.target = agent.target.name();
    }
    this->end_task(*job, task.index(), ending.event, std::move(answer));
}

internal::job* shard_owner::state::find_or_recover_job(wire::ledger_entry const& entry)
{
    auto const id = wire::job_id_of(entry.task());
    if (auto* const job = this->jobs.find(id))
    {
        return job;
    }
    auto const key = model::parse_key(id.key);
    if (!key || !this->belongs_to_shard(id.key) || !this->current_ownership.is_owner ||
        this->current_ownership.leaving || entry.task_count() == 0 ||
        entry.task_count() > model::max_tasks)
    {
        return nullptr;
    }
    auto const keep_for = this->options.key_retention + 2 * this->options.clock_skew;
    if (this->wall() - key.value().created > keep_for)
    {
        return nullptr;
    }
    auto& job = this->add_job(id, key.value().created, entry.job_digest(), entry.task_count(),
                              entry.team());
    job.content->interrupted_at = this->now;
    this->interrupt_tasks(job);
    this->recovered_jobs.emplace(job.serial, &job);
    this->record_history(job, internal::whole_job, internal::history_event::recovered);
    return &job;
}

void shard_owner::state::handle_ledger_entry(internal::agent_record& agent,
                                             wire::ledger_entry const& entry, std::uint64_t view)
{
    auto const& task = entry.task();
    auto* const job =
        view == 0 ? this->jobs.find(wire::job_id_of(task)) : this->find_or_recover_job(entry);
    if (entry.has_result())
    {
        this->handle_result(agent, entry.result(), task);
        return;
    }
    if (job == nullptr || job->has_ended() || task.index() >= job->task_count)
    {
        return;
    }
    auto const& known_task = job->content->tasks[task.index()];
    if (known_task.state == internal::task_state::interrupted && view != 0)
    {
        this->adopt(agent, *job, task.index(), view);
    }
    else if (known_task.adopted && internal::is_at_agent(known_task.state) &&
             known_task.agent != &agent && view != 0)
    {
        this->alternate_holders[{known_task.scheduler_job_id, task.index()}] = {agent.id, view};
    }
    else if (known_task.agent == &agent)
    {
        if (this->apply(*job, task.index(), internal::task_event::observed_running))
        {
            this->record_history(*job, task.index(), internal::history_event::running,
                                 agent.target.name());
        }
        // The cancellation may have been lost with the previous link.
        if (job->content->cancel_requested)
        {
            this->send_cancel_of(*job, task.index());
        }
    }
}

void shard_owner::state::adopt(internal::agent_record& agent, internal::job& job,
                               std::uint32_t index, std::uint64_t view)
{
    this->apply(job, index, internal::task_event::observed_running);
    auto& task = job.content->tasks[index];
    task.agent = &agent;
    task.adopted = true;
    task.scheduler_job_id = this->jobs.add_scheduler_job_id(job);
    scheduling::task_id const id{task.scheduler_job_id, index};
    agent.tasks[id] = view;
    this->scheduler.adopt_running(id, this->jobs.name_of(job.team), agent.target.name(), this->now);
    this->record_history(job, index, internal::history_event::running, agent.target.name());
}

void shard_owner::state::ledger_reported(wire::ledger_report const& report)
{
    auto* const agent = this->agents.find(wire::to_model(report.agent()));
    if (agent == nullptr || agent->replaced || !agent->linked)
    {
        return;
    }
    for (auto const& entry : report.entries())
    {
        if (this->recovery.is_excluded(wire::to_model(entry.owner())))
        {
            this->handle_ledger_entry(*agent, entry, report.view());
        }
    }
    if (auto const reported_tasks = this->recovery.add_report(report))
    {
        this->requeue_unreported(*agent, report.view(), *reported_tasks);
        this->try_complete_lookups();
    }
}

void shard_owner::state::requeue_unreported(internal::agent_record& agent, std::uint64_t view,
                                            std::set<internal::task_identity> const& reported_tasks)
{
    auto const tasks = agent.tasks;
    for (auto const& [id, view_found_in] : tasks)
    {
        auto* const job = this->jobs.find_by_scheduler_job_id(id.job);
        if (view_found_in != view || job == nullptr ||
            reported_tasks.contains({job->id(), id.index}))
        {
            continue;
        }
        this->record_history(*job, id.index, internal::history_event::not_received,
                             agent.target.name());
        this->requeue(*job, id.index, internal::task_event::not_received,
                      scheduling::start_refusal::unreachable);
    }
}

void shard_owner::state::send_fences(internal::agent_record& agent)
{
    if (!agent.linked || agent.replaced || !agent.recently_registered)
    {
        return;
    }
    for (auto& fence : this->recovery.fences_for(agent.id))
    {
        this->outbox.add(send_fence{agent.id, std::move(fence)});
    }
}

void shard_owner::state::poll_adopted_tasks()
{
    if (this->now - this->adopted_polled_at < this->options.fence_timeout)
    {
        return;
    }
    this->adopted_polled_at = this->now;
    for (auto& [id, agent] : this->agents.all())
    {
        std::set<std::uint64_t> views;
        for (auto const& [task, view] : agent.tasks)
        {
            views.insert(view);
        }
        views.erase(0);
        for (auto const view : views)
        {
            if (!agent.linked)
            {
                break;
            }
            for (auto& fence : this->recovery.repeat_fence(view, id))
            {
                this->outbox.add(send_fence{id, std::move(fence)});
            }
        }
    }
}

} // namespace filbertroad::submission

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
    scheduling::finish finish;
};

ending to_ending(wire::outcome outcome)
{
    switch (outcome)
    {
    case wire::outcome_succeeded:
        return {internal::task_event::succeeded, scheduling::finish::succeeded};
    case wire::outcome_failed:
        return {internal::task_event::failed, scheduling::finish::failed};
    case wire::outcome_cancelled:
    case wire::outcome_not_run:
        return {internal::task_event::failed, scheduling::finish::cancelled};
    default:
        return {internal::task_event::lost, scheduling::finish::lost};
    }
}

} // namespace

bool shard_owner::state::is_of_this_shard(std::string_view key) const
{
    return this->owned.shards <= 1 || model::shard_of_key(key, this->owned.shards) == this->shard;
}

void shard_owner::state::agent_linked(wire::agent_hello const& hello)
{
    auto& agent = this->agents.linked(hello, this->now);
    this->lose_replaced_and_silent();
    if (agent.replaced)
    {
        return;
    }
    this->announce_target(agent);
    std::set<internal::task_identity> mentioned;
    for (auto const& entry : hello.open())
    {
        mentioned.insert({wire::job_id_of(entry.task()), entry.task().index()});
        this->take_ledger_entry(agent, entry, 0);
    }
    this->requeue_unmentioned(agent, 0, mentioned);
    this->ask_for_ledgers(agent);
}

void shard_owner::state::announce_target(internal::agent_record& agent)
{
    if (!agent.registered && agent.announced && !agent.replaced)
    {
        // Jobs that only this target could run are rejected, not left waiting.
        agent.announced = false;
        this->queue.remove_target(agent.target.name(), this->now);
    }
    if (!agent.may_start() || agent.target.name().empty())
    {
        this->refresh_target(agent);
        return;
    }
    agent.announced = true;
    scheduling::target_info info{
        .name = agent.target.name(),
        .zone = agent.zone,
        .labels = {agent.target.labels().begin(), agent.target.labels().end()},
        .slots = agent.target.slots()};
    this->queue.update_target(info, this->now);
    this->refresh_target(agent);
}

void shard_owner::state::refresh_target(internal::agent_record& agent)
{
    auto const& target = agent.target;
    if (target.name().empty() || agent.replaced)
    {
        return;
    }
    auto const open = agent.may_start() && target.reachable() && !target.leaving() &&
                      !this->targets_out.contains(target.name());
    this->queue.set_target_open(target.name(), open, this->now);
}

void shard_owner::state::lose_replaced_and_silent()
{
    for (auto& [id, agent] : this->agents.all())
    {
        if (agent.tasks.empty())
        {
            continue;
        }
        if (agent.replaced)
        {
            this->lose(agent, "the agent was restarted while the task was there");
        }
        else if (!agent.linked &&
                 this->now - agent.silent_since >= this->options.agent_loss_timeout)
        {
            this->lose(agent, "the agent was silent for too long");
        }
    }
}

void shard_owner::state::take_result(internal::agent_record& agent, wire::task_result const& result,
                                     wire::task_ref const& task)
{
    if (!this->is_of_this_shard(task.key()))
    {
        return;
    }
    if (agent.linked)
    {
        this->out.acknowledge(agent.id, task);
    }
    auto* const owner = this->jobs.find(wire::job_id_of(task));
    if (agent.replaced || owner == nullptr || owner->has_ended() ||
        task.index() >= owner->task_count)
    {
        return;
    }
    auto const& held = owner->content->tasks[task.index()];
    auto const at_agent = internal::is_at_agent(held.state);
    // The earlier owner may have sent an adopted task to another agent after the first refused it.
    if (at_agent && held.agent != &agent && !held.adopted)
    {
        return;
    }
    auto const ending = to_ending(result.outcome());
    if (at_agent)
    {
        this->queue.task_finished({held.number, task.index()}, ending.finish,
                                  std::chrono::microseconds(result.run_time_us()), this->now);
    }
    auto answer = internal::to_answer(result);
    if (answer.target.empty())
    {
        answer.target = agent.target.name();
    }
    this->settle(*owner, task.index(), ending.event, std::move(answer));
}

internal::job* shard_owner::state::recovered_job(wire::ledger_entry const& entry)
{
    auto const id = wire::job_id_of(entry.task());
    if (auto* const known = this->jobs.find(id))
    {
        return known;
    }
    auto const key = model::parse_key(id.key);
    if (!key || !this->is_of_this_shard(id.key) || !this->owned.is_owner || this->owned.leaving ||
        entry.task_count() == 0 || entry.task_count() > model::max_tasks)
    {
        return nullptr;
    }
    auto const keep_for = this->options.key_retention + 2 * this->options.clock_skew;
    if (this->wall() - key.value().created > keep_for)
    {
        return nullptr;
    }
    auto& added = this->add_job(id, key.value().created, entry.job_digest(), entry.task_count(),
                                entry.team());
    added.content->interrupted_at = this->now;
    this->interrupt_tasks(added);
    this->ledger_jobs.emplace(added.serial, &added);
    this->note(added, internal::whole_job, internal::history_event::recovered);
    return &added;
}

void shard_owner::state::take_ledger_entry(internal::agent_record& agent,
                                           wire::ledger_entry const& entry, std::uint64_t view)
{
    auto const& task = entry.task();
    auto* const owner =
        view == 0 ? this->jobs.find(wire::job_id_of(task)) : this->recovered_job(entry);
    if (entry.has_result())
    {
        this->take_result(agent, entry.result(), task);
        return;
    }
    if (owner == nullptr || owner->has_ended() || task.index() >= owner->task_count)
    {
        return;
    }
    auto const& held = owner->content->tasks[task.index()];
    if (held.state == internal::task_state::interrupted && view != 0)
    {
        this->adopt(agent, *owner, task.index(), view);
    }
    else if (held.adopted && internal::is_at_agent(held.state) && held.agent != &agent && view != 0)
    {
        this->second_claims[{held.number, task.index()}] = {agent.id, view};
    }
    else if (held.agent == &agent &&
             this->apply(*owner, task.index(), internal::task_event::observed_running))
    {
        this->note(*owner, task.index(), internal::history_event::running, agent.target.name());
    }
}

void shard_owner::state::adopt(internal::agent_record& agent, internal::job& owner,
                               std::uint32_t index, std::uint64_t view)
{
    this->apply(owner, index, internal::task_event::observed_running);
    auto& held = owner.content->tasks[index];
    held.agent = &agent;
    held.adopted = true;
    held.number = this->jobs.add_number(owner);
    scheduling::task_id const id{held.number, index};
    agent.tasks[id] = view;
    this->queue.adopt_running(id, this->jobs.name_of(owner.team), agent.target.name(), this->now);
    this->note(owner, index, internal::history_event::running, agent.target.name());
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
        if (this->fences.is_excluded(wire::to_model(entry.owner())))
        {
            this->take_ledger_entry(*agent, entry, report.view());
        }
    }
    if (auto const mentioned = this->fences.answered(report))
    {
        this->requeue_unmentioned(*agent, report.view(), *mentioned);
        this->settle_inquiries();
    }
}

void shard_owner::state::requeue_unmentioned(internal::agent_record& agent, std::uint64_t view,
                                             std::set<internal::task_identity> const& mentioned)
{
    auto const tasks = agent.tasks;
    for (auto const& [id, found_by] : tasks)
    {
        auto* const owner = this->jobs.find_number(id.job);
        if (found_by != view || owner == nullptr || mentioned.contains({owner->id(), id.index}))
        {
            continue;
        }
        this->note(*owner, id.index, internal::history_event::not_received, agent.target.name());
        this->queue_again(*owner, id.index, internal::task_event::not_received,
                          scheduling::start_refusal::unreachable);
    }
}

void shard_owner::state::ask_for_ledgers(internal::agent_record& agent)
{
    if (!agent.linked || agent.replaced || !agent.known_to_log)
    {
        return;
    }
    for (auto& fence : this->fences.fences_for(agent.id))
    {
        this->out.add(send_fence{agent.id, std::move(fence)});
    }
}

void shard_owner::state::ask_about_adopted()
{
    if (this->now - this->adopted_asked_at < this->options.fence_timeout)
    {
        return;
    }
    this->adopted_asked_at = this->now;
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
            for (auto& fence : this->fences.ask_again(view, id))
            {
                this->out.add(send_fence{id, std::move(fence)});
            }
        }
    }
}

} // namespace filbertroad::submission

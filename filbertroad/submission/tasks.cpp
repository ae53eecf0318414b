#include "filbertroad/submission/internal/owner_state.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission
{
namespace
{

/// History lines of a job besides those of its tasks.
constexpr std::size_t job_history_lines = 32;

/// History lines kept for each task; refusals that repeat are cut off.
constexpr std::size_t history_lines_per_task = 6;

/// An answer counts with this share in the mean size of answers.
constexpr std::size_t mean_answer_weight = 16;

std::size_t bytes_of(internal::task_answer const& answer)
{
    return answer.body.size() + answer.reason.size();
}

} // namespace

internal::job& shard_owner::state::add_job(model::job_id id, base::system_time created,
                                           std::string digest, std::uint32_t task_count,
                                           std::string_view team)
{
    this->open_tasks += task_count;
    return this->jobs.add(std::move(id), created, std::move(digest), task_count, team);
}

void shard_owner::state::interrupt_tasks(internal::job& owner)
{
    for (std::uint32_t i = 0; i < owner.task_count; ++i)
    {
        this->apply(owner, i, internal::task_event::interrupted);
    }
}

bool shard_owner::state::apply(internal::job& owner, std::uint32_t index,
                               internal::task_event event)
{
    auto& content = *owner.content;
    auto& changed = content.tasks[index];
    auto const next = internal::next_state(changed.state, event);
    if (!next)
    {
        return false;
    }
    auto const before = std::exchange(changed.state, *next);
    content.queued_tasks -= before == internal::task_state::queued ? 1 : 0;
    content.queued_tasks += *next == internal::task_state::queued ? 1 : 0;
    content.interrupted_tasks -= before == internal::task_state::interrupted ? 1 : 0;
    content.interrupted_tasks += *next == internal::task_state::interrupted ? 1 : 0;
    content.succeeded_tasks += *next == internal::task_state::succeeded ? 1 : 0;
    if (internal::is_ended(*next) && !internal::is_ended(before))
    {
        ++owner.ended_tasks;
        --this->open_tasks;
    }
    return true;
}

void shard_owner::state::note(internal::job& owner, std::uint32_t index,
                              internal::history_event event, std::string_view target,
                              wire::refusal refusal)
{
    auto& history = owner.content->history;
    auto const limit = job_history_lines + history_lines_per_task * owner.task_count;
    if (history.size() >= limit)
    {
        return;
    }
    if (history.size() + 1 == limit)
    {
        event = internal::history_event::truncated;
    }
    history.push_back({.unix_ms = base::to_unix_ms(this->wall()),
                       .index = index,
                       .target = this->jobs.number_of_name(target),
                       .event = event,
                       .refusal = refusal});
}

base::result<void, scheduling::admission_error>
shard_owner::state::admit(internal::job& owner, std::vector<std::uint32_t> const& indexes)
{
    auto& content = *owner.content;
    scheduling::job_spec entry{.job = this->jobs.add_number(owner),
                               .team = this->jobs.name_of(owner.team),
                               .route = owner.id().route,
                               .placement = content.placement,
                               .tasks = indexes,
                               .bytes = 0,
                               .deadline = content.deadline};
    entry.placement.labels.insert(entry.placement.labels.end(), content.needs.begin(),
                                  content.needs.end());
    for (auto const index : indexes)
    {
        entry.bytes += content.tasks[index].payload.size();
        content.tasks[index].number = entry.job;
    }
    return this->queue.admit(entry, this->now);
}

bool shard_owner::state::settle(internal::job& owner, std::uint32_t index,
                                internal::task_event event, internal::task_answer answer)
{
    if (!this->apply(owner, index, event))
    {
        return false;
    }
    auto& ended = owner.content->tasks[index];
    this->second_claims.erase({ended.number, index});
    if (ended.agent != nullptr)
    {
        ended.agent->tasks.erase({ended.number, index});
        ended.agent = nullptr;
    }
    this->jobs.release(owner, ended.payload.size());
    std::string().swap(ended.payload);
    if (ended.answer)
    {
        this->jobs.release(owner, bytes_of(*ended.answer));
    }
    auto const bytes = bytes_of(answer);
    this->jobs.hold(owner, bytes);
    this->mean_answer = (this->mean_answer * (mean_answer_weight - 1) + bytes) / mean_answer_weight;
    this->note(owner, index, internal::history_event::ended, answer.target);
    owner.content->claims_not_run =
        owner.content->claims_not_run || answer.outcome == wire::outcome_not_run;
    ended.answer = std::make_unique<internal::task_answer>(std::move(answer));
    if (owner.has_ended())
    {
        this->finish_job(owner);
    }
    return true;
}

bool shard_owner::state::settle(internal::job& owner, std::uint32_t index,
                                internal::task_event event, wire::outcome outcome,
                                std::string_view reason)
{
    internal::task_answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    auto const& ended = owner.content->tasks[index];
    if (ended.agent != nullptr)
    {
        answer.target = ended.agent->target.name();
    }
    return this->settle(owner, index, event, std::move(answer));
}

void shard_owner::state::finish_job(internal::job& ended)
{
    auto& content = *ended.content;
    ended.failed = content.succeeded_tasks != ended.task_count;
    if (ended.failed)
    {
        auto const first = std::find_if(content.tasks.begin(), content.tasks.end(),
                                        [](internal::task const& task)
                                        { return task.state != internal::task_state::succeeded; });
        content.reason = std::to_string(ended.task_count - content.succeeded_tasks) + " of " +
                         std::to_string(ended.task_count) + " tasks did not succeed; task " +
                         std::to_string(first - content.tasks.begin()) + ": " +
                         first->answer->reason;
    }
    // Most held jobs have ended, so they keep only what an answer needs.
    content.traceparent = {};
    content.needs = {};
    content.placement = {};
    content.history.shrink_to_fit();
    this->ledger_jobs.erase(ended.serial);
    auto const wall = this->wall();
    // Other owners may accept the key until it is too old by their clocks.
    auto const forget_at =
        ended.created + this->options.key_retention + 2 * this->options.clock_skew;
    this->jobs.end(ended, wall, wall + this->options.key_retention, forget_at);
    for (auto const number : std::exchange(content.waiting, {}))
    {
        if (auto const request = this->waiting.take(number))
        {
            this->answer_report(number, ended, request->with_history);
        }
    }
}

void shard_owner::state::queue_again(internal::job& owner, std::uint32_t index,
                                     internal::task_event event, scheduling::start_refusal reason)
{
    auto& content = *owner.content;
    auto& held = content.tasks[index];
    scheduling::task_id const id{held.number, index};
    auto* const agent = held.agent;
    if (agent == nullptr || !this->apply(owner, index, event))
    {
        return;
    }
    agent->tasks.erase(id);
    held.agent = nullptr;
    if (!held.adopted)
    {
        this->queue.task_refused(id, reason, this->now);
    }
    else
    {
        // The scheduler does not know the job of a task that it adopted.
        this->queue.task_finished(id, scheduling::task_outcome::cancelled, {}, this->now);
        held.adopted = false;
        if (this->adopt_second_claim(owner, index, id))
        {
            return;
        }
        if (!content.submitted)
        {
            this->apply(owner, index, internal::task_event::interrupted);
        }
        else if (this->fences.is_in_doubt(owner.created, this->agents))
        {
            this->apply(owner, index, internal::task_event::interrupted);
            this->end_interrupted(owner);
            return;
        }
        else if (auto const admitted = this->admit(owner, {index}); !admitted)
        {
            this->settle(owner, index, internal::task_event::rejected, wire::outcome_not_run,
                         admitted.error().detail);
            return;
        }
    }
    if (content.cancel_requested)
    {
        this->cancel_queued(owner);
    }
}

bool shard_owner::state::adopt_second_claim(internal::job& owner, std::uint32_t index,
                                            scheduling::task_id const& refused)
{
    auto const found = this->second_claims.find(refused);
    if (found == this->second_claims.end())
    {
        return false;
    }
    auto const claim = found->second;
    this->second_claims.erase(found);
    this->apply(owner, index, internal::task_event::interrupted);
    auto* const agent = this->agents.find(claim.agent);
    if (agent == nullptr || agent->replaced)
    {
        this->settle(owner, index, internal::task_event::lost, wire::outcome_may_have_run,
                     "the agent was restarted while the task was there");
        return true;
    }
    this->adopt(*agent, owner, index, claim.view);
    return true;
}

void shard_owner::state::cancel_queued(internal::job& owner)
{
    auto const numbers = owner.content->numbers;
    for (auto const number : numbers)
    {
        for (auto const index : this->queue.cancel_job(number))
        {
            this->settle(owner, index, internal::task_event::cancelled, wire::outcome_not_run,
                         "cancelled before it was started");
        }
    }
}

void shard_owner::state::lose(internal::agent_record& agent, std::string_view reason)
{
    auto const tasks = std::exchange(agent.tasks, {});
    for (auto const& [id, view] : tasks)
    {
        this->queue.task_finished(id, scheduling::task_outcome::lost, {}, this->now);
        if (auto* const owner = this->jobs.find_number(id.job))
        {
            this->settle(*owner, id.index, internal::task_event::lost, wire::outcome_may_have_run,
                         reason);
        }
    }
}

void shard_owner::state::end_interrupted(internal::job& ended)
{
    auto const in_doubt = this->fences.is_in_doubt(ended.created, this->agents);
    for (std::uint32_t i = 0; i < ended.task_count && ended.content; ++i)
    {
        if (ended.content->tasks[i].state != internal::task_state::interrupted)
        {
            continue;
        }
        if (in_doubt)
        {
            ended.in_doubt = true;
            this->settle(ended, i, internal::task_event::lost, wire::outcome_may_have_run,
                         "the earlier owner and the ledger of an agent are lost");
        }
        else
        {
            this->settle(ended, i, internal::task_event::rejected, wire::outcome_not_run,
                         "the earlier owner was lost before it started the task");
        }
    }
}

void shard_owner::state::remove_job(internal::job& removed)
{
    this->ledger_jobs.erase(removed.serial);
    if (removed.content)
    {
        for (std::uint32_t i = 0; i < removed.task_count; ++i)
        {
            auto& held = removed.content->tasks[i];
            if (held.agent != nullptr)
            {
                held.agent->tasks.erase({held.number, i});
                this->second_claims.erase({held.number, i});
                this->queue.task_finished({held.number, i}, scheduling::task_outcome::cancelled, {},
                                          this->now);
            }
        }
        for (auto const number : removed.content->waiting)
        {
            this->waiting.take(number);
            this->out.refuse(number, internal::error_code::outcome_unknown,
                             "the job moved to another owner");
        }
    }
    this->open_tasks -= removed.task_count - removed.ended_tasks;
    this->jobs.remove(removed);
}

} // namespace filbertroad::submission

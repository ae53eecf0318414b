#include "filbertroad/submission/internal/owner_state.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission
{
namespace
{

/// Largest number of history lines of a job besides those of its tasks.
constexpr std::size_t job_history_lines = 32;

/// Largest number of history lines per task. Bounds the history of a task that is refused
/// repeatedly.
constexpr std::size_t history_lines_per_task = 6;

/// The mean size of answers is an exponential moving average; a new answer has the weight 1 /
/// mean_answer_window.
constexpr std::size_t mean_answer_window = 16;

std::size_t bytes_of(internal::task_answer const& answer)
{
    return answer.body.size() + answer.reason.size();
}

} // namespace

internal::job& shard_owner::state::add_job(model::job_id id, base::system_time created,
                                           std::string digest, std::uint32_t task_count,
                                           std::string_view team)
{
    this->unfinished_tasks += task_count;
    return this->jobs.add(std::move(id), created, std::move(digest), task_count, team);
}

void shard_owner::state::interrupt_tasks(internal::job& job)
{
    for (std::uint32_t i = 0; i < job.task_count; ++i)
    {
        this->apply(job, i, internal::task_event::interrupted);
    }
}

bool shard_owner::state::apply(internal::job& job, std::uint32_t index, internal::task_event event)
{
    auto& content = *job.content;
    auto& task = content.tasks[index];
    auto const next = internal::next_state(task.state, event);
    if (!next)
    {
        return false;
    }
    auto const before = std::exchange(task.state, *next);
    content.queued_tasks -= before == internal::task_state::queued ? 1 : 0;
    content.queued_tasks += *next == internal::task_state::queued ? 1 : 0;
    content.interrupted_tasks -= before == internal::task_state::interrupted ? 1 : 0;
    content.interrupted_tasks += *next == internal::task_state::interrupted ? 1 : 0;
    content.succeeded_tasks += *next == internal::task_state::succeeded ? 1 : 0;
    if (internal::is_ended(*next) && !internal::is_ended(before))
    {
        ++job.ended_tasks;
        --this->unfinished_tasks;
    }
    return true;
}

void shard_owner::state::record_history(internal::job& job, std::uint32_t index,
                                        internal::history_event event, std::string_view target,
                                        wire::refusal refusal)
{
    auto& history = job.content->history;
    auto const limit = job_history_lines + history_lines_per_task * job.task_count;
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
                       .target = this->jobs.intern_name(target),
                       .event = event,
                       .refusal = refusal});
}

base::result<void, scheduling::admission_error>
shard_owner::state::admit(internal::job& job, std::vector<std::uint32_t> const& indexes)
{
    auto& content = *job.content;
    scheduling::job_spec spec{.job = this->jobs.add_scheduler_job_id(job),
                              .team = this->jobs.name_of(job.team),
                              .route = job.id().route,
                              .placement = content.placement,
                              .tasks = indexes,
                              .bytes = 0,
                              .deadline = content.deadline};
    spec.placement.labels.insert(spec.placement.labels.end(), content.needs.begin(),
                                 content.needs.end());
    for (auto const index : indexes)
    {
        spec.bytes += content.tasks[index].payload.size();
        content.tasks[index].scheduler_job_id = spec.job;
    }
    return this->scheduler.admit(spec, this->now);
}

bool shard_owner::state::end_task(internal::job& job, std::uint32_t index,
                                  internal::task_event event, internal::task_answer answer)
{
    if (!this->apply(job, index, event))
    {
        return false;
    }
    auto& task = job.content->tasks[index];
    this->alternate_holders.erase({task.scheduler_job_id, index});
    if (task.agent != nullptr)
    {
        task.agent->tasks.erase({task.scheduler_job_id, index});
        task.agent = nullptr;
    }
    this->jobs.release(job, task.payload.size());
    std::string().swap(task.payload);
    if (task.answer)
    {
        this->jobs.release(job, bytes_of(*task.answer));
    }
    auto const bytes = bytes_of(answer);
    this->jobs.charge(job, bytes);
    this->mean_answer_bytes =
        (this->mean_answer_bytes * (mean_answer_window - 1) + bytes) / mean_answer_window;
    this->record_history(job, index, internal::history_event::ended, answer.target);
    job.content->reports_not_run =
        job.content->reports_not_run || answer.outcome == wire::outcome_not_run;
    task.answer = std::make_unique<internal::task_answer>(std::move(answer));
    if (job.has_ended())
    {
        this->finish_job(job);
    }
    return true;
}

bool shard_owner::state::end_task(internal::job& job, std::uint32_t index,
                                  internal::task_event event, wire::outcome outcome,
                                  std::string_view reason)
{
    internal::task_answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    auto const& task = job.content->tasks[index];
    if (task.agent != nullptr)
    {
        answer.target = task.agent->target.name();
    }
    return this->end_task(job, index, event, std::move(answer));
}

void shard_owner::state::finish_job(internal::job& job)
{
    auto& content = *job.content;
    job.failed = content.succeeded_tasks != job.task_count;
    if (job.failed)
    {
        auto const first = std::find_if(content.tasks.begin(), content.tasks.end(),
                                        [](internal::task const& task)
                                        { return task.state != internal::task_state::succeeded; });
        content.reason = std::to_string(job.task_count - content.succeeded_tasks) + " of " +
                         std::to_string(job.task_count) + " tasks did not succeed; task " +
                         std::to_string(first - content.tasks.begin()) + ": " +
                         first->answer->reason;
    }
    // Most held jobs have ended, so an ended job keeps only what its answers need.
    content.traceparent = {};
    content.needs = {};
    content.placement = {};
    content.history.shrink_to_fit();
    this->recovered_jobs.erase(job.serial);
    // The steady clock, since a job must not be forgotten when the wall clock is ahead for a
    // moment.
    auto const answers_expire_at = this->now + this->options.key_retention;
    // Another owner may accept the key until the key is too old by that owner's clock.
    auto const key_expires_at = answers_expire_at + 2 * this->options.clock_skew;
    this->jobs.end(job, this->wall(), answers_expire_at, key_expires_at);
    for (auto const number : std::exchange(content.waiting_request_numbers, {}))
    {
        if (auto const request = this->waiting_requests.take(number))
        {
            this->answer_report(number, job, request->with_history);
        }
    }
}

void shard_owner::state::requeue(internal::job& job, std::uint32_t index,
                                 internal::task_event event, scheduling::start_refusal reason)
{
    auto& content = *job.content;
    auto& task = content.tasks[index];
    scheduling::task_id const id{task.scheduler_job_id, index};
    auto* const agent = task.agent;
    if (agent == nullptr || !this->apply(job, index, event))
    {
        return;
    }
    agent->tasks.erase(id);
    task.agent = nullptr;
    if (!task.adopted)
    {
        this->scheduler.task_refused(id, reason, this->now);
    }
    else
    {
        // The scheduler has no record of the job of an adopted task and cannot queue the task
        // again, so the task is ended there first.
        this->scheduler.task_finished(id, scheduling::task_outcome::cancelled, {}, this->now);
        task.adopted = false;
        if (this->adopt_from_alternate_holder(job, index, id))
        {
            return;
        }
        if (!content.submitted)
        {
            this->apply(job, index, internal::task_event::interrupted);
        }
        else if (this->recovery.is_in_doubt(job.created, this->agents))
        {
            this->apply(job, index, internal::task_event::interrupted);
            this->end_interrupted_tasks(job);
            return;
        }
        else if (auto const admitted = this->admit(job, {index}); !admitted)
        {
            this->end_task(job, index, internal::task_event::rejected, wire::outcome_not_run,
                           admitted.error().detail);
            return;
        }
    }
    if (content.cancel_requested)
    {
        this->cancel_queued(job);
    }
}

bool shard_owner::state::adopt_from_alternate_holder(internal::job& job, std::uint32_t index,
                                                     scheduling::task_id const& refused)
{
    auto const found = this->alternate_holders.find(refused);
    if (found == this->alternate_holders.end())
    {
        return false;
    }
    auto const holder = found->second;
    this->alternate_holders.erase(found);
    this->apply(job, index, internal::task_event::interrupted);
    auto* const agent = this->agents.find(holder.agent);
    if (agent == nullptr || agent->replaced)
    {
        this->end_task(job, index, internal::task_event::lost, wire::outcome_may_have_run,
                       "the agent restarted while it held the task");
        return true;
    }
    this->adopt(*agent, job, index, holder.view);
    return true;
}

void shard_owner::state::cancel_queued(internal::job& job)
{
    auto const scheduler_job_ids = job.content->scheduler_job_ids;
    for (auto const id : scheduler_job_ids)
    {
        for (auto const index : this->scheduler.cancel_job(id))
        {
            this->end_task(job, index, internal::task_event::cancelled, wire::outcome_not_run,
                           "cancelled before it was started");
        }
    }
}

void shard_owner::state::mark_tasks_lost(internal::agent_record& agent, std::string_view reason)
{
    auto const tasks = std::exchange(agent.tasks, {});
    for (auto const& [id, view] : tasks)
    {
        this->scheduler.task_finished(id, scheduling::task_outcome::lost, {}, this->now);
        if (auto* const job = this->jobs.find_by_scheduler_job_id(id.job))
        {
            this->end_task(*job, id.index, internal::task_event::lost, wire::outcome_may_have_run,
                           reason);
        }
    }
}

void shard_owner::state::end_interrupted_tasks(internal::job& job)
{
    auto const in_doubt = this->recovery.is_in_doubt(job.created, this->agents);
    for (std::uint32_t i = 0; i < job.task_count && job.content; ++i)
    {
        if (job.content->tasks[i].state != internal::task_state::interrupted)
        {
            continue;
        }
        if (in_doubt)
        {
            job.in_doubt = true;
            this->end_task(job, i, internal::task_event::lost, wire::outcome_may_have_run,
                           "the previous owner and the ledger of an agent are lost");
        }
        else
        {
            this->end_task(job, i, internal::task_event::rejected, wire::outcome_not_run,
                           "the previous owner was lost before it started the task");
        }
    }
}

void shard_owner::state::remove_job(internal::job& job)
{
    this->recovered_jobs.erase(job.serial);
    if (job.content)
    {
        for (std::uint32_t i = 0; i < job.task_count; ++i)
        {
            auto& task = job.content->tasks[i];
            if (task.agent != nullptr)
            {
                task.agent->tasks.erase({task.scheduler_job_id, i});
                this->alternate_holders.erase({task.scheduler_job_id, i});
                this->scheduler.task_finished({task.scheduler_job_id, i},
                                              scheduling::task_outcome::cancelled, {}, this->now);
            }
        }
        for (auto const number : job.content->waiting_request_numbers)
        {
            this->waiting_requests.take(number);
            this->outbox.refuse(number, internal::error_code::outcome_unknown,
                                "the job moved to another owner");
        }
    }
    this->unfinished_tasks -= job.task_count - job.ended_tasks;
    this->jobs.remove(job);
}

} // namespace filbertroad::submission

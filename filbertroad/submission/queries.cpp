#include "filbertroad/submission/internal/owner_state.hpp"

#include <utility>

namespace filbertroad::submission
{

using internal::error_code;

void shard_owner::state::answer_unknown_key(std::uint64_t number, model::job_id const& id,
                                            base::system_time created, internal::call const& call,
                                            bool lookup_completed)
{
    auto const is_created_after_change =
        this->is_created_after(created, this->ownership_changed_at);
    if (auto const refusal = this->refusal_for_unknown_key(created))
    {
        this->outbox.refuse(number, *refusal, "key " + id.key + " is not known here");
    }
    else if (!lookup_completed && !is_created_after_change)
    {
        this->start_lookup(number, id, created, call);
    }
    else if (!is_created_after_change && this->recovery.is_in_doubt(created, this->agents))
    {
        this->outbox.refuse(number, error_code::outcome_unknown, "the ledger of an agent is lost");
    }
    else
    {
        this->outbox.refuse(number, error_code::unknown_job, "no member holds the key");
    }
}

internal::job* shard_owner::state::find_queried_job(std::uint64_t number,
                                                    internal::call const& call,
                                                    wire::job_query const& query,
                                                    bool lookup_completed, bool changes_job)
{
    auto const key = model::parse_key(query.key());
    if (!key)
    {
        this->outbox.refuse(number, error_code::bad_key, key.error().detail);
        return nullptr;
    }
    model::job_id const id{query.route(), query.key()};
    auto const created = key.value().created;
    auto* const job = this->jobs.find(id);
    if (job == nullptr)
    {
        this->answer_unknown_key(number, id, created, call, lookup_completed);
        return nullptr;
    }
    if (this->jobs.name_of(job->team) != query.team())
    {
        this->outbox.refuse(number, error_code::wrong_team, "the key belongs to another team");
        return nullptr;
    }
    if (this->needs_lookup(*job) &&
        job->content->lookup_completed_view != this->current_ownership.view && !lookup_completed)
    {
        if (this->accepts_new_keys())
        {
            this->start_lookup(number, id, created, call);
        }
        else
        {
            this->outbox.refuse(number, error_code::outcome_unknown, "the job is interrupted");
        }
        return nullptr;
    }
    if (changes_job && !job->has_ended() && !this->is_confirmed_member())
    {
        this->outbox.refuse(number, error_code::not_confirmed, "this owner may have been replaced");
        return nullptr;
    }
    return job;
}

void shard_owner::state::handle_call(std::uint64_t number, internal::query_call const& call,
                                     bool lookup_completed)
{
    auto const& query = call.query;
    auto* const job = this->find_queried_job(number, call, query, lookup_completed, false);
    if (job == nullptr)
    {
        return;
    }
    if (!job->content)
    {
        this->outbox.refuse(number, error_code::acknowledged,
                            "the answers of " + query.key() + " were acknowledged");
        return;
    }
    this->answer_or_wait(number, *job, query.wait_ms(), query.with_history());
}

void shard_owner::state::handle_call(std::uint64_t number, internal::cancel_call const& call,
                                     bool lookup_completed)
{
    auto const& query = call.query;
    auto* const job = this->find_queried_job(number, call, query, lookup_completed, true);
    if (job == nullptr)
    {
        return;
    }
    if (!job->content)
    {
        this->outbox.refuse(number, error_code::acknowledged,
                            "the answers of " + query.key() + " were acknowledged");
        return;
    }
    this->cancel_tasks(*job);
    this->answer_or_wait(number, *job, query.wait_ms(), query.with_history());
}

void shard_owner::state::handle_call(std::uint64_t number, internal::acknowledge_call const& call,
                                     bool lookup_completed)
{
    auto* const job = this->find_queried_job(number, call, call.query, lookup_completed, false);
    if (job == nullptr)
    {
        return;
    }
    if (!job->has_ended())
    {
        this->outbox.refuse(number, error_code::job_not_ended,
                            "the answers of a job are acknowledged after its end");
        return;
    }
    if (job->content)
    {
        this->jobs.discard_answers(*job);
    }
    this->outbox.answer(number, this->report(*job, false));
}

void shard_owner::state::answer_or_wait(std::uint64_t number, internal::job& job,
                                        std::uint32_t wait_ms, bool with_history)
{
    if (job.has_ended() || wait_ms == 0)
    {
        this->answer_report(number, job, with_history);
        return;
    }
    job.content->waiting_request_numbers.push_back(number);
    this->waiting_requests.add(
        number, {job.id(), this->now + std::chrono::milliseconds(wait_ms), with_history});
}

void shard_owner::state::answer_report(std::uint64_t number, internal::job const& job,
                                       bool with_history)
{
    // A later owner may have started tasks that this owner reports as not run.
    if (job.has_ended() && job.content && job.content->reports_not_run &&
        !this->is_confirmed_member())
    {
        this->outbox.refuse(number, error_code::not_confirmed, "this owner may have been replaced");
        return;
    }
    this->outbox.answer(number, this->report(job, with_history));
}

void shard_owner::state::send_cancel_of(internal::job const& job, std::uint32_t index)
{
    auto const& agent = *job.content->tasks[index].agent;
    if (agent.linked)
    {
        send_cancel request{.agent = agent.id, .cancel = {}};
        *request.cancel.mutable_task() = wire::make_task_ref(job.id(), index);
        this->outbox.add(std::move(request));
    }
}

void shard_owner::state::cancel_tasks(internal::job& job)
{
    if (job.has_ended())
    {
        return;
    }
    auto& content = *job.content;
    content.cancel_requested = true;
    this->record_history(job, internal::whole_job, internal::history_event::cancel_requested);
    for (std::uint32_t i = 0; i < job.task_count; ++i)
    {
        if (internal::is_at_agent(content.tasks[i].state))
        {
            this->send_cancel_of(job, i);
        }
    }
    if (this->needs_lookup(job))
    {
        this->end_interrupted_tasks(job);
    }
    this->cancel_queued(job);
}

} // namespace filbertroad::submission

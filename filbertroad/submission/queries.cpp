#include "filbertroad/submission/internal/owner_state.hpp"

#include <utility>

namespace filbertroad::submission
{

using internal::error_code;

void shard_owner::state::answer_unknown(std::uint64_t number, model::job_id const& id,
                                        base::system_time created, internal::call const& call,
                                        bool cleared)
{
    auto const is_fresh = this->is_after(created, this->changed_at);
    if (auto const refusal = this->refusal_of_unknown(created))
    {
        this->out.refuse(number, *refusal, "key " + id.key + " is not known here");
    }
    else if (!cleared && !is_fresh)
    {
        this->inquire(number, id, created, call);
    }
    else if (!is_fresh && this->fences.is_in_doubt(created, this->agents))
    {
        this->out.refuse(number, error_code::outcome_unknown, "the ledger of an agent is lost");
    }
    else
    {
        this->out.refuse(number, error_code::unknown_job, "no member holds the key");
    }
}

internal::job* shard_owner::state::find_for(std::uint64_t number, internal::call const& call,
                                            wire::job_query const& query, bool cleared,
                                            bool may_act)
{
    auto const key = model::parse_key(query.key());
    if (!key)
    {
        this->out.refuse(number, error_code::bad_key, key.error().detail);
        return nullptr;
    }
    model::job_id const id{query.route(), query.key()};
    auto const created = key.value().created;
    auto* const known = this->jobs.find(id);
    if (known == nullptr)
    {
        this->answer_unknown(number, id, created, call, cleared);
        return nullptr;
    }
    if (this->jobs.name_of(known->team) != query.team())
    {
        this->out.refuse(number, error_code::wrong_team, "the key belongs to another team");
        return nullptr;
    }
    if (this->needs_inquiry(*known) && known->content->cleared_view != this->owned.view && !cleared)
    {
        if (this->is_serving())
        {
            this->inquire(number, id, created, call);
        }
        else
        {
            this->out.refuse(number, error_code::outcome_unknown, "the job is interrupted");
        }
        return nullptr;
    }
    if (may_act && !known->has_ended() && !this->is_current())
    {
        this->out.refuse(number, error_code::not_confirmed, "this owner may have been replaced");
        return nullptr;
    }
    return known;
}

void shard_owner::state::handle_call(std::uint64_t number, internal::query_call const& call,
                                     bool cleared)
{
    auto const& query = call.query;
    auto* const known = this->find_for(number, call, query, cleared, false);
    if (known == nullptr)
    {
        return;
    }
    if (!known->content)
    {
        this->out.refuse(number, error_code::acknowledged,
                         "the answers of " + query.key() + " were acknowledged");
        return;
    }
    this->answer_or_wait(number, *known, query.wait_ms(), query.with_history());
}

void shard_owner::state::handle_call(std::uint64_t number, internal::cancel_call const& call,
                                     bool cleared)
{
    auto const& query = call.query;
    auto* const known = this->find_for(number, call, query, cleared, true);
    if (known == nullptr)
    {
        return;
    }
    if (!known->content)
    {
        this->out.refuse(number, error_code::acknowledged,
                         "the answers of " + query.key() + " were acknowledged");
        return;
    }
    this->cancel_tasks(*known);
    this->answer_or_wait(number, *known, query.wait_ms(), query.with_history());
}

void shard_owner::state::handle_call(std::uint64_t number, internal::acknowledge_call const& call,
                                     bool cleared)
{
    auto* const known = this->find_for(number, call, call.query, cleared, false);
    if (known == nullptr)
    {
        return;
    }
    if (!known->has_ended())
    {
        this->out.refuse(number, error_code::job_not_ended, "only ended jobs are acknowledged");
        return;
    }
    if (known->content)
    {
        this->jobs.forget_answers(*known);
    }
    this->out.answer(number, this->report(*known, false));
}

void shard_owner::state::answer_or_wait(std::uint64_t number, internal::job& known,
                                        std::uint32_t wait_ms, bool with_history)
{
    if (known.has_ended() || wait_ms == 0)
    {
        this->answer_report(number, known, with_history);
        return;
    }
    known.content->waiting.push_back(number);
    this->waiting.add(number,
                      {known.id(), this->now + std::chrono::milliseconds(wait_ms), with_history});
}

void shard_owner::state::answer_report(std::uint64_t number, internal::job const& known,
                                       bool with_history)
{
    // A later owner may have started what was not run here.
    if (known.has_ended() && known.content && known.content->claims_not_run && !this->is_current())
    {
        this->out.refuse(number, error_code::not_confirmed, "this owner may have been replaced");
        return;
    }
    this->out.answer(number, this->report(known, with_history));
}

void shard_owner::state::cancel_tasks(internal::job& cancelled)
{
    if (cancelled.has_ended())
    {
        return;
    }
    auto& content = *cancelled.content;
    content.cancel_requested = true;
    this->note(cancelled, internal::whole_job, internal::history_event::cancel_requested);
    for (std::uint32_t i = 0; i < cancelled.task_count; ++i)
    {
        auto const& held = content.tasks[i];
        if (internal::is_at_agent(held.state) && held.agent->linked)
        {
            send_cancel request{.agent = held.agent->id, .cancel = {}};
            *request.cancel.mutable_task() = wire::make_task_ref(cancelled.id(), i);
            this->out.add(std::move(request));
        }
    }
    if (this->needs_inquiry(cancelled))
    {
        this->end_interrupted(cancelled);
    }
    this->cancel_queued(cancelled);
}

} // namespace filbertroad::submission

#include "filbertroad/submission/internal/owner_state.hpp"

#include <utility>

namespace filbertroad::submission
{
namespace
{

/// Time after which a lookup is resent to a member that did not answer.
constexpr std::chrono::milliseconds lookup_timeout{1000};

/// Time after which a lookup is resent to a member that could not be reached or had an older view.
constexpr std::chrono::milliseconds lookup_retry{100};

/// Time that a request waits beyond the fence timeout. A request that waits for one lost agent is
/// then answered without a retry by the caller.
constexpr std::chrono::milliseconds answer_margin{1000};

/// Interval between checks of the recovered jobs. After a recovery there may be too many
/// interrupted jobs to check all of them in each tick.
constexpr std::chrono::milliseconds recovered_jobs_check_interval{500};

std::size_t bytes_of(internal::call const& call)
{
    auto const* const submit = std::get_if<internal::submit_call>(&call);
    return sizeof(internal::pending_call) +
           (submit == nullptr ? 0 : submit->request.ByteSizeLong());
}

} // namespace

bool shard_owner::state::needs_lookup(internal::job const& job) const
{
    return !job.has_ended() && !job.content->submitted && job.content->interrupted_tasks > 0;
}

void shard_owner::state::start_lookup(std::uint64_t number, model::job_id const& id,
                                      base::system_time created, internal::call const& call)
{
    auto const bytes = bytes_of(call);
    if (this->jobs.held_bytes() + this->lookup_bytes + bytes > this->options.max_bytes)
    {
        this->outbox.refuse(number, internal::error_code::outcome_unknown,
                            "the memory limit is reached while requests wait for other members");
        return;
    }
    this->lookup_bytes += bytes;
    auto& lookup = this->open_lookup(id, created);
    lookup.calls.push_back(
        {number, call, bytes, this->now + this->options.fence_timeout + answer_margin});
    this->try_complete_lookup(id);
}

internal::key_lookup& shard_owner::state::open_lookup(model::job_id const& id,
                                                      base::system_time created)
{
    auto const [place, is_new] = this->key_lookups.try_emplace(id);
    if (is_new)
    {
        place->second.created = created;
        this->send_lookups(id, place->second, true);
    }
    return place->second;
}

void shard_owner::state::send_lookups(model::job_id const& id, internal::key_lookup& lookup,
                                      bool restart)
{
    if (restart)
    {
        lookup.view = this->current_ownership.view;
        lookup.awaited_members.clear();
        for (auto const& member : this->current_ownership.other_members)
        {
            lookup.awaited_members[member] = this->now;
        }
    }
    for (auto& [member, retry_at] : lookup.awaited_members)
    {
        if (retry_at > this->now)
        {
            continue;
        }
        retry_at = this->now + lookup_timeout;
        send_lookup message{.member = member, .lookup = {}};
        message.lookup.set_route(id.route);
        message.lookup.set_key(id.key);
        message.lookup.set_view(lookup.view);
        this->outbox.add(std::move(message));
    }
}

void shard_owner::state::try_complete_lookup(model::job_id const& id)
{
    auto const found = this->key_lookups.find(id);
    auto const& lookup = found->second;
    auto const complete = this->accepts_new_keys() && lookup.awaited_members.empty() &&
                          lookup.view == this->current_ownership.view &&
                          this->recovery.is_complete(
                              this->is_created_after(lookup.created, this->owner_since), this->now);
    if (!complete)
    {
        return;
    }
    auto const closed_lookup = std::move(found->second);
    this->key_lookups.erase(found);
    if (auto* const job = this->jobs.find(id); job != nullptr && this->needs_lookup(*job))
    {
        job->content->lookup_completed_view = this->current_ownership.view;
        if (closed_lookup.ends_interrupted_job)
        {
            this->end_interrupted_tasks(*job);
        }
    }
    for (auto const& call : closed_lookup.calls)
    {
        this->lookup_bytes -= call.bytes;
        this->handle(call.request_number, call.content, true);
    }
}

void shard_owner::state::try_complete_lookups()
{
    std::vector<model::job_id> ids;
    ids.reserve(this->key_lookups.size());
    for (auto const& [id, lookup] : this->key_lookups)
    {
        ids.push_back(id);
    }
    for (auto const& id : ids)
    {
        if (this->key_lookups.contains(id))
        {
            this->try_complete_lookup(id);
        }
    }
}

void shard_owner::state::forward_to_holder(model::job_id const& id, model::process_id const& holder)
{
    auto const found = this->key_lookups.find(id);
    auto const closed_lookup = std::move(found->second);
    this->key_lookups.erase(found);
    for (auto const& call : closed_lookup.calls)
    {
        this->lookup_bytes -= call.bytes;
        this->outbox.add(forward{call.request_number, holder});
    }
    // The recovered job is kept. If the holder is removed later, its fence does not make agents
    // report the starts of the owners that were removed before it.
    auto* const job = this->jobs.find(id);
    if (job != nullptr && this->needs_lookup(*job))
    {
        job->content->interrupted_at = this->now;
    }
}

void shard_owner::state::check_recovered_jobs()
{
    if (this->now - this->recovered_jobs_checked_at < recovered_jobs_check_interval)
    {
        return;
    }
    this->recovered_jobs_checked_at = this->now;
    auto const keep_for = this->options.key_retention + 2 * this->options.clock_skew;
    auto const jobs = this->recovered_jobs;
    for (auto const& [serial, job] : jobs)
    {
        if (!this->needs_lookup(*job))
        {
            continue;
        }
        if (this->wall() - job->created > keep_for)
        {
            this->remove_job(*job);
        }
        else if (this->accepts_new_keys() &&
                 this->now - job->content->interrupted_at >= this->options.recovery_timeout)
        {
            this->open_lookup(job->id(), job->created).ends_interrupted_job = true;
        }
    }
}

void shard_owner::state::expire_and_retry_lookups()
{
    this->check_recovered_jobs();
    for (auto place = this->key_lookups.begin(); place != this->key_lookups.end();)
    {
        auto& [id, lookup] = *place;
        std::erase_if(lookup.calls,
                      [&](internal::pending_call const& call)
                      {
                          if (call.deadline > this->now)
                          {
                              return false;
                          }
                          this->lookup_bytes -= call.bytes;
                          this->outbox.refuse(call.request_number,
                                              internal::error_code::outcome_unknown,
                                              "other members or agents have not answered yet");
                          return true;
                      });
        if (lookup.calls.empty() && !lookup.ends_interrupted_job)
        {
            place = this->key_lookups.erase(place);
            continue;
        }
        this->send_lookups(id, lookup, false);
        ++place;
    }
    this->try_complete_lookups();
}

void shard_owner::state::refuse_lookups()
{
    for (auto const& [id, lookup] : std::exchange(this->key_lookups, {}))
    {
        for (auto const& call : lookup.calls)
        {
            this->outbox.refuse(call.request_number, internal::error_code::outcome_unknown,
                                "another member owns the key now");
        }
    }
    this->lookup_bytes = 0;
}

void shard_owner::lookup_answered(model::process_id const& member, wire::lookup const& lookup,
                                  wire::lookup_reply const& answer, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    model::job_id const id{lookup.route(), lookup.key()};
    auto const found = state.key_lookups.find(id);
    if (found == state.key_lookups.end() || lookup.view() != found->second.view ||
        !found->second.awaited_members.contains(member))
    {
        return;
    }
    if (answer.held())
    {
        state.forward_to_holder(id, member);
    }
    else if (!answer.current())
    {
        found->second.awaited_members[member] = state.now + lookup_retry;
    }
    else
    {
        found->second.awaited_members.erase(member);
        state.try_complete_lookup(id);
    }
}

void shard_owner::lookup_failed(model::process_id const& member, wire::lookup const& lookup,
                                base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto const found = state.key_lookups.find({lookup.route(), lookup.key()});
    if (found != state.key_lookups.end() && lookup.view() == found->second.view &&
        found->second.awaited_members.contains(member))
    {
        found->second.awaited_members[member] = state.now + lookup_retry;
    }
}

wire::lookup_reply shard_owner::answer_lookup(wire::lookup const& lookup) const
{
    auto const& state = *this->impl;
    wire::lookup_reply answer;
    answer.set_current(state.has_ownership && state.current_ownership.view >= lookup.view());
    // A job that is known only from ledgers does not count as held: once another member owns the
    // key, this owner does not continue the job.
    auto const* const job = state.jobs.find({lookup.route(), lookup.key()});
    answer.set_held(job != nullptr && (job->has_ended() || job->content->submitted));
    return answer;
}

} // namespace filbertroad::submission

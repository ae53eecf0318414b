#include "filbertroad/submission/internal/owner_state.hpp"

#include <utility>

namespace filbertroad::submission
{
namespace
{

/// A member that did not answer a lookup is asked again after this time.
constexpr std::chrono::milliseconds lookup_timeout{1000};

/// A member that could not be asked, or had an older view, is asked again after this time.
constexpr std::chrono::milliseconds lookup_retry{100};

/// Beyond the fence timeout, so that one lost agent does not make a caller ask twice.
constexpr std::chrono::milliseconds answer_margin{1000};

/// After a recovery there may be many interrupted jobs, so that they are not looked at in each
/// tick.
constexpr std::chrono::milliseconds ledger_check_interval{500};

std::size_t bytes_of(internal::call const& call)
{
    auto const* const submitted = std::get_if<internal::submit_call>(&call);
    return sizeof(internal::pending_call) +
           (submitted == nullptr ? 0 : submitted->request.ByteSizeLong());
}

} // namespace

bool shard_owner::state::needs_inquiry(internal::job const& known) const
{
    return !known.has_ended() && !known.content->submitted && known.content->interrupted_tasks > 0;
}

void shard_owner::state::inquire(std::uint64_t number, model::job_id const& id,
                                 base::system_time created, internal::call const& call)
{
    auto const bytes = bytes_of(call);
    if (this->jobs.held_bytes() + this->inquiry_bytes + bytes > this->options.max_bytes)
    {
        this->out.refuse(number, internal::error_code::outcome_unknown,
                         "too many requests wait for other members");
        return;
    }
    this->inquiry_bytes += bytes;
    auto& asked = this->open_inquiry(id, created);
    asked.calls.push_back(
        {number, call, bytes, this->now + this->options.fence_timeout + answer_margin});
    this->settle_inquiry(id);
}

internal::inquiry& shard_owner::state::open_inquiry(model::job_id const& id,
                                                    base::system_time created)
{
    auto const [place, is_new] = this->inquiries.try_emplace(id);
    if (is_new)
    {
        place->second.created = created;
        this->ask(id, place->second, true);
    }
    return place->second;
}

void shard_owner::state::ask(model::job_id const& id, internal::inquiry& asked, bool from_start)
{
    if (from_start)
    {
        asked.view = this->owned.view;
        asked.awaited.clear();
        for (auto const& member : this->owned.other_members)
        {
            asked.awaited[member] = this->now;
        }
    }
    for (auto& [member, ask_at] : asked.awaited)
    {
        if (ask_at > this->now)
        {
            continue;
        }
        ask_at = this->now + lookup_timeout;
        send_lookup question{.member = member, .lookup = {}};
        question.lookup.set_route(id.route);
        question.lookup.set_key(id.key);
        question.lookup.set_view(asked.view);
        this->out.add(std::move(question));
    }
}

void shard_owner::state::settle_inquiry(model::job_id const& id)
{
    auto const found = this->inquiries.find(id);
    auto const& asked = found->second;
    auto const complete =
        this->is_serving() && asked.awaited.empty() && asked.view == this->owned.view &&
        this->fences.is_complete(this->is_after(asked.created, this->owner_since), this->now);
    if (!complete)
    {
        return;
    }
    auto const settled = std::move(found->second);
    this->inquiries.erase(found);
    if (auto* const known = this->jobs.find(id); known != nullptr && this->needs_inquiry(*known))
    {
        known->content->cleared_view = this->owned.view;
        if (settled.ends_job)
        {
            this->end_interrupted(*known);
        }
    }
    for (auto const& call : settled.calls)
    {
        this->inquiry_bytes -= call.bytes;
        this->handle(call.request_number, call.content, true);
    }
}

void shard_owner::state::settle_inquiries()
{
    std::vector<model::job_id> ids;
    ids.reserve(this->inquiries.size());
    for (auto const& [id, asked] : this->inquiries)
    {
        ids.push_back(id);
    }
    for (auto const& id : ids)
    {
        if (this->inquiries.contains(id))
        {
            this->settle_inquiry(id);
        }
    }
}

void shard_owner::state::forward_inquiry(model::job_id const& id, model::process_id const& holder)
{
    auto const found = this->inquiries.find(id);
    auto const settled = std::move(found->second);
    this->inquiries.erase(found);
    for (auto const& call : settled.calls)
    {
        this->inquiry_bytes -= call.bytes;
        this->out.add(forward{call.request_number, holder});
    }
    // What the ledgers told stays known: agents are not asked again if the holder is removed later.
    auto* const known = this->jobs.find(id);
    if (known != nullptr && this->needs_inquiry(*known))
    {
        known->content->interrupted_at = this->now;
    }
}

void shard_owner::state::check_ledger_jobs()
{
    if (this->now - this->ledger_jobs_checked_at < ledger_check_interval)
    {
        return;
    }
    this->ledger_jobs_checked_at = this->now;
    auto const keep_for = this->options.key_retention + 2 * this->options.clock_skew;
    auto const known_jobs = this->ledger_jobs;
    for (auto const& [serial, known] : known_jobs)
    {
        if (!this->needs_inquiry(*known))
        {
            continue;
        }
        if (this->wall() - known->created > keep_for)
        {
            this->remove_job(*known);
        }
        else if (this->is_serving() &&
                 this->now - known->content->interrupted_at >= this->options.recovery_wait)
        {
            this->open_inquiry(known->id(), known->created).ends_job = true;
        }
    }
}

void shard_owner::state::tick_inquiries()
{
    this->check_ledger_jobs();
    for (auto place = this->inquiries.begin(); place != this->inquiries.end();)
    {
        auto& [id, asked] = *place;
        std::erase_if(asked.calls,
                      [&](internal::pending_call const& call)
                      {
                          if (call.until > this->now)
                          {
                              return false;
                          }
                          this->inquiry_bytes -= call.bytes;
                          this->out.refuse(call.request_number,
                                           internal::error_code::outcome_unknown,
                                           "other members or agents have not answered yet");
                          return true;
                      });
        if (asked.calls.empty() && !asked.ends_job)
        {
            place = this->inquiries.erase(place);
            continue;
        }
        this->ask(id, asked, false);
        ++place;
    }
    this->settle_inquiries();
}

void shard_owner::state::refuse_inquiries()
{
    for (auto const& [id, asked] : std::exchange(this->inquiries, {}))
    {
        for (auto const& call : asked.calls)
        {
            this->out.refuse(call.request_number, internal::error_code::outcome_unknown,
                             "another member owns the key now");
        }
    }
    this->inquiry_bytes = 0;
}

void shard_owner::lookup_answered(model::process_id const& member, wire::lookup const& asked,
                                  wire::lookup_reply const& answer, base::steady_time now)
{
    auto& state = *this->content;
    state.advance(now);
    model::job_id const id{asked.route(), asked.key()};
    auto const found = state.inquiries.find(id);
    if (found == state.inquiries.end() || asked.view() != found->second.view ||
        !found->second.awaited.contains(member))
    {
        return;
    }
    if (answer.held())
    {
        state.forward_inquiry(id, member);
    }
    else if (!answer.current())
    {
        found->second.awaited[member] = state.now + lookup_retry;
    }
    else
    {
        found->second.awaited.erase(member);
        state.settle_inquiry(id);
    }
}

void shard_owner::lookup_failed(model::process_id const& member, wire::lookup const& asked,
                                base::steady_time now)
{
    auto& state = *this->content;
    state.advance(now);
    auto const found = state.inquiries.find({asked.route(), asked.key()});
    if (found != state.inquiries.end() && asked.view() == found->second.view &&
        found->second.awaited.contains(member))
    {
        found->second.awaited[member] = state.now + lookup_retry;
    }
}

wire::lookup_reply shard_owner::answer_lookup(wire::lookup const& lookup) const
{
    auto const& state = *this->content;
    wire::lookup_reply answer;
    answer.set_current(state.has_ownership && state.owned.view >= lookup.view());
    // A job that is known from ledgers only does not go on here once another member owns the key.
    auto const* const known = state.jobs.find({lookup.route(), lookup.key()});
    answer.set_held(known != nullptr && (known->has_ended() || known->content->submitted));
    return answer;
}

} // namespace filbertroad::submission

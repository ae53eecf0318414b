#include "filbertroad/control/internal/membership_round.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::control
{
namespace
{

/// A longer time between two calls of decide() counts as a pause of this process. Traffic that did
/// not arrive during the pause is no evidence that other members failed.
constexpr std::chrono::milliseconds pause_threshold{1000};

} // namespace

membership::membership(wire::member self, membership_options options)
    : self(std::move(self)), own_id(wire::to_model(this->self.id())), options(options)
{
}

void membership::heard_from(model::process_id const& peer, base::steady_time now)
{
    auto const known = this->last_contact.find(peer);
    if (known != this->last_contact.end())
    {
        known->second = std::max(known->second, now);
    }
}

void membership::promise_received(wire::promise const& promise)
{
    if (!this->pending_request || promise.view() != this->pending_request->view())
    {
        return;
    }
    if (this->promised_view != promise.view())
    {
        this->promises.clear();
        this->promised_view = promise.view();
    }
    auto& missing = this->promises[wire::to_model(promise.agent())];
    missing.clear();
    for (auto const& id : promise.missing())
    {
        missing.insert(wire::to_model(id));
    }
}

void membership::start_leaving()
{
    this->leaving = true;
}

void membership::set_view_stable(bool stable)
{
    this->view_stable = stable;
}

void membership::finish_leaving()
{
    this->leaving = true;
    this->handover_finished = true;
}

std::optional<wire::promise_request> membership::pending_promise_request() const
{
    return this->pending_request;
}

std::vector<wire::control_record> membership::decide(control_state const& state, bool log_confirmed,
                                                     base::steady_time now, base::system_time wall)
{
    this->detect_pause(now);
    this->update_members(state, now);
    this->update_agents(state, now);
    if (!log_confirmed)
    {
        this->pending_request.reset();
        return {};
    }
    round round{state, now, wall, {}, false, {}};
    for (auto const& [peer, last] : this->last_contact)
    {
        if (now - last < this->options.member_timeout)
        {
            round.live_members.push_back(peer);
        }
    }
    if (state.is_member(this->own_id))
    {
        round.live_members.push_back(this->own_id);
    }
    round.has_live_majority = round.live_members.size() * 2 > state.members().size();
    this->decide_own_membership(round);
    if (!state.is_member(this->own_id))
    {
        this->pending_request.reset();
        return std::move(round.records);
    }
    this->decide_votes(round);
    this->decide_replacement(round);
    this->decide_agents_joined(round);
    this->decide_agents_removed(round);
    this->decide_snapshot(round);
    return std::move(round.records);
}

void membership::detect_pause(base::steady_time now)
{
    if (this->last_round && now - *this->last_round > pause_threshold)
    {
        for (auto& [peer, last] : this->last_contact)
        {
            last = now;
        }
        for (auto& [agent, tracked] : this->agents)
        {
            tracked.since = tracked.linked ? tracked.since : now;
        }
        this->promises.clear();
    }
    this->last_round = now;
    std::erase_if(this->pending_appends, [&](auto const& item)
                  { return now - item.second >= this->options.append_retry_interval; });
}

void membership::update_members(control_state const& state, base::steady_time now)
{
    for (auto const& member : state.members())
    {
        auto const id = wire::to_model(member.id());
        if (id != this->own_id)
        {
            this->last_contact.try_emplace(id, now);
        }
    }
    std::erase_if(this->last_contact,
                  [&](auto const& item) { return !state.is_member(item.first); });
}

bool membership::begin_append(std::string const& effect, base::steady_time now)
{
    return this->pending_appends.try_emplace(effect, now).second;
}

/// Delay before this entry appends a record that any member could append. The members are ranked by
/// their hash scores for the subject: the live member with the highest score does not wait, each
/// further one waits one append_retry_interval longer than its predecessor. Members thus do not
/// append the same record at the same time, and a failed member only delays it.
std::chrono::milliseconds membership::rank_delay(round const& round, std::string_view subject) const
{
    auto const seed = base::hash64(subject);
    auto const own = base::hash64(this->own_id.name, seed);
    auto const before =
        std::count_if(round.live_members.begin(), round.live_members.end(),
                      [&](auto const& peer) { return base::hash64(peer.name, seed) > own; });
    return this->options.append_retry_interval * before;
}

bool membership::may_join(round const& round) const
{
    if (round.state.is_removed(this->own_id))
    {
        return false;
    }
    auto const members = round.state.members();
    bool const supersedes_own_incarnation =
        std::any_of(members.begin(), members.end(),
                    [this](auto const& member) { return member.id().name() == this->own_id.name; });
    bool const no_recent_contact =
        std::all_of(this->last_contact.begin(), this->last_contact.end(),
                    [&](auto const& item)
                    { return round.now - item.second >= this->options.majority_timeout; });
    return this->view_stable || supersedes_own_incarnation || no_recent_contact;
}

void membership::decide_own_membership(round& round)
{
    if (!round.state.is_member(this->own_id))
    {
        if (!this->leaving && this->may_join(round) && this->begin_append("joined", round.now))
        {
            *round.add_record().mutable_joined()->mutable_entry() = this->self;
        }
        return;
    }
    if (this->handover_finished)
    {
        if (this->begin_append("left", round.now))
        {
            *round.add_record().mutable_left()->mutable_entry() = this->self.id();
        }
        return;
    }
    auto const members = round.state.members();
    bool const marked_leaving =
        std::any_of(members.begin(), members.end(),
                    [this](auto const& member)
                    { return wire::to_model(member.id()) == this->own_id && member.leaving(); });
    if (this->leaving && !marked_leaving && this->begin_append("leaving", round.now))
    {
        *round.add_record().mutable_leaving()->mutable_entry() = this->self.id();
    }
}

void membership::decide_votes(round& round)
{
    if (!round.has_live_majority || !this->view_stable)
    {
        return;
    }
    for (auto const& [peer, last] : this->last_contact)
    {
        if (round.now - last < this->options.member_timeout ||
            round.state.has_vote(peer, this->own_id) ||
            !this->begin_append("vote " + internal::describe(peer) + " " +
                                    std::to_string(round.state.view()),
                                round.now))
        {
            continue;
        }
        auto* const vote = round.add_record().mutable_vote();
        *vote->mutable_subject() = wire::to_wire(peer);
        *vote->mutable_voter() = this->self.id();
    }
}

void membership::decide_replacement(round& round)
{
    std::vector<model::process_id> missing;
    for (auto const& [peer, last] : this->last_contact)
    {
        if (round.now - last >= this->options.majority_timeout)
        {
            missing.push_back(peer);
        }
    }
    // Exactly half of the members are included, since the other half cannot vote them out.
    if (missing.size() * 2 < round.state.members().size() || missing.empty())
    {
        this->pending_request.reset();
        return;
    }
    wire::promise_request request;
    request.set_view(round.state.view());
    for (auto const& id : missing)
    {
        *request.add_missing() = wire::to_wire(id);
    }
    this->pending_request = std::move(request);
    this->add_replacement(round, missing);
}

void membership::add_replacement(round& round, std::vector<model::process_id> const& missing)
{
    if (this->promised_view != round.state.view())
    {
        return;
    }
    wire::view_replaced replaced;
    replaced.set_base(round.state.view());
    for (auto const& agent : round.state.agents())
    {
        auto const promise = this->promises.find(wire::to_model(agent.id()));
        if (promise != this->promises.end() &&
            std::all_of(missing.begin(), missing.end(),
                        [&](auto const& id) { return promise->second.contains(id); }))
        {
            *replaced.add_promised_agents() = agent.id();
        }
    }
    auto const promised = static_cast<std::size_t>(replaced.promised_agents_size());
    if (promised * 2 <= round.state.agents().size() ||
        !this->begin_append("replaced " + std::to_string(round.state.view()), round.now))
    {
        return;
    }
    for (auto const& id : missing)
    {
        *replaced.add_removed() = wire::to_wire(id);
    }
    *round.add_record().mutable_replaced() = std::move(replaced);
}

void membership::decide_snapshot(round& round)
{
    if (round.state.version() == 0 || !this->view_stable)
    {
        return;
    }
    auto const newest = round.state.newest_snapshot_time();
    if (newest && round.wall - *newest < this->options.snapshot_interval)
    {
        this->snapshot_due_since.reset();
        return;
    }
    if (!this->snapshot_due_since)
    {
        this->snapshot_due_since = round.now;
    }
    if (round.now - *this->snapshot_due_since >= this->rank_delay(round, "snapshot") &&
        this->begin_append("snapshot", round.now))
    {
        *round.add_record().mutable_snapshot() = round.state.snapshot();
    }
}

} // namespace filbertroad::control

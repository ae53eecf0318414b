#include "filbertroad/control/internal/membership_round.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::control
{
namespace
{

/// Time between two calls of decide() beyond which this process counts as paused: what it did not
/// hear meanwhile says nothing about the others.
constexpr std::chrono::milliseconds pause_threshold{1000};

} // namespace

membership::membership(wire::member self, membership_options options)
    : self(std::move(self)), own_id(wire::to_model(this->self.id())), options(options)
{
}

void membership::heard_from(model::process_id const& peer, base::steady_time now)
{
    auto const known = this->heard.find(peer);
    if (known != this->heard.end())
    {
        known->second = std::max(known->second, now);
    }
}

void membership::promise_received(wire::promise const& promise)
{
    if (!this->wanted || promise.view() != this->wanted->view())
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

void membership::set_view_settled(bool settled)
{
    this->view_settled = settled;
}

void membership::finish_leaving()
{
    this->leaving = true;
    this->left = true;
}

std::optional<wire::promise_request> membership::promises_wanted() const
{
    return this->wanted;
}

std::vector<wire::control_record> membership::decide(control_state const& state, bool log_confirmed,
                                                     base::steady_time now, base::system_time wall)
{
    this->notice_pause(now);
    this->update_members(state, now);
    this->update_agents(state, now);
    if (!log_confirmed)
    {
        this->wanted.reset();
        return {};
    }
    round round{state, now, wall, {}, false, {}};
    for (auto const& [peer, last] : this->heard)
    {
        if (now - last < this->options.member_silence)
        {
            round.alive.push_back(peer);
        }
    }
    if (state.is_member(this->own_id))
    {
        round.alive.push_back(this->own_id);
    }
    round.majority_alive = round.alive.size() * 2 > state.members().size();
    this->decide_own(round);
    if (!state.is_member(this->own_id))
    {
        this->wanted.reset();
        return std::move(round.records);
    }
    this->decide_votes(round);
    this->decide_replacement(round);
    this->decide_agents_joined(round);
    this->decide_agents_removed(round);
    this->decide_snapshot(round);
    return std::move(round.records);
}

void membership::notice_pause(base::steady_time now)
{
    if (this->last_round && now - *this->last_round > pause_threshold)
    {
        for (auto& [peer, last] : this->heard)
        {
            last = now;
        }
        for (auto& [agent, view] : this->agents)
        {
            view.since = view.linked ? view.since : now;
        }
        this->promises.clear();
    }
    this->last_round = now;
    std::erase_if(this->appended, [&](auto const& item)
                  { return now - item.second >= this->options.append_retry; });
}

void membership::update_members(control_state const& state, base::steady_time now)
{
    for (auto const& member : state.members())
    {
        auto const id = wire::to_model(member.id());
        if (id != this->own_id)
        {
            this->heard.try_emplace(id, now);
        }
    }
    std::erase_if(this->heard, [&](auto const& item) { return !state.is_member(item.first); });
}

bool membership::is_due(std::string const& record, base::steady_time now)
{
    return this->appended.try_emplace(record, now).second;
}

/// Time that this entry waits before it appends a record that any entry could append: none if it
/// has the highest score for the subject among the members that are alive, else one retry time per
/// member before it, so that a failed entry delays a record but several do not append it at once.
std::chrono::milliseconds membership::turn_delay(round const& round, std::string_view subject) const
{
    auto const seed = base::hash64(subject);
    auto const own = base::hash64(this->own_id.name, seed);
    auto const before =
        std::count_if(round.alive.begin(), round.alive.end(),
                      [&](auto const& peer) { return base::hash64(peer.name, seed) > own; });
    return this->options.append_retry * before;
}

bool membership::may_join(round const& round) const
{
    if (round.state.is_removed(this->own_id))
    {
        return false;
    }
    auto const members = round.state.members();
    bool const replaces_itself =
        std::any_of(members.begin(), members.end(),
                    [this](auto const& member) { return member.id().name() == this->own_id.name; });
    bool const nobody_heard =
        std::all_of(this->heard.begin(), this->heard.end(),
                    [&](auto const& item)
                    { return round.now - item.second >= this->options.majority_silence; });
    return this->view_settled || replaces_itself || nobody_heard;
}

void membership::decide_own(round& round)
{
    if (!round.state.is_member(this->own_id))
    {
        if (!this->leaving && this->may_join(round) && this->is_due("joined", round.now))
        {
            *round.add().mutable_joined()->mutable_entry() = this->self;
        }
        return;
    }
    if (this->left)
    {
        if (this->is_due("left", round.now))
        {
            *round.add().mutable_left()->mutable_entry() = this->self.id();
        }
        return;
    }
    auto const members = round.state.members();
    bool const marked =
        std::any_of(members.begin(), members.end(),
                    [this](auto const& member)
                    { return wire::to_model(member.id()) == this->own_id && member.leaving(); });
    if (this->leaving && !marked && this->is_due("leaving", round.now))
    {
        *round.add().mutable_leaving()->mutable_entry() = this->self.id();
    }
}

void membership::decide_votes(round& round)
{
    if (!round.majority_alive || !this->view_settled)
    {
        return;
    }
    for (auto const& [peer, last] : this->heard)
    {
        if (round.now - last < this->options.member_silence ||
            round.state.has_vote(peer, this->own_id) ||
            !this->is_due("vote " + internal::describe(peer) + " " +
                              std::to_string(round.state.view()),
                          round.now))
        {
            continue;
        }
        auto* const vote = round.add().mutable_vote();
        *vote->mutable_subject() = wire::to_wire(peer);
        *vote->mutable_voter() = this->self.id();
    }
}

void membership::decide_replacement(round& round)
{
    std::vector<model::process_id> missing;
    for (auto const& [peer, last] : this->heard)
    {
        if (round.now - last >= this->options.majority_silence)
        {
            missing.push_back(peer);
        }
    }
    // Half of the members cannot remove the other half by votes either.
    if (missing.size() * 2 < round.state.members().size() || missing.empty())
    {
        this->wanted.reset();
        return;
    }
    wire::promise_request request;
    request.set_view(round.state.view());
    for (auto const& id : missing)
    {
        *request.add_missing() = wire::to_wire(id);
    }
    this->wanted = std::move(request);
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
        !this->is_due("replaced " + std::to_string(round.state.view()), round.now))
    {
        return;
    }
    for (auto const& id : missing)
    {
        *replaced.add_removed() = wire::to_wire(id);
    }
    *round.add().mutable_replaced() = std::move(replaced);
}

void membership::decide_snapshot(round& round)
{
    if (round.state.version() == 0 || !this->view_settled)
    {
        return;
    }
    auto const newest = round.state.newest_snapshot();
    if (newest && round.wall - *newest < this->options.snapshot_interval)
    {
        this->snapshot_due_since.reset();
        return;
    }
    if (!this->snapshot_due_since)
    {
        this->snapshot_due_since = round.now;
    }
    if (round.now - *this->snapshot_due_since >= this->turn_delay(round, "snapshot") &&
        this->is_due("snapshot", round.now))
    {
        *round.add().mutable_snapshot() = round.state.snapshot();
    }
}

} // namespace filbertroad::control

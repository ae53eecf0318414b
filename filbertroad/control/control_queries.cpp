// Accessors, snapshots and restoring of the control state.

#include "filbertroad/base/hash.hpp"
#include "filbertroad/control/control_state.hpp"
#include "filbertroad/control/tables.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::control
{
namespace
{

template <class Table>
auto const* find_entry(Table const& entries, std::map<std::string, int, std::less<>> const& index,
                       std::string_view name)
{
    auto const position = index.find(name);
    return position == index.end() ? nullptr : &entries.Get(position->second);
}

wire::service_state
service_state_of(std::map<std::string, wire::service_state, std::less<>> const& states,
                 std::string_view name)
{
    auto const known = states.find(name);
    if (known != states.end())
    {
        return known->second;
    }
    wire::service_state unchanged;
    unchanged.set_name(std::string(name));
    unchanged.set_in_service(true);
    return unchanged;
}

std::vector<wire::service_state>
to_list(std::map<std::string, wire::service_state, std::less<>> const& states)
{
    std::vector<wire::service_state> list;
    list.reserve(states.size());
    for (auto const& [name, state] : states)
    {
        list.push_back(state);
    }
    return list;
}

/// The reason why a snapshot is invalid; empty if it is valid.
std::string validate_snapshot(wire::control_snapshot const& snapshot)
{
    for (auto const& violation :
         {validate(snapshot.routes()), validate(snapshot.pools()), validate(snapshot.teams())})
    {
        if (violation)
        {
            return violation->detail;
        }
    }
    auto const newest = std::max({snapshot.routes_version(), snapshot.pools_version(),
                                  snapshot.teams_version(), snapshot.view()});
    if (newest > snapshot.as_of())
    {
        return "as_of: " + std::to_string(snapshot.as_of()) + " is older than version " +
               std::to_string(newest) + " in the snapshot";
    }
    return {};
}

bool is_name_less(auto const& left, auto const& right)
{
    return left.id().name() < right.id().name();
}

} // namespace

base::result<control_state, base::error<snapshot_error>>
control_state::from_snapshot(wire::control_snapshot const& snapshot)
{
    auto const violation = validate_snapshot(snapshot);
    if (!violation.empty())
    {
        return base::error<snapshot_error>{snapshot_error::invalid, violation};
    }
    control_state state;
    state.version_offset = snapshot.as_of();
    state.next = std::max(snapshot.as_of() + 1, snapshot.next_offset());
    state.view_offset = snapshot.view();
    state.routes_content = snapshot.routes();
    state.pools_content = snapshot.pools();
    state.teams_content = snapshot.teams();
    state.routes_offset = snapshot.routes_version();
    state.pools_offset = snapshot.pools_version();
    state.teams_offset = snapshot.teams_version();
    for (auto const& zone : snapshot.zones())
    {
        state.zone_states[zone.name()] = zone;
    }
    for (auto const& target : snapshot.targets())
    {
        state.target_states[target.name()] = target;
    }
    state.service_offset =
        std::max(newest_version(state.zone_states), newest_version(state.target_states));
    state.member_list.assign(snapshot.members().begin(), snapshot.members().end());
    state.agent_list.assign(snapshot.agents().begin(), snapshot.agents().end());
    std::sort(state.member_list.begin(), state.member_list.end(),
              is_name_less<wire::member, wire::member>);
    std::sort(state.agent_list.begin(), state.agent_list.end(),
              is_name_less<wire::agent, wire::agent>);
    state.removed_members.assign(snapshot.removed_members().begin(),
                                 snapshot.removed_members().end());
    state.removed_agents.assign(snapshot.removed_agents().begin(), snapshot.removed_agents().end());
    for (auto const& vote : snapshot.votes())
    {
        state.votes[wire::to_model(vote.subject())].insert(wire::to_model(vote.voter()));
    }
    state.rebuild_indexes();
    return state;
}

wire::control_snapshot control_state::snapshot() const
{
    wire::control_snapshot snapshot;
    snapshot.set_as_of(this->version_offset);
    snapshot.set_next_offset(this->next);
    *snapshot.mutable_routes() = this->routes_content;
    *snapshot.mutable_pools() = this->pools_content;
    *snapshot.mutable_teams() = this->teams_content;
    snapshot.set_routes_version(this->routes_offset);
    snapshot.set_pools_version(this->pools_offset);
    snapshot.set_teams_version(this->teams_offset);
    for (auto const& [name, state] : this->zone_states)
    {
        *snapshot.add_zones() = state;
    }
    for (auto const& [name, state] : this->target_states)
    {
        *snapshot.add_targets() = state;
    }
    snapshot.set_view(this->view_offset);
    snapshot.mutable_members()->Assign(this->member_list.begin(), this->member_list.end());
    snapshot.mutable_agents()->Assign(this->agent_list.begin(), this->agent_list.end());
    snapshot.mutable_removed_members()->Assign(this->removed_members.begin(),
                                               this->removed_members.end());
    snapshot.mutable_removed_agents()->Assign(this->removed_agents.begin(),
                                              this->removed_agents.end());
    for (auto const& [subject, voters] : this->votes)
    {
        for (auto const& voter : voters)
        {
            auto* const vote = snapshot.add_votes();
            *vote->mutable_subject() = wire::to_wire(subject);
            *vote->mutable_voter() = wire::to_wire(voter);
        }
    }
    return snapshot;
}

void control_state::rebuild_indexes()
{
    this->route_index.clear();
    this->pool_index.clear();
    this->team_index.clear();
    this->token_index.clear();
    for (int index = 0; index < this->routes_content.routes_size(); ++index)
    {
        this->route_index[this->routes_content.routes(index).name()] = index;
    }
    for (int index = 0; index < this->pools_content.pools_size(); ++index)
    {
        this->pool_index[this->pools_content.pools(index).name()] = index;
    }
    for (int index = 0; index < this->teams_content.teams_size(); ++index)
    {
        this->team_index[this->teams_content.teams(index).name()] = index;
        this->token_index[this->teams_content.teams(index).token()] = index;
    }
}

std::uint64_t control_state::version() const
{
    return this->version_offset;
}

std::uint64_t control_state::next_offset() const
{
    return this->next;
}

std::uint64_t control_state::view() const
{
    return this->view_offset;
}

std::span<wire::member const> control_state::members() const
{
    return this->member_list;
}

wire::member const* control_state::find_member(std::string_view name) const
{
    auto const position =
        std::find_if(this->member_list.begin(), this->member_list.end(),
                     [&](auto const& member) { return member.id().name() == name; });
    return position == this->member_list.end() ? nullptr : &*position;
}

bool control_state::is_member(model::process_id const& id) const
{
    auto const* const member = this->find_member(id.name);
    return member != nullptr && member->id().incarnation() == id.incarnation;
}

bool control_state::is_removed(model::process_id const& id) const
{
    return !this->is_member(id) && this->known_incarnation(id.name) >= id.incarnation;
}

bool control_state::has_vote(model::process_id const& subject, model::process_id const& voter) const
{
    auto const voters = this->votes.find(subject);
    return voters != this->votes.end() && voters->second.contains(voter);
}

bool control_state::was_agent_removed(model::process_id const& id) const
{
    return std::any_of(this->removed_agents.begin(), this->removed_agents.end(),
                       [&](auto const& removed)
                       { return wire::to_model(removed.registration().id()) == id; });
}

std::optional<base::system_time> control_state::newest_snapshot_time() const
{
    return this->snapshot_time;
}

std::optional<wire::member> control_state::owner_of(std::string_view service,
                                                    std::uint32_t shard) const
{
    wire::member const* best = nullptr;
    std::uint64_t best_score = 0;
    auto const seed = base::hash64(service, shard);
    for (auto const& member : this->member_list)
    {
        auto const score = base::hash64(member.id().name(), seed);
        if (!member.leaving() && (best == nullptr || score > best_score))
        {
            best = &member;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

wire::route const* control_state::find_route(std::string_view name) const
{
    return find_entry(this->routes_content.routes(), this->route_index, name);
}

wire::pool const* control_state::find_pool(std::string_view name) const
{
    return find_entry(this->pools_content.pools(), this->pool_index, name);
}

wire::team const* control_state::find_team(std::string_view name) const
{
    return find_entry(this->teams_content.teams(), this->team_index, name);
}

wire::team const* control_state::find_team_by_token(std::string_view token) const
{
    return find_entry(this->teams_content.teams(), this->token_index, token);
}

wire::routes_table const& control_state::routes() const
{
    return this->routes_content;
}

wire::pools_table const& control_state::pools() const
{
    return this->pools_content;
}

wire::teams_table const& control_state::teams() const
{
    return this->teams_content;
}

std::uint64_t control_state::routes_version() const
{
    return this->routes_offset;
}

std::uint64_t control_state::pools_version() const
{
    return this->pools_offset;
}

std::uint64_t control_state::teams_version() const
{
    return this->teams_offset;
}

wire::service_state control_state::zone(std::string_view name) const
{
    return service_state_of(this->zone_states, name);
}

wire::service_state control_state::target(std::string_view name) const
{
    return service_state_of(this->target_states, name);
}

std::vector<wire::service_state> control_state::zones() const
{
    return to_list(this->zone_states);
}

std::vector<wire::service_state> control_state::targets() const
{
    return to_list(this->target_states);
}

std::span<wire::agent const> control_state::agents() const
{
    return this->agent_list;
}

std::size_t control_state::count_registered(std::span<model::process_id const> ids) const
{
    return static_cast<std::size_t>(std::count_if(
        ids.begin(), ids.end(),
        [this](model::process_id const& id)
        {
            auto const known =
                std::lower_bound(this->agent_list.begin(), this->agent_list.end(), id.name,
                                 [](wire::agent const& agent, std::string const& name)
                                 { return agent.id().name() < name; });
            return known != this->agent_list.end() && wire::to_model(known->id()) == id;
        }));
}

std::vector<wire::agent> control_state::agents_registered_since(std::string_view service,
                                                                base::system_time since) const
{
    std::vector<wire::agent> found;
    std::set<model::process_id> seen;
    auto const add = [&](wire::agent const& agent)
    {
        if (agent.service() == service && seen.insert(wire::to_model(agent.id())).second)
        {
            found.push_back(agent);
        }
    };
    std::for_each(this->agent_list.begin(), this->agent_list.end(), add);
    for (auto const& removed : this->removed_agents)
    {
        if (base::from_unix_ms(removed.removed_unix_ms()) >= since)
        {
            add(removed.registration());
        }
    }
    return found;
}

std::vector<model::process_id> control_state::members_removed_since(base::system_time since) const
{
    std::vector<model::process_id> found;
    for (auto const& removed : this->removed_members)
    {
        if (base::from_unix_ms(removed.removed_unix_ms()) >= since)
        {
            found.push_back(wire::to_model(removed.id()));
        }
    }
    return found;
}

std::uint64_t control_state::newest_version(service_states const& states)
{
    std::uint64_t newest = 0;
    for (auto const& [name, state] : states)
    {
        newest = std::max<std::uint64_t>(newest, state.version());
    }
    return newest;
}

std::uint64_t control_state::agent_offset() const
{
    return std::max(this->view_offset, this->service_offset);
}

wire::agent_state control_state::agent_state() const
{
    wire::agent_state state;
    state.set_offset(this->agent_offset());
    state.set_view(this->view_offset);
    state.mutable_members()->Assign(this->member_list.begin(), this->member_list.end());
    for (auto const& [name, zone] : this->zone_states)
    {
        *state.add_zones() = zone;
    }
    for (auto const& [name, target] : this->target_states)
    {
        *state.add_targets() = target;
    }
    return state;
}

std::optional<control_state> restore_from_truncated_log(std::span<control_log_entry const> records,
                                                        std::uint64_t first)
{
    for (auto entry = records.rbegin(); entry != records.rend(); ++entry)
    {
        if (!entry->record.has_snapshot())
        {
            continue;
        }
        auto state = control_state::from_snapshot(entry->record.snapshot());
        if (state && state.value().next_offset() >= first &&
            state.value().next_offset() <= entry->offset)
        {
            return std::move(state).value();
        }
    }
    return {};
}

} // namespace filbertroad::control

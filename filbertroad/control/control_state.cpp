#include "filbertroad/control/control_state.hpp"

#include "filbertroad/control/tables.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::control
{
namespace
{

apply_result make_ignored(std::string detail)
{
    apply_result result;
    result.detail = std::move(detail);
    return result;
}

apply_result make_conflict(std::uint64_t base, std::uint64_t current)
{
    apply_result result;
    result.outcome = apply_outcome::conflict;
    result.detail = "based on version " + std::to_string(base) + ", current version is " +
                    std::to_string(current);
    return result;
}

apply_result make_accepted(bool apply_result::*flag)
{
    apply_result result;
    result.outcome = apply_outcome::accepted;
    result.*flag = true;
    return result;
}

template <class Message>
auto find_by_name(std::vector<Message>& list, std::string_view name)
{
    return std::lower_bound(list.begin(), list.end(), name,
                            [](Message const& item, std::string_view searched_name)
                            { return item.id().name() < searched_name; });
}

template <class Message>
bool is_found(std::vector<Message> const& list,
              typename std::vector<Message>::const_iterator position, std::string_view name)
{
    return position != list.end() && position->id().name() == name;
}

std::string describe(wire::process_id const& id)
{
    return id.name() + "/" + std::to_string(id.incarnation());
}

} // namespace

apply_result control_state::apply(std::uint64_t offset, wire::control_record const& record,
                                  base::system_time read_at)
{
    if (offset < this->next)
    {
        return make_ignored("offset " + std::to_string(offset) + " was already applied");
    }
    this->next = offset + 1;
    auto result = this->apply_body(offset, record, read_at);
    if (result.outcome == apply_outcome::accepted &&
        record.body_case() != wire::control_record::kSnapshot)
    {
        this->version_offset = offset;
    }
    return result;
}

apply_result control_state::apply_body(std::uint64_t offset, wire::control_record const& record,
                                       base::system_time read_at)
{
    switch (record.body_case())
    {
    case wire::control_record::kTable:
        return this->apply_table(offset, record.table());
    case wire::control_record::kZone:
        return this->apply_service(offset, record.zone(), this->zone_states);
    case wire::control_record::kTarget:
        return this->apply_service(offset, record.target(), this->target_states);
    case wire::control_record::kJoined:
        return this->apply_joined(offset, record.joined().entry(), read_at);
    case wire::control_record::kLeaving:
        return this->apply_leaving(offset, record.leaving().entry());
    case wire::control_record::kLeft:
        return this->apply_left(offset, record.left().entry(), read_at);
    case wire::control_record::kVote:
        return this->apply_vote(offset, record.vote(), read_at);
    case wire::control_record::kReplaced:
        return this->apply_replaced(offset, record.replaced(), read_at);
    case wire::control_record::kAgentsIn:
        return this->apply_agents_joined(record.agents_in(), read_at);
    case wire::control_record::kAgentsOut:
        return this->apply_agents_removed(record.agents_out(), read_at);
    case wire::control_record::kSnapshot:
        return this->apply_snapshot(record);
    case wire::control_record::BODY_NOT_SET:
        break;
    }
    return make_ignored("record without a known body");
}

apply_result control_state::apply_table(std::uint64_t offset, wire::table_change const& change)
{
    auto const violation = validate(change);
    if (violation && violation->code == table_error::missing_table)
    {
        return make_ignored(violation->detail);
    }
    auto& version = change.has_routes()  ? this->routes_offset
                    : change.has_pools() ? this->pools_offset
                                         : this->teams_offset;
    if (change.base() != version)
    {
        return make_conflict(change.base(), version);
    }
    if (violation)
    {
        return make_ignored(violation->detail);
    }
    if (change.has_routes())
    {
        this->routes_content = change.routes();
    }
    else if (change.has_pools())
    {
        this->pools_content = change.pools();
    }
    else
    {
        this->teams_content = change.teams();
    }
    version = offset;
    this->rebuild_indexes();
    return make_accepted(&apply_result::tables_changed);
}

apply_result control_state::apply_service(std::uint64_t offset, wire::service_change const& change,
                                          service_states& states)
{
    if (!model::is_valid_name(change.name()))
    {
        return make_ignored("name: must be 1 to 64 characters of [A-Za-z0-9_.-]");
    }
    auto const known = states.find(change.name());
    auto const version = known == states.end() ? 0 : known->second.version();
    if (change.base() != version)
    {
        return make_conflict(change.base(), version);
    }
    auto& state = states[change.name()];
    state.set_name(change.name());
    state.set_in_service(change.in_service());
    state.set_version(offset);
    this->service_offset = offset;
    return make_accepted(&apply_result::service_changed);
}

apply_result control_state::apply_joined(std::uint64_t offset, wire::member const& entry,
                                         base::system_time read_at)
{
    auto const& id = entry.id();
    if (!model::is_valid_name(id.name()) || !model::is_valid_name(entry.zone()) ||
        id.incarnation() == 0)
    {
        return make_ignored("joined entry " + describe(id) + ": invalid name, zone or incarnation");
    }
    auto const known = this->known_incarnation(id.name());
    if (id.incarnation() <= known)
    {
        return make_ignored("joined entry " + describe(id) + ": incarnation " +
                            std::to_string(known) + " is already known");
    }
    if (auto const* const older = this->find_member(id.name()))
    {
        this->remove_member(offset, wire::to_model(older->id()), read_at);
    }
    auto const position = find_by_name(this->member_list, id.name());
    auto const added = this->member_list.insert(position, entry);
    added->set_leaving(false);
    this->change_view(offset);
    return make_accepted(&apply_result::view_changed);
}

apply_result control_state::apply_leaving(std::uint64_t offset, wire::process_id const& entry)
{
    auto const position = find_by_name(this->member_list, entry.name());
    if (!this->is_member(wire::to_model(entry)) || position->leaving())
    {
        return make_ignored("leaving entry " + describe(entry) +
                            ": not a member, or already leaving");
    }
    position->set_leaving(true);
    // Ownership moves away from a leaving member. The view number has to change as well, since
    // owners look up keys that were created before the last change of the view at other members.
    this->change_view(offset);
    return make_accepted(&apply_result::view_changed);
}

apply_result control_state::apply_left(std::uint64_t offset, wire::process_id const& entry,
                                       base::system_time read_at)
{
    auto const id = wire::to_model(entry);
    if (!this->is_member(id))
    {
        return make_ignored("entry that left " + describe(entry) + ": not a member");
    }
    this->remove_member(offset, id, read_at);
    this->change_view(offset);
    return make_accepted(&apply_result::view_changed);
}

apply_result control_state::apply_vote(std::uint64_t offset, wire::removal_vote const& vote,
                                       base::system_time read_at)
{
    auto const subject = wire::to_model(vote.subject());
    auto const voter = wire::to_model(vote.voter());
    if (subject == voter || !this->is_member(subject) || !this->is_member(voter))
    {
        return make_ignored("vote of " + describe(vote.voter()) + " against " +
                            describe(vote.subject()) + ": both must be members");
    }
    auto& voters = this->votes[subject];
    if (!voters.insert(voter).second)
    {
        return make_ignored("vote of " + describe(vote.voter()) + " against " +
                            describe(vote.subject()) + ": already counted");
    }
    apply_result result;
    result.outcome = apply_outcome::accepted;
    if (voters.size() * 2 > this->member_list.size())
    {
        this->remove_member(offset, subject, read_at);
        this->change_view(offset);
        result.view_changed = true;
    }
    return result;
}

apply_result control_state::apply_replaced(std::uint64_t offset,
                                           wire::view_replaced const& replaced,
                                           base::system_time read_at)
{
    if (replaced.base() != this->view_offset)
    {
        return make_conflict(replaced.base(), this->view_offset);
    }
    std::set<model::process_id> removed;
    for (auto const& id : replaced.removed())
    {
        if (!this->is_member(wire::to_model(id)))
        {
            return make_ignored("replaced view: " + describe(id) + " is not a member");
        }
        removed.insert(wire::to_model(id));
    }
    if (removed.empty() || removed.size() == this->member_list.size())
    {
        return make_ignored("replaced view: must remove at least one member and keep at least one");
    }
    if (!this->has_promise_majority(replaced))
    {
        return make_ignored("replaced view: needs promises of more than half of the agents");
    }
    for (auto const& id : removed)
    {
        this->remove_member(offset, id, read_at);
    }
    this->change_view(offset);
    return make_accepted(&apply_result::view_changed);
}

bool control_state::has_promise_majority(wire::view_replaced const& replaced) const
{
    std::set<model::process_id> promised;
    for (auto const& id : replaced.promised_agents())
    {
        promised.insert(wire::to_model(id));
    }
    auto const registered = std::count_if(
        this->agent_list.begin(), this->agent_list.end(),
        [&](auto const& agent) { return promised.contains(wire::to_model(agent.id())); });
    return static_cast<std::size_t>(registered) * 2 > this->agent_list.size();
}

apply_result control_state::apply_agents_joined(wire::agents_joined const& joined,
                                                base::system_time read_at)
{
    std::map<std::string, wire::agent> additions;
    bool changed = false;
    for (auto const& agent : joined.agents())
    {
        auto const& name = agent.id().name();
        if (!model::is_valid_name(name))
        {
            continue;
        }
        auto const position = find_by_name(this->agent_list, name);
        if (!is_found(this->agent_list, position, name))
        {
            auto& added = additions[name];
            if (agent.id().incarnation() >= added.id().incarnation())
            {
                added = agent;
            }
            continue;
        }
        auto const known = position->id().incarnation();
        bool const same = position->SerializeAsString() == agent.SerializeAsString();
        if (agent.id().incarnation() < known || same)
        {
            continue;
        }
        // A recovery may still need the ledger of the earlier service or incarnation.
        this->remember_agent(*position, read_at);
        *position = agent;
        changed = true;
    }
    if (!changed && additions.empty())
    {
        return make_ignored("all agents of the batch are already registered");
    }
    for (auto& [name, agent] : additions)
    {
        this->agent_list.push_back(std::move(agent));
    }
    std::sort(this->agent_list.begin(), this->agent_list.end(),
              [](auto const& left, auto const& right)
              { return left.id().name() < right.id().name(); });
    return make_accepted(&apply_result::agents_changed);
}

apply_result control_state::apply_agents_removed(wire::agents_removed const& removed,
                                                 base::system_time read_at)
{
    std::set<model::process_id> removed_ids;
    for (auto const& id : removed.agents())
    {
        removed_ids.insert(wire::to_model(id));
    }
    auto const is_in_batch = [&](wire::agent const& agent)
    { return removed_ids.contains(wire::to_model(agent.id())); };
    auto const before = this->agent_list.size();
    for (auto const& agent : this->agent_list)
    {
        if (is_in_batch(agent))
        {
            this->remember_agent(agent, read_at);
        }
    }
    std::erase_if(this->agent_list, is_in_batch);
    if (this->agent_list.size() == before)
    {
        return make_ignored("no agent of the batch is registered");
    }
    return make_accepted(&apply_result::agents_changed);
}

apply_result control_state::apply_snapshot(wire::control_record const& record)
{
    if (record.snapshot().as_of() != this->version_offset)
    {
        return make_ignored("snapshot of version " + std::to_string(record.snapshot().as_of()) +
                            ", current version is " + std::to_string(this->version_offset));
    }
    this->snapshot_time = base::from_unix_ms(record.written_unix_ms());
    apply_result result;
    result.outcome = apply_outcome::accepted;
    return result;
}

std::uint64_t control_state::known_incarnation(std::string_view name) const
{
    std::uint64_t known = 0;
    if (auto const* const member = this->find_member(name))
    {
        known = member->id().incarnation();
    }
    for (auto const& removed : this->removed_members)
    {
        if (removed.id().name() == name)
        {
            known = std::max<std::uint64_t>(known, removed.id().incarnation());
        }
    }
    return known;
}

void control_state::remove_member(std::uint64_t offset, model::process_id const& id,
                                  base::system_time read_at)
{
    std::erase_if(this->member_list,
                  [&](auto const& member) { return wire::to_model(member.id()) == id; });
    wire::removed_member removed;
    *removed.mutable_id() = wire::to_wire(id);
    removed.set_view(offset);
    removed.set_removed_unix_ms(base::to_unix_ms(read_at));
    this->removed_members.push_back(std::move(removed));
    if (this->removed_members.size() > max_removed_members)
    {
        this->removed_members.erase(this->removed_members.begin());
    }
}

void control_state::change_view(std::uint64_t offset)
{
    this->view_offset = offset;
    // A vote states what its voter observed in one view. If votes survived the view, they could
    // later remove a member that is reachable again.
    this->votes.clear();
}

void control_state::remember_agent(wire::agent const& agent, base::system_time read_at)
{
    std::erase_if(
        this->removed_agents, [&](auto const& removed)
        { return base::from_unix_ms(removed.removed_unix_ms()) + removed_retention < read_at; });
    std::erase_if(
        this->removed_agents, [&](auto const& removed)
        { return removed.registration().SerializeAsString() == agent.SerializeAsString(); });
    wire::removed_agent removed;
    *removed.mutable_registration() = agent;
    removed.set_removed_unix_ms(base::to_unix_ms(read_at));
    this->removed_agents.push_back(std::move(removed));
}

} // namespace filbertroad::control

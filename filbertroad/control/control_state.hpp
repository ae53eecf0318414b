#ifndef FILBERTROAD_CONTROL_CONTROL_STATE_HPP
#define FILBERTROAD_CONTROL_CONTROL_STATE_HPP

/// The control state of a region: a deterministic state machine over the records of the control
/// log. All processes that have applied the same records have the same state.
///
///     control::control_state state;
///     for (auto const& [offset, record] : read_log(state.next_offset()))
///     {
///         auto const result = state.apply(offset, record, clock.system_now());
///         if (result.view_changed) publish_view(state);
///     }
///     auto const owner = state.owner_of("pricing", 0);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"
#include "filbertroad/wire/record.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::control
{

enum class apply_outcome
{
    accepted,
    /// The record is based on another version than the current one.
    conflict,
    /// The precondition of the record does not hold, or its content is invalid.
    ignored,
};

/// What one record changed.
struct apply_result
{
    apply_outcome outcome = apply_outcome::ignored;
    bool view_changed = false;
    bool tables_changed = false;
    bool service_changed = false;
    bool agents_changed = false;
    /// Reason why the record was not accepted.
    std::string detail;
};

enum class snapshot_error
{
    invalid,
};

class control_state
{
public:
    /// Removed agents are remembered for at least this long. Must be at least the retention of job
    /// keys, since a recovery requests the ledgers of all agents that were registered within it.
    static constexpr std::chrono::minutes removed_retention{30};
    /// Maximum number of removed members that are remembered. Their retention is limited by number
    /// and not by age, because they determine which incarnations may join, which must not depend on
    /// a clock.
    static constexpr std::size_t max_removed_members = 1024;

    /// Applies the record at `offset`; ignores offsets below next_offset(). `read_at` is the wall
    /// clock time of the reader. It is used only for ages and never decides what is accepted.
    apply_result apply(std::uint64_t offset, wire::control_record const& record,
                       base::system_time read_at);

    /// Restores the state that a snapshot contains. Fails with snapshot_error::invalid if a table
    /// of the snapshot is invalid, or if it contains a version newer than `snapshot.as_of`.
    [[nodiscard]] static base::result<control_state, base::error<snapshot_error>>
    from_snapshot(wire::control_snapshot const& snapshot);
    [[nodiscard]] wire::control_snapshot snapshot() const;

    /// Offset of the last record that changed the state; 0 before the first.
    [[nodiscard]] std::uint64_t version() const;
    /// Offset of the next record to read.
    [[nodiscard]] std::uint64_t next_offset() const;

    /// Offset of the record that last changed the members; 0 before the first.
    [[nodiscard]] std::uint64_t view() const;
    [[nodiscard]] std::span<wire::member const> members() const;
    [[nodiscard]] bool is_member(model::process_id const& id) const;
    /// The owner of a shard: the member with the highest rendezvous hash score among those that are
    /// not leaving. Empty if there is none.
    [[nodiscard]] std::optional<wire::member> owner_of(std::string_view service,
                                                       std::uint32_t shard) const;

    [[nodiscard]] wire::route const* find_route(std::string_view name) const;
    [[nodiscard]] wire::pool const* find_pool(std::string_view name) const;
    [[nodiscard]] wire::team const* find_team(std::string_view name) const;
    [[nodiscard]] wire::team const* find_team_by_token(std::string_view token) const;
    [[nodiscard]] wire::routes_table const& routes() const;
    [[nodiscard]] wire::pools_table const& pools() const;
    [[nodiscard]] wire::teams_table const& teams() const;
    [[nodiscard]] std::uint64_t routes_version() const;
    [[nodiscard]] std::uint64_t pools_version() const;
    [[nodiscard]] std::uint64_t teams_version() const;

    /// A zone or target that was never changed is in service and has version 0.
    [[nodiscard]] wire::service_state zone(std::string_view name) const;
    [[nodiscard]] wire::service_state target(std::string_view name) const;
    [[nodiscard]] std::vector<wire::service_state> zones() const;
    [[nodiscard]] std::vector<wire::service_state> targets() const;

    [[nodiscard]] std::span<wire::agent const> agents() const;
    /// How many of `ids` are registered, with the same incarnation.
    [[nodiscard]] std::size_t count_registered(std::span<model::process_id const> ids) const;
    /// Agents of `service` that have been registered at any time since `since`.
    [[nodiscard]] std::vector<wire::agent> agents_registered_since(std::string_view service,
                                                                   base::system_time since) const;
    /// Members that left, were removed, or were superseded by a newer incarnation since `since`.
    [[nodiscard]] std::vector<model::process_id>
    members_removed_since(base::system_time since) const;

    /// Whether `voter` has voted to remove `subject` in the current view.
    [[nodiscard]] bool has_vote(model::process_id const& subject,
                                model::process_id const& voter) const;
    /// Whether `id` is not a member and cannot become one, because this incarnation was a member
    /// before, or a newer one of the same name is or was. Such a process can join only with a newer
    /// incarnation.
    [[nodiscard]] bool is_removed(model::process_id const& id) const;
    /// Whether a removal of this agent is remembered, even if the agent is registered again.
    [[nodiscard]] bool was_agent_removed(model::process_id const& id) const;
    /// When the newest snapshot record that matched the state was written, by the clock of its
    /// writer; empty if none was read.
    [[nodiscard]] std::optional<base::system_time> newest_snapshot_time() const;

    /// The part of the state that agents need; its offset is agent_offset().
    [[nodiscard]] wire::agent_state agent_state() const;
    /// Offset of the record that last changed the members, a zone or a target. Pongs to agents
    /// carry this offset instead of version(), since agents are not sent any other changes.
    [[nodiscard]] std::uint64_t agent_offset() const;

private:
    using service_states = std::map<std::string, wire::service_state, std::less<>>;
    using name_index = std::map<std::string, int, std::less<>>;

    [[nodiscard]] static std::uint64_t newest_version(service_states const& states);
    apply_result apply_body(std::uint64_t offset, wire::control_record const& record,
                            base::system_time read_at);
    apply_result apply_table(std::uint64_t offset, wire::table_change const& change);
    apply_result apply_service(std::uint64_t offset, wire::service_change const& change,
                               service_states& states);
    apply_result apply_joined(std::uint64_t offset, wire::member const& entry,
                              base::system_time read_at);
    apply_result apply_leaving(std::uint64_t offset, wire::process_id const& entry);
    apply_result apply_left(std::uint64_t offset, wire::process_id const& entry,
                            base::system_time read_at);
    apply_result apply_vote(std::uint64_t offset, wire::removal_vote const& vote,
                            base::system_time read_at);
    apply_result apply_replaced(std::uint64_t offset, wire::view_replaced const& replaced,
                                base::system_time read_at);
    apply_result apply_agents_joined(wire::agents_joined const& joined, base::system_time read_at);
    apply_result apply_agents_removed(wire::agents_removed const& removed,
                                      base::system_time read_at);
    apply_result apply_snapshot(wire::control_record const& record);

    [[nodiscard]] wire::member const* find_member(std::string_view name) const;
    [[nodiscard]] std::uint64_t known_incarnation(std::string_view name) const;
    [[nodiscard]] bool has_promise_majority(wire::view_replaced const& replaced) const;
    void remove_member(std::uint64_t offset, model::process_id const& id,
                       base::system_time read_at);
    void change_view(std::uint64_t offset);
    void remember_agent(wire::agent const& agent, base::system_time read_at);
    void rebuild_indexes();

    std::uint64_t version_offset = 0;
    std::uint64_t next = 1;
    std::uint64_t view_offset = 0;
    /// Offset of the record that last changed a zone or a target.
    std::uint64_t service_offset = 0;
    wire::routes_table routes_content;
    wire::pools_table pools_content;
    wire::teams_table teams_content;
    std::uint64_t routes_offset = 0;
    std::uint64_t pools_offset = 0;
    std::uint64_t teams_offset = 0;
    name_index route_index;
    name_index pool_index;
    name_index team_index;
    name_index token_index;
    service_states zone_states;
    service_states target_states;
    /// Sorted by name.
    std::vector<wire::member> member_list;
    /// Sorted by name.
    std::vector<wire::agent> agent_list;
    std::vector<wire::removed_member> removed_members;
    std::vector<wire::removed_agent> removed_agents;
    /// The members that have voted to remove each subject in the current view.
    std::map<model::process_id, std::set<model::process_id>> votes;
    std::optional<base::system_time> snapshot_time;
};

/// A record of the control log and its offset.
struct control_log_entry
{
    std::uint64_t offset = 0;
    wire::control_record record;
};

/// Restores the state when the log has expired up to `first`, the oldest offset that it still has.
/// Uses the last snapshot in `records` whose writer had read all records before `first`. The caller
/// then applies the records from next_offset() on. Empty if there is no such snapshot; the caller
/// then has to fetch the state from a peer.
[[nodiscard]] std::optional<control_state>
restore_from_truncated_log(std::span<control_log_entry const> records, std::uint64_t first);

} // namespace filbertroad::control

#endif

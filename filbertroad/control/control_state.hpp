#ifndef FILBERTROAD_CONTROL_CONTROL_STATE_HPP
#define FILBERTROAD_CONTROL_CONTROL_STATE_HPP

/// The control state of a region: a deterministic fold over the records of the control log. Every
/// process that folds the same records has the same state.
///
///     control::control_state state;
///     for (auto const& [offset, record] : read_log(state.next_offset()))
///     {
///         auto const applied = state.apply(offset, record, clock.system_now());
///         if (applied.view_changed) publish_view(state);
///     }
///     auto const owner = state.owner_of("kitrefill", 0);
///
/// Not safe for several threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"
#include "filbertroad/wire/record.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::control
{

enum class apply_outcome
{
    accepted,
    /// The record was based on an older version.
    conflict,
    /// The record's precondition does not hold or its content is invalid.
    ignored,
};

/// What one record changed.
struct applied
{
    apply_outcome outcome = apply_outcome::ignored;
    bool view_changed = false;
    bool tables_changed = false;
    bool service_changed = false;
    bool agents_changed = false;
    /// Why a record was not accepted.
    std::string detail;
};

enum class snapshot_error
{
    invalid,
};

class control_state
{
public:
    /// Members and agents that were removed are remembered for this long; at least the retention
    /// of keys.
    static constexpr std::chrono::minutes removed_retention{30};

    /// Applies the record at `offset`, which must not be below next_offset(). `read_at` is the wall
    /// clock of the reader; it is used for ages only and never for what is accepted.
    applied apply(std::uint64_t offset, wire::control_record const& record,
                  base::system_time read_at);

    /// A state that continues after `snapshot.as_of`.
    [[nodiscard]] static base::result<control_state, base::error<snapshot_error>>
    from_snapshot(wire::control_snapshot const& snapshot);
    [[nodiscard]] wire::control_snapshot snapshot() const;

    /// Offset of the last record that changed the state; 0 before the first.
    [[nodiscard]] std::uint64_t version() const;
    /// Offset to read from.
    [[nodiscard]] std::uint64_t next_offset() const;

    /// Offset of the record that last changed the members; 0 before the first.
    [[nodiscard]] std::uint64_t view() const;
    [[nodiscard]] std::span<wire::member const> members() const;
    [[nodiscard]] bool is_member(model::process_id const& id) const;
    /// The serving member with the highest rendezvous score; empty if there is none.
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

    /// Zones and targets that never changed are in service, with version 0.
    [[nodiscard]] wire::service_state zone(std::string_view name) const;
    [[nodiscard]] wire::service_state target(std::string_view name) const;
    [[nodiscard]] std::vector<wire::service_state> zones() const;
    [[nodiscard]] std::vector<wire::service_state> targets() const;

    [[nodiscard]] std::span<wire::agent const> agents() const;
    /// Agents of `service` that were registered at any time since `since`.
    [[nodiscard]] std::vector<wire::agent> agents_since(std::string_view service,
                                                        base::system_time since) const;
    /// Members that were removed (or replaced by a newer incarnation) since `since`.
    [[nodiscard]] std::vector<model::process_id> removed_since(base::system_time since) const;

    /// The part that agents need.
    [[nodiscard]] wire::agent_state agent_state() const;
};

} // namespace filbertroad::control

#endif

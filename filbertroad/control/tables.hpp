#ifndef FILBERTROAD_CONTROL_TABLES_HPP
#define FILBERTROAD_CONTROL_TABLES_HPP

/// Validation of the operators' tables. The same rules decide in control_state::apply and at the
/// operators' door, so that a bad table is refused before it is appended to the log.
///
///     if (auto fault = control::find_fault(change)) return bad_request(fault->detail);
///
/// A route may name a pool that does not exist yet, since the two tables change separately; tasks
/// of such a route are unplaceable until the pool is there. Thread safe.

#include "filbertroad/base/result.hpp"
#include "filbertroad/wire/record.pb.h"

#include <cstdint>
#include <optional>

namespace filbertroad::control
{

/// Most shards of one service; bounds the work per view change when a table has a typing error.
inline constexpr std::uint32_t max_shards = 4096;

enum class table_error
{
    /// A name is not 1 to 64 characters of [A-Za-z0-9_.-].
    invalid_name,
    /// A name or token appears twice.
    duplicate,
    /// A number is out of its range.
    out_of_range,
    /// Pools of one service name different shard counts.
    shard_count_mismatch,
    /// The change carries no table.
    missing_table,
};

/// The first fault of a table; its detail names the entry and the field. Empty if there is none.
using table_validation_error = std::optional<base::error<table_error>>;

[[nodiscard]] table_validation_error validate(wire::routes_table const& table);
[[nodiscard]] table_validation_error validate(wire::pools_table const& table);
[[nodiscard]] table_validation_error validate(wire::teams_table const& table);
/// The fault of the table that the change carries.
[[nodiscard]] table_validation_error validate(wire::table_change const& change);

} // namespace filbertroad::control

#endif

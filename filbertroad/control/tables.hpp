#ifndef FILBERTROAD_CONTROL_TABLES_HPP
#define FILBERTROAD_CONTROL_TABLES_HPP

/// Validation of the tables that operators publish. control_state::apply() and the operator API use
/// the same rules, so that an invalid table is rejected before it is appended to the log.
///
///     if (auto violation = control::validate(change)) return bad_request(violation->detail);
///
/// A route may name a pool that does not exist yet, since the two tables change separately. Tasks
/// of such a route cannot be placed until the pool exists. Thread-safe.

#include "filbertroad/base/result.hpp"
#include "filbertroad/wire/record.pb.h"

#include <cstdint>
#include <optional>

namespace filbertroad::control
{

/// Maximum number of shards of a service. Limits the work per view change if an operator mistypes
/// the number.
inline constexpr std::uint32_t max_shards = 4096;

enum class table_error
{
    /// A name is not 1 to 64 characters of [A-Za-z0-9_.-].
    invalid_name,
    /// A name or token appears twice.
    duplicate,
    /// A number is out of range, or a token is empty.
    out_of_range,
    /// Pools of the same service have different shard counts.
    shard_count_mismatch,
    /// The change contains no table.
    missing_table,
};

/// The first violation in a table; its detail names the entry and the field. Empty if the table is
/// valid.
using table_validation_error = std::optional<base::error<table_error>>;

[[nodiscard]] table_validation_error validate(wire::routes_table const& table);
[[nodiscard]] table_validation_error validate(wire::pools_table const& table);
[[nodiscard]] table_validation_error validate(wire::teams_table const& table);
/// Validates the table that the change contains.
[[nodiscard]] table_validation_error validate(wire::table_change const& change);

} // namespace filbertroad::control

#endif

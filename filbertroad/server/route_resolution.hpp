#ifndef FILBERTROAD_SERVER_ROUTE_RESOLUTION_HPP
#define FILBERTROAD_SERVER_ROUTE_RESOLUTION_HPP

/// Resolves keys, targets and teams with the operators' tables.
///
///     auto const route = resolve_route(state, "stock", key);
///     if (route) shards.submit(route->id, request, route->limits, handler);
///
/// All functions are thread-safe.

#include "filbertroad/control/control_state.hpp"
#include "filbertroad/submission/shard_owner.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::server
{

struct shard_id
{
    std::string service;
    std::uint32_t shard = 0;

    // clang-tidy 14 reports the 0 in the rewritten comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(shard_id const&, shard_id const&) = default;
};

/// The shard that a target belongs to; empty if its service has no pool yet.
[[nodiscard]] std::optional<shard_id> shard_of_target(control::control_state const& state,
                                                      std::string const& service,
                                                      std::string const& target);

/// The shard and the limits of a key.
struct resolved_route
{
    shard_id id;
    submission::job_limits limits;
};
/// Resolves a key of a route; empty if the route or its pool does not exist.
[[nodiscard]] std::optional<resolved_route> resolve_route(control::control_state const& state,
                                                          std::string const& route,
                                                          std::string const& key);

/// The limits of all teams in one shard. Each shard gets an equal share of a team's quota of
/// running tasks in the region.
[[nodiscard]] std::vector<scheduling::team_limits>
shard_team_limits(control::control_state const& state);

} // namespace filbertroad::server

#endif

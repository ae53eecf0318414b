#ifndef FILBERTROAD_SERVER_ROUTE_RESOLUTION_HPP
#define FILBERTROAD_SERVER_ROUTE_RESOLUTION_HPP

/// What the operators' tables say about keys, targets and teams.
///
///     auto const route = resolve_route(state, "stock", key);
///     if (route) shards.submit(route->id, request, route->limits, handler);
///
/// All functions are thread safe.

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

    // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(shard_id const&, shard_id const&) = default;
};

/// The shard that a target belongs to; empty if its service has no pool yet.
[[nodiscard]] std::optional<shard_id> shard_of_target(control::control_state const& state,
                                                      std::string const& service,
                                                      std::string const& target);

/// The shard and limits of a key of a route; empty if the route or its pool does not exist.
struct resolved_route
{
    shard_id id;
    submission::job_limits limits;
};
[[nodiscard]] std::optional<resolved_route> resolve_route(control::control_state const& state,
                                                          std::string const& route,
                                                          std::string const& key);

/// The limits of all teams for one shard: its even part of each team's quota in the region.
[[nodiscard]] std::vector<scheduling::team_limits>
shard_team_limits(control::control_state const& state);

} // namespace filbertroad::server

#endif

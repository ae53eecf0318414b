#include "filbertroad/server/route_resolution.hpp"

#include <algorithm>
#include <set>

namespace filbertroad::server
{
namespace
{

std::uint32_t shard_count(control::control_state const& state, std::string_view service)
{
    for (auto const& pool : state.pools().pools())
    {
        if (pool.service() == service)
        {
            return std::max(1U, pool.shards());
        }
    }
    return 0;
}

std::uint32_t total_shard_count(control::control_state const& state)
{
    std::set<std::string> services;
    std::uint32_t total = 0;
    for (auto const& pool : state.pools().pools())
    {
        if (services.insert(pool.service()).second)
        {
            total += std::max(1U, pool.shards());
        }
    }
    return std::max(1U, total);
}

} // namespace

std::optional<shard_id> shard_of_target(control::control_state const& state,
                                        std::string const& service, std::string const& target)
{
    auto const shards = shard_count(state, service);
    if (shards == 0)
    {
        return std::nullopt;
    }
    return shard_id{service, model::shard_of_key(target, shards)};
}

std::optional<resolved_route> resolve_route(control::control_state const& state,
                                            std::string const& route, std::string const& key)
{
    auto const* const found = state.find_route(route);
    auto const* const pool = found == nullptr ? nullptr : state.find_pool(found->pool());
    if (pool == nullptr)
    {
        return std::nullopt;
    }
    resolved_route result;
    result.id = {pool->service(), model::shard_of_key(key, std::max(1U, pool->shards()))};
    result.limits.placement.zones.assign(pool->zones().begin(), pool->zones().end());
    result.limits.placement.labels.assign(pool->labels().begin(), pool->labels().end());
    result.limits.task_timeout = std::chrono::milliseconds(found->task_timeout_ms());
    return result;
}

std::vector<scheduling::team_limits> shard_team_limits(control::control_state const& state)
{
    // A quota is split evenly over all shards of the region, so that the owners of the shards need
    // no coordination.
    auto const parts = total_shard_count(state);
    std::vector<scheduling::team_limits> teams;
    for (auto const& team : state.teams().teams())
    {
        teams.push_back({.name = team.name(),
                         .weight = team.weight(),
                         .max_running = (team.max_running() + parts - 1) / parts,
                         .max_queued = team.max_queued()});
    }
    return teams;
}

} // namespace filbertroad::server

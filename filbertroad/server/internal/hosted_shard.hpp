#ifndef FILBERTROAD_SERVER_INTERNAL_HOSTED_SHARD_HPP
#define FILBERTROAD_SERVER_INTERNAL_HOSTED_SHARD_HPP

/// A service shard of this entry with its lock, and the function through which every event is
/// applied to it. For the sources of shard_registry only.

#include "filbertroad/server/shard_registry.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertroad::server
{

struct shard_registry::hosted_shard
{
    explicit hosted_shard(submission::shard_owner owner) : owner(std::move(owner)) {}

    std::mutex shard_lock;
    submission::shard_owner owner;
    std::unordered_map<std::uint64_t, shard_response_handler> pending_requests;
    bool is_owner = false;
    /// Number of the newest link of each agent.
    std::unordered_map<model::process_id, std::uint64_t> agent_links;
    /// Zone of each target whose agent was ever linked to this entry.
    std::map<std::string, std::string> target_zones;
};

/// Calls `function` with the shard's lock held, executes the actions that result, and makes the
/// deferred calls after the lock was released.
template <class Function>
void shard_registry::run_locked(shard_id const& id, hosted_shard& shard, Function const& function)
{
    std::vector<std::function<void()>> deferred_calls;
    {
        std::lock_guard const guard(shard.shard_lock);
        auto const now = this->clock.steady_now();
        shard.owner.set_confirmed(this->callbacks.is_confirmed(), now);
        function(shard, now, this->clock.system_now());
        this->execute_actions(id, shard, deferred_calls);
    }
    for (auto const& call : deferred_calls)
    {
        call();
    }
}

} // namespace filbertroad::server

#endif

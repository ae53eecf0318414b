#ifndef FILBERTROAD_DISPATCH_CONTROL_SNAPSHOT_HPP
#define FILBERTROAD_DISPATCH_CONTROL_SNAPSHOT_HPP

/// What the platform's records say at one offset of their log: routes and zones out of service.
/// Every process keeps the snapshot with the highest offset that it has seen and passes it on to
/// peers that have a lower one, so that a process without the log still follows its changes.
///
///     dispatch::control_holder control;
///     if (control.offer(snapshot)) tell_peers(control.current());
///     auto const* route = control.find_route(host, path);

#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::dispatch
{

/// Where jobs of a host and path prefix go.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    std::uint32_t priority = 0;
    /// Runs of a task that may fail before its job fails.
    std::uint32_t max_attempts = 1;
    /// Factor on the run time in the latency objective.
    double stretch = 1;
    /// Time beyond the stretched run time in the latency objective.
    milliseconds target_latency{};

    friend bool operator==(route const&, route const&) = default;
};

struct control_snapshot
{
    /// Records of the log that this snapshot holds; 0 before the first read.
    std::uint64_t offset = 0;
    /// Version of the configuration; 0 if there is none yet.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::set<std::string> zones_out;
};

class control_snapshot_store
{
public:
    /// Takes `snapshot` if its offset is higher than the current one. The version never goes back:
    /// routes of a lower version are not taken. Returns whether anything was taken.
    bool update_if_newer(control_snapshot snapshot);

    [[nodiscard]] control_snapshot const& current() const { return this->snapshot; }

    /// Route of `host` with the longest prefix that `path` begins with; null if there is none.
    /// Valid until the next offer().
    [[nodiscard]] route const* find_route(std::string_view host, std::string_view path) const;

private:
    control_snapshot snapshot;
};

} // namespace filbertroad::dispatch

#endif

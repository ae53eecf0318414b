#ifndef FILBERTROAD_DISPATCH_CONTROL_SNAPSHOT_HPP
#define FILBERTROAD_DISPATCH_CONTROL_SNAPSHOT_HPP

/// Configuration at one offset of the platform's log: routes, and zones out of service. Every
/// process keeps the snapshot with the highest offset that it has received and sends it to peers
/// that ask for it (dispatch::snapshot_fetcher). A process that cannot read the log therefore still
/// receives its changes.
///
///     dispatch::control_snapshot_store control;
///     if (control.update_if_newer(snapshot)) log_applied(control.current());
///     auto const* route = control.find_route(host, path);

#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::dispatch
{

/// Maps jobs for a host and path prefix to a service, with their priority and latency objective.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    std::uint32_t priority = 0;
    /// Number of failed runs of a task at which its job fails.
    std::uint32_t max_attempts = 1;
    /// Factor on the run time in the latency objective.
    double stretch = 1;
    /// Time beyond the stretched run time in the latency objective.
    milliseconds target_latency{};

    friend bool operator==(route const&, route const&) = default;
};

struct control_snapshot
{
    /// Number of log records included in this snapshot; 0 before the first read.
    std::uint64_t offset = 0;
    /// Version of the configuration; 0 if there is none yet.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::set<std::string> zones_out;
};

/// Keeps the newest control snapshot. Not thread-safe.
class control_snapshot_store
{
public:
    /// Replaces the current snapshot if the offset of `snapshot` is higher. The version never
    /// decreases: routes of a lower version are ignored. Returns whether anything changed.
    bool update_if_newer(control_snapshot snapshot);

    [[nodiscard]] control_snapshot const& current() const { return this->snapshot; }

    /// Route of `host` with the longest prefix of `path`; null if there is none. Valid until the
    /// next update_if_newer().
    [[nodiscard]] route const* find_route(std::string_view host, std::string_view path) const;

private:
    control_snapshot snapshot;
};

} // namespace filbertroad::dispatch

#endif

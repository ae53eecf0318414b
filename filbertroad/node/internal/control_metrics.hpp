#ifndef FILBERTROAD_NODE_INTERNAL_CONTROL_METRICS_HPP
#define FILBERTROAD_NODE_INTERNAL_CONTROL_METRICS_HPP

/// Metrics of the control snapshots that a process applies, sends and receives, and the time for
/// which it has been behind a peer.
///
///     internal::control_metrics control(registry);
///     control.peer_announced(offset, own_offset, clock.steady_now());
///     control.applied(snapshot, clock.steady_now());

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace filbertroad::node::internal
{

class control_metrics
{
public:
    explicit control_metrics(telemetry::metrics_registry& metrics)
        : offset(metrics.add_gauge("filbertroad_control_offset",
                                   "Log offset of the configuration in force.")),
          version(metrics.add_gauge("filbertroad_control_version",
                                    "Version of the configuration in force.")),
          behind(metrics.add_histogram("filbertroad_control_behind_seconds",
                                       "Time from the first sign of a newer configuration at a "
                                       "peer until one was applied.")),
          sent(metrics.add_counter("filbertroad_snapshots_sent_total",
                                   "Configurations sent to peers.")),
          received(metrics.add_counter("filbertroad_snapshots_received_total",
                                       "Configurations received from peers.")),
          known(metrics.add_counter("filbertroad_snapshots_known_total",
                                    "Configurations received from peers that were not newer."))
    {
    }

    /// A peer has a configuration of `peer_offset`.
    void peer_announced(std::uint64_t peer_offset, std::uint64_t own_offset, base::steady_time now)
    {
        if (peer_offset > own_offset && !this->behind_since)
        {
            this->behind_since = now;
        }
        this->highest_known = std::max(this->highest_known, peer_offset);
    }

    /// Returns for how long the process was known to be behind.
    std::chrono::milliseconds applied(dispatch::control_snapshot const& snapshot,
                                      base::steady_time now)
    {
        this->offset.set(static_cast<double>(snapshot.offset));
        this->version.set(static_cast<double>(snapshot.version));
        auto const waited =
            this->behind_since ? now - *this->behind_since : base::steady_time::duration::zero();
        this->behind.observe(std::chrono::duration<double>(waited).count());
        this->behind_since =
            this->highest_known > snapshot.offset ? std::optional(now) : std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(waited);
    }

    void snapshot_sent() { this->sent.increment(); }
    void snapshot_received(bool is_newer)
    {
        this->received.increment();
        this->known.increment(is_newer ? 0 : 1);
    }

private:
    telemetry::gauge& offset;
    telemetry::gauge& version;
    telemetry::histogram& behind;
    telemetry::counter& sent;
    telemetry::counter& received;
    telemetry::counter& known;
    std::uint64_t highest_known = 0;
    std::optional<base::steady_time> behind_since;
};

} // namespace filbertroad::node::internal

#endif

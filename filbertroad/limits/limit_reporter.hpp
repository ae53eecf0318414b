#ifndef FILBERTROAD_LIMITS_LIMIT_REPORTER_HPP
#define FILBERTROAD_LIMITS_LIMIT_REPORTER_HPP

/// Counts and logs the uses of limits: a metric for each reason, and at most one line a second for
/// each reason.
///
///     limits::limit_reporter reporter(clock, log, metrics);
///     limits.on_limit = reporter.handler();
///
/// Thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/net/limit_reason.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/events.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace filbertroad::limits
{

class limit_reporter
{
public:
    limit_reporter(base::clock const& clock, telemetry::event_log& log,
                   telemetry::metrics_registry& metrics)
        : clock(clock), log(log)
    {
        for (std::size_t index = 0; index < this->reasons.size(); ++index)
        {
            this->reasons[index].total = &metrics.add_counter(
                "filbertroad_limit_reached_total", "Connections and calls refused or closed.",
                {{"reason", std::string(net::limit_reason_names[index])}});
        }
    }

    limit_reporter(limit_reporter const&) = delete;
    limit_reporter& operator=(limit_reporter const&) = delete;

    /// Must not be called after the reporter is destroyed.
    [[nodiscard]] net::limit_handler handler()
    {
        return [this](net::limit_reason reason) { this->record(reason); };
    }

    void record(net::limit_reason reason)
    {
        std::scoped_lock const guard(this->lock);
        auto& state = this->reasons[static_cast<std::size_t>(reason)];
        state.total->increment();
        ++state.unreported;
        auto const now = this->clock.steady_now();
        if (state.reported_at && now - *state.reported_at < interval)
        {
            return;
        }
        this->log.write(telemetry::events::limit_reached,
                        {{"reason", std::string(net::to_string(reason))},
                         {"count", std::to_string(state.unreported)}});
        state.reported_at = now;
        state.unreported = 0;
    }

private:
    /// Shortest time between two lines of a reason.
    static constexpr std::chrono::seconds interval{1};

    struct reason_state
    {
        telemetry::counter* total = nullptr;
        /// Uses since the last line.
        std::uint64_t unreported = 0;
        std::optional<base::steady_time> reported_at;
    };

    base::clock const& clock;
    telemetry::event_log& log;
    std::mutex lock;
    std::array<reason_state, net::limit_reason_names.size()> reasons;
};

} // namespace filbertroad::limits

#endif

#ifndef FILBERTROAD_NODE_INTERNAL_LOOP_DELAY_MONITOR_HPP
#define FILBERTROAD_NODE_INTERNAL_LOOP_DELAY_MONITOR_HPP

/// Measures how late the event loop runs a periodic timer: the time for which every message waits
/// at least when the process lacks processor time.
///
///     internal::loop_delay_monitor delays(registry, log);
///     delays.scheduled(clock.steady_now() + tick_period);
///     delays.ran(clock.steady_now());   // in the handler of the timer

#include "filbertroad/base/clock.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/events.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace filbertroad::node::internal
{

class loop_delay_monitor
{
public:
    loop_delay_monitor(telemetry::metrics_registry& metrics, telemetry::event_log& log)
        : log(log), delay(metrics.add_histogram("filbertroad_event_loop_delay_seconds",
                                                "Time by which a periodic timer ran late."))
    {
    }

    /// The timer is to run at `due`.
    void scheduled(base::steady_time due) { this->due = due; }

    void ran(base::steady_time now)
    {
        auto const late = std::max(now - this->due, base::steady_time::duration::zero());
        this->delay.observe(std::chrono::duration<double>(late).count());
        if (late < min_logged_delay || now - this->logged_at < min_log_interval)
        {
            return;
        }
        this->logged_at = now;
        auto const late_ms = std::chrono::duration_cast<std::chrono::milliseconds>(late).count();
        this->log.write(telemetry::events::event_loop_delayed,
                        {{"delay_ms", std::to_string(late_ms)}});
    }

private:
    static constexpr std::chrono::milliseconds min_logged_delay{200};
    static constexpr std::chrono::seconds min_log_interval{1};

    telemetry::event_log& log;
    telemetry::histogram& delay;
    base::steady_time due{};
    base::steady_time logged_at{};
};

} // namespace filbertroad::node::internal

#endif

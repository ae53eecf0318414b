#ifndef FILBERTROAD_DISPATCH_INTERNAL_OVERLOAD_DETECTOR_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_OVERLOAD_DETECTOR_HPP

/// Distinguishes a burst, during which queueing is useful, from sustained overload, in which a
/// queue only makes every job late. As in controlled delay (CoDel), overload is sustained when no
/// job could have ended in time for a whole interval. Not thread-safe.
///
///     overload_detector overload;
///     if (!overload.admits(priority, expected_end / objective, now)) refuse();

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace filbertroad::dispatch::internal
{

class overload_detector
{
public:
    /// Whether a job may be queued. `lateness` is its expected time to completion divided by its
    /// latency objective.
    bool admits(std::uint32_t priority, double lateness, base::steady_time now)
    {
        auto& late_since = this->late_since[std::min<std::size_t>(priority, priority_classes - 1)];
        if (lateness <= on_time_lateness)
        {
            late_since.reset();
            return true;
        }
        late_since = late_since.value_or(now);
        bool const is_sustained = now - *late_since >= interval;
        return !is_sustained && lateness <= max_burst_lateness;
    }

private:
    /// A job that is expected to meet its objective is always admitted.
    static constexpr double on_time_lateness = 1;
    /// An answer after three times the objective is useless to callers; the margin below that
    /// covers inexact estimates.
    static constexpr double max_burst_lateness = 2.5;
    /// Two typical run times. Shorter overload ends without intervention as running tasks end.
    static constexpr milliseconds interval{400};

    /// Arrival of the first late job of the class since its last job in time. Measuring from the
    /// last job in time would be wrong: if jobs of a class are rarer than the interval, each late
    /// one would count as sustained overload.
    std::array<std::optional<base::steady_time>, priority_classes> late_since{};
};

} // namespace filbertroad::dispatch::internal

#endif

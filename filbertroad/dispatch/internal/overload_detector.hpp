#ifndef FILBERTROAD_DISPATCH_INTERNAL_OVERLOAD_DETECTOR_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_OVERLOAD_DETECTOR_HPP

/// Tells a burst, which is worth waiting out, from lasting overload, in which a queue only makes
/// every job late. As in controlled delay (CoDel), overload lasts when no job could have ended in
/// time for a whole interval.
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
    /// `lateness` is the expected time to the end of a job over its latency objective.
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
    /// A job that is expected within its objective is admitted in any case.
    static constexpr double on_time_lateness = 1;
    /// Callers have no use for an answer after three times the objective; estimates are rough.
    static constexpr double max_burst_lateness = 2.5;
    /// Two typical run times: shorter ones end by themselves as running tasks end.
    static constexpr milliseconds interval{400};

    /// First job of the class that was late, with none in time since. The last one in time would
    /// not do: where jobs of a class are rarer than the interval, each late one would count as
    /// lasting overload.
    std::array<std::optional<base::steady_time>, priority_classes> late_since{};
};

} // namespace filbertroad::dispatch::internal

#endif

#ifndef FILBERTROAD_MEASURE_STATISTICS_HPP
#define FILBERTROAD_MEASURE_STATISTICS_HPP

/// Metrics of replays. docs/measurements.md defines each of them.
///
///     response_sample sample;
///     sample.add(trace, result);
///     auto ratio = sample.mean() / reference.mean();
///
/// Not thread-safe.

#include "filbertroad/measure/replay.hpp"
#include "filbertroad/measure/trace.hpp"

#include <cstdint>
#include <vector>

namespace filbertroad::measure
{

/// Share of the trace whose jobs do not count: meanwhile speeds are learnt and queues fill.
inline constexpr double warm_up_share = 0.1;

/// Response times of jobs after the warm-up, over several traces.
class response_sample
{
public:
    void add(trace const& input, replay_result const& observed);
    /// Mean in microseconds.
    [[nodiscard]] double mean() const;
    /// Smallest response time in microseconds that at least `share` of the jobs do not exceed.
    [[nodiscard]] double quantile(double share) const;
    [[nodiscard]] std::uint64_t refused() const { return this->refused_jobs; }
    [[nodiscard]] std::vector<time_us> const& values() const { return this->times; }

private:
    std::vector<time_us> times;
    std::uint64_t refused_jobs = 0;
};

/// Work completed between the end of the warm-up and the last arrival, as a share of what the
/// targets could complete in that time.
[[nodiscard]] double throughput_share(trace const& input, replay_result const& observed);

/// Work of the tasks that ended in [begin, end), in microseconds on targets of slowness 1.
[[nodiscard]] double work_between(replay_result const& observed, time_us begin, time_us end);

} // namespace filbertroad::measure

#endif

#ifndef FILBERTROAD_SCHEDULING_INTERNAL_RUN_TIME_DISTRIBUTION_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_RUN_TIME_DISTRIBUTION_HPP

/// Learnt distribution of run times on a target of slowness 1: a histogram with four buckets for
/// each factor of two. The weight of old samples decays, so that a change of the run times shows
/// after a few thousand tasks.
///
///     run_time_distribution run_times;
///     run_times.add(0.25);
///     auto cost = run_times.expected_excess(2.0); // mean of max(0, run time - 2 s)
///
/// Times are in seconds. Not thread-safe.

#include <array>
#include <cstddef>
#include <cstdint>

namespace filbertroad::scheduling::internal
{

class run_time_distribution
{
public:
    run_time_distribution();

    void add(double seconds);
    [[nodiscard]] std::uint32_t samples() const { return this->sample_count; }
    [[nodiscard]] double mean() const { return this->cached_mean; }
    /// Expected value of max(0, run time - `seconds`).
    [[nodiscard]] double expected_excess(double seconds) const;
    /// Expected value of the longest of `tasks` run times; interpolated between powers of two.
    [[nodiscard]] double expected_longest(std::uint32_t tasks) const;

private:
    static constexpr std::size_t bucket_count = 80;
    static constexpr std::size_t doublings = 10;

    struct bucket
    {
        double count = 0;
        double sum = 0;
    };

    static std::size_t bucket_of(double seconds);
    void refresh();

    std::array<bucket, bucket_count> buckets;
    /// For each bucket, the sums over it and all later buckets.
    std::array<bucket, bucket_count + 1> suffix_sums;
    /// Expected longest of 1, 2, 4, ... run times.
    std::array<double, doublings> longest_means;
    double cached_mean = 0;
    std::uint32_t sample_count = 0;
    std::uint32_t samples_until_refresh = 1;
};

} // namespace filbertroad::scheduling::internal

#endif

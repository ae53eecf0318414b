#ifndef FILBERTROAD_DISPATCH_INTERNAL_RUN_TIME_MODEL_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_RUN_TIME_MODEL_HPP

/// Learned distribution of the run times of a route, as ratios: measured time times the speed of
/// the target, divided by the estimate. Logarithmic buckets of fixed number; old runs lose weight
/// with each new one. Not thread-safe.
///
///     run_time_model model;
///     model.observe(elapsed * speed / estimate);
///     if (model.share_above(7) < 0.001) ...

#include <array>
#include <cstddef>

namespace filbertroad::dispatch::internal
{

class run_time_model
{
public:
    /// Records a run that ended by itself. Ratios that are not positive are ignored.
    void observe(double ratio);
    /// Records a run that was stopped when its ratio was `ratio`. Its weight goes to the runs that
    /// took longer, as in the Kaplan-Meier estimate. If there are none, it counts as twice as long,
    /// so that a tail is also learned where every run of it is stopped.
    void observe_at_least(double ratio);
    /// Weight of the runs, at most `max_weight`: a run has weight 1 when it is recorded.
    [[nodiscard]] double weight() const { return this->total; }
    /// Weight of the runs with a higher ratio; runs within a bucket count as evenly distributed.
    [[nodiscard]] double weight_above(double ratio) const;
    /// Share of the runs with a higher ratio, 0 to 1; 0 without runs.
    [[nodiscard]] double share_above(double ratio) const;

    /// Effective number of runs that the distribution covers. 3 % of them are 60, which is enough
    /// for the end of a tail; the rarest kind of job has so many runs at an entry within minutes.
    static constexpr double max_weight = 2'000;

private:
    /// Four buckets for each doubling, from 1/4 on: a bucket is 19 % wide, which is less than the
    /// error of estimates.
    static constexpr double first_edge = 0.25;
    static constexpr double buckets_per_doubling = 4;
    static constexpr std::size_t bucket_count = 32;

    static constexpr double decay_factor = 1 - 1 / max_weight;

    static double position_of(double ratio);
    void decay();

    std::array<double, bucket_count> weights{};
    double total = 0;
};

} // namespace filbertroad::dispatch::internal

#endif

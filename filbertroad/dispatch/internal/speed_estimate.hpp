#ifndef FILBERTROAD_DISPATCH_INTERNAL_SPEED_ESTIMATE_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_SPEED_ESTIMATE_HPP

/// Moving average of a target's speed: estimated run times divided by measured run times. Not
/// thread-safe.
///
///     speed_estimate speed;
///     speed.observe(estimate, elapsed);
///     auto expected = estimate / speed.value();

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace filbertroad::dispatch::internal
{

class speed_estimate
{
public:
    void observe(std::chrono::milliseconds estimate, std::chrono::milliseconds elapsed)
    {
        if (estimate.count() <= 0 || elapsed.count() <= 0)
        {
            return;
        }
        ++this->observations;
        auto const weight = std::max(
            min_weight, 1 / (prior_observations + static_cast<double>(this->observations)));
        this->estimated = this->estimated * (1 - weight) + weight * clamp(estimate);
        this->measured = this->measured * (1 - weight) + weight * clamp(elapsed);
    }

    /// Estimated divided by measured time, 0.05 to 8; 1 before the first observation.
    [[nodiscard]] double value() const
    {
        return std::clamp(this->estimated / this->measured, min_speed, max_speed);
    }

private:
    /// The average covers about the last 40 runs. Single estimates are off by 40 %, so the mean of
    /// 40 is within 10 %. A target with 45 runs per second has a valid estimate within a second.
    static constexpr double min_weight = 1.0 / 40;
    /// Weight of the initial value, in observations. It is small, so that a slow target is
    /// recognized after a few runs: it gets few runs once it is known to be slow.
    static constexpr double prior_observations = 4;
    static constexpr double min_speed = 0.05;
    static constexpr double max_speed = 8;
    /// Initial value of both averages in milliseconds: a typical run time at speed 1.
    static constexpr double prior = 150;

    static double clamp(std::chrono::milliseconds time)
    {
        return std::min(static_cast<double>(time.count()), 2000.0);
    }

    std::uint64_t observations = 0;
    double estimated = prior;
    double measured = prior;
};

} // namespace filbertroad::dispatch::internal

#endif

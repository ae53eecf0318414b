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
    static constexpr double weight = 1.0 / 40;
    static constexpr double min_speed = 0.05;
    static constexpr double max_speed = 8;
    /// Initial value of both averages in milliseconds: a typical run time at speed 1. It has as
    /// much weight as the window.
    static constexpr double prior = 150;

    static double clamp(std::chrono::milliseconds time)
    {
        return std::min(static_cast<double>(time.count()), 2000.0);
    }

    double estimated = prior;
    double measured = prior;
};

} // namespace filbertroad::dispatch::internal

#endif

#ifndef FILBERTROAD_DISPATCH_INTERNAL_SPEED_ESTIMATE_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_SPEED_ESTIMATE_HPP

/// Speed of a target, learnt from estimated and measured run times.
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

    /// Estimated over measured time; 1 before the first observation.
    [[nodiscard]] double value() const
    {
        return std::clamp(this->estimated / this->measured, min_speed, max_speed);
    }

private:
    /// About the last 40 runs count. Single estimates are off by 40 %, so that the mean of 40 is
    /// within 10 % and a target at 45 runs a second is known within a second.
    static constexpr double weight = 1.0 / 40;
    static constexpr double min_speed = 0.05;
    static constexpr double max_speed = 8;
    /// Prior: as much weight as the window, at speed 1 and a typical run time in milliseconds.
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

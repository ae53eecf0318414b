#ifndef FILBERTROAD_DISPATCH_INTERNAL_RUN_TIME_MODEL_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_RUN_TIME_MODEL_HPP

/// Run times of the tasks of one route, learnt from declared and measured ones. Declared times are
/// rough: the further one is from what is usual for the route, the more of the distance is error.
/// A linear regression of the logarithms, with weights that fade, predicts the time.
///
///     run_time_model model;
///     model.observe(declared, elapsed_ms * speed);
///     auto expected = model.predict(declared);

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace filbertroad::dispatch::internal
{

class run_time_model
{
public:
    /// `normal_ms` is the measured time on a target of speed 1.
    void observe(std::chrono::milliseconds declared, double normal_ms)
    {
        if (declared.count() <= 0 || normal_ms <= 0)
        {
            return;
        }
        auto const x = std::log(static_cast<double>(declared.count()));
        auto const y = std::log(normal_ms);
        ++this->count;
        auto const weight = std::max(1.0 / static_cast<double>(this->count), min_weight);
        auto const x_step = x - this->mean_x;
        auto const y_step = y - this->mean_y;
        this->mean_x += weight * x_step;
        this->mean_y += weight * y_step;
        this->variance_x = (1 - weight) * (this->variance_x + weight * x_step * x_step);
        this->covariance = (1 - weight) * (this->covariance + weight * x_step * y_step);
    }

    /// Expected time on a target of speed 1; the declared one until enough is known.
    [[nodiscard]] std::chrono::milliseconds predict(std::chrono::milliseconds declared) const
    {
        if (this->count < min_count || declared.count() <= 0)
        {
            return declared;
        }
        auto const slope = this->variance_x > min_variance
                               ? std::clamp(this->covariance / this->variance_x, 0.0, 1.0)
                               : 0.0;
        auto const x = std::log(static_cast<double>(declared.count()));
        auto const expected = std::exp(this->mean_y + slope * (x - this->mean_x));
        return std::chrono::milliseconds(std::max<std::int64_t>(std::llround(expected), 1));
    }

private:
    /// Tasks of one job resemble each other: 60 tasks are about a dozen jobs.
    static constexpr std::uint64_t min_count = 60;
    /// The last thousand tasks count, some seconds of a busy route.
    static constexpr double min_weight = 1.0 / 1000;
    static constexpr double min_variance = 1e-4;

    std::uint64_t count = 0;
    double mean_x = 0;
    double mean_y = 0;
    double variance_x = 0;
    double covariance = 0;
};

} // namespace filbertroad::dispatch::internal

#endif

#include "filbertroad/dispatch/internal/run_time_model.hpp"

#include <algorithm>
#include <cmath>

namespace filbertroad::dispatch::internal
{

/// Bucket number and, as the fraction, the place within the bucket.
double run_time_model::position_of(double ratio)
{
    auto const position = buckets_per_doubling * std::log2(std::max(ratio / first_edge, 1.0));
    return std::min(position, static_cast<double>(bucket_count) - 0.001);
}

void run_time_model::decay()
{
    for (auto& weight : this->weights)
    {
        weight *= decay_factor;
    }
    this->total *= decay_factor;
}

void run_time_model::observe(double ratio)
{
    if (!(ratio > 0))
    {
        return;
    }
    this->decay();
    this->weights[static_cast<std::size_t>(position_of(ratio))] += 1;
    this->total += 1;
}

void run_time_model::observe_at_least(double ratio)
{
    if (!(ratio > 0))
    {
        return;
    }
    auto const first = static_cast<std::size_t>(position_of(ratio)) + 1;
    double above = 0;
    for (std::size_t bucket = first; bucket < bucket_count; ++bucket)
    {
        above += this->weights[bucket];
    }
    if (above < 1)
    {
        this->observe(2 * ratio);
        return;
    }
    this->decay();
    above *= decay_factor;
    for (std::size_t bucket = first; bucket < bucket_count; ++bucket)
    {
        this->weights[bucket] *= 1 + 1 / above;
    }
    this->total += 1;
}

double run_time_model::weight_above(double ratio) const
{
    auto const position = position_of(ratio);
    auto const bucket = static_cast<std::size_t>(position);
    double above = this->weights[bucket] * (1 - (position - static_cast<double>(bucket)));
    for (std::size_t later = bucket + 1; later < bucket_count; ++later)
    {
        above += this->weights[later];
    }
    return above;
}

double run_time_model::share_above(double ratio) const
{
    return this->total > 0 ? this->weight_above(ratio) / this->total : 0;
}

} // namespace filbertroad::dispatch::internal

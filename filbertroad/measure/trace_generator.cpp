#include "filbertroad/measure/trace_generator.hpp"

#include <cmath>
#include <random>

namespace filbertroad::measure
{
namespace
{

constexpr std::uint32_t target_count = 11;
constexpr std::uint32_t team_count = 4;
constexpr double max_tasks = 270;
constexpr double long_task_share = 0.03;

/// Random numbers that are the same with every standard library.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : generator(seed) {}
    /// In [0, 1).
    double uniform() { return static_cast<double>(this->generator() >> 11U) * 0x1p-53; }
    double log_uniform(double low, double high)
    {
        return low * std::exp(this->uniform() * std::log(high / low));
    }
    double exponential() { return -std::log(1 - this->uniform()); }

private:
    std::mt19937_64 generator;
};

std::uint32_t run_time_us(random_source& random)
{
    auto const seconds =
        random.uniform() < long_task_share ? 2 + 4 * random.uniform() : random.log_uniform(0.05, 1);
    return static_cast<std::uint32_t>(seconds * 1e6);
}

void add_targets(trace_options const& options, trace& generated)
{
    std::uint32_t const zones = options.site == deployment::sabzpari ? 3 : 4;
    for (std::uint32_t index = 0; index < target_count; ++index)
    {
        // Five is coprime to eleven (target_count), so that each rank occurs once and each zone has
        // fast and slow targets.
        auto const rank = static_cast<double>(index * 5 % target_count) / (target_count - 1);
        generated.targets.push_back({.name = "target-" + std::to_string(index),
                                     .zone = index % zones,
                                     .slots = 8,
                                     .slowness = std::pow(options.speed_range, rank - 0.5)});
    }
}

} // namespace

trace generate(trace_options const& options)
{
    random_source random(options.seed);
    trace generated;
    generated.zone_latency = options.site == deployment::sabzpari ? 500 : 1500;
    add_targets(options, generated);
    std::vector<double> arrivals;
    double time = 0;
    for (std::uint32_t index = 0; index < options.jobs; ++index)
    {
        time += random.exponential();
        arrivals.push_back(time);
        trace_job job;
        job.team = static_cast<std::uint32_t>(random.uniform() * team_count);
        job.run_us.resize(static_cast<std::size_t>(random.log_uniform(1, max_tasks + 1)));
        for (auto& run_us : job.run_us)
        {
            run_us = run_time_us(random);
        }
        generated.jobs.push_back(std::move(job));
    }
    auto const duration = generated.total_work() / (generated.capacity() * options.load);
    for (std::uint32_t index = 0; index < options.jobs; ++index)
    {
        generated.jobs[index].arrival = static_cast<time_us>(arrivals[index] / time * duration);
    }
    return generated;
}

} // namespace filbertroad::measure

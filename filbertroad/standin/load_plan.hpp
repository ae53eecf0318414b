#ifndef FILBERTROAD_STANDIN_LOAD_PLAN_HPP
#define FILBERTROAD_STANDIN_LOAD_PLAN_HPP

/// Load plan: the jobs that the load generator submits and their submission times. The plan is
/// computed before the run from a random seed.
///
///     auto times = standin::parse_run_times("50-1000");
///     auto plan = standin::make_load_plan({.rate = 100, .tasks = 4, .run_times = *times, ...});

#include "filbertroad/standin/ideal.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace filbertroad::standin
{

/// Distribution of the run times of tasks.
struct run_time_distribution
{
    enum class kind
    {
        fixed,
        uniform,
        exponential,
    };

    kind family = kind::fixed;
    /// Fixed value, lower bound of a uniform distribution, or mean of an exponential one.
    std::uint32_t base_ms = 100;
    /// Upper bound of a uniform distribution.
    std::uint32_t max_ms = 100;
};

/// Parses run times in milliseconds: `120` (fixed), `50-1000` (uniform) or `exp:120` (exponential
/// with mean 120). Empty if `text` is malformed or a value exceeds 600,000 ms.
[[nodiscard]] std::optional<run_time_distribution> parse_run_times(std::string_view text);

struct load_profile
{
    /// Mean jobs per second; arrivals are a Poisson process.
    double rate = 10;
    std::uint32_t tasks = 1;
    run_time_distribution run_times;
    double seconds = 10;
    std::uint64_t seed = 1;
};

struct planned_job
{
    milliseconds_f submit_at{};
    /// Run time of each task, in whole milliseconds because payloads state them so.
    std::vector<std::uint32_t> run_ms;
};

/// Computes the jobs of `profile`, sorted by submission time. Equal profiles give equal plans.
[[nodiscard]] std::vector<planned_job> make_load_plan(load_profile const& profile);

} // namespace filbertroad::standin

#endif

#ifndef FILBERTROAD_STANDIN_LOAD_PLAN_HPP
#define FILBERTROAD_STANDIN_LOAD_PLAN_HPP

/// What the load tool submits and when, decided before the run by a seed.
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

/// Distribution of run times.
struct run_time_distribution
{
    enum class kind
    {
        fixed,
        uniform,
        exponential,
    };

    kind family = kind::fixed;
    /// Value, lower bound or mean, in milliseconds.
    std::uint32_t base_ms = 100;
    /// Upper bound of a uniform choice, in milliseconds.
    std::uint32_t max_ms = 100;
};

/// Parses `120` (every task), `50-1000` (uniform) or `exp:120` (exponential with that mean).
[[nodiscard]] std::optional<run_time_distribution> parse_run_times(std::string_view text);

struct load_profile
{
    /// Jobs per second; arrivals are a Poisson process.
    double rate = 10;
    std::uint32_t tasks = 1;
    run_time_distribution run_times;
    double seconds = 10;
    std::uint64_t seed = 1;
};

struct planned_job
{
    milliseconds_f submit_at{};
    /// Whole milliseconds, as payloads state them.
    std::vector<std::uint32_t> run_ms;
};

/// The same shape gives the same plan.
[[nodiscard]] std::vector<planned_job> make_load_plan(load_profile const& profile);

} // namespace filbertroad::standin

#endif

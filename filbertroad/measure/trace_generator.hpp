#ifndef FILBERTROAD_MEASURE_TRACE_GENERATOR_HPP
#define FILBERTROAD_MEASURE_TRACE_GENERATOR_HPP

/// Generates traces of the two deployments. Jobs arrive from four teams as a Poisson process. Job
/// sizes are log-uniform from 1 to 270 tasks. 97 % of the run times are log-uniform from 50 ms to
/// 1 s, the others uniform from 2 s to 6 s. Arrival times are scaled so that the offered work is
/// exactly the requested share of the capacity.
///
///     auto trace = measure::generate({.site = measure::deployment::sabzpari, .load = 0.95});
///
/// Pure function.

#include "filbertroad/measure/trace.hpp"

#include <cstdint>

namespace filbertroad::measure
{

enum class deployment
{
    sabzpari,
    altan_tsetseg,
};

struct trace_options
{
    deployment site = deployment::sabzpari;
    /// Speed of the fastest target over that of the slowest.
    double speed_range = 1;
    /// Offered work over capacity.
    double load = 0.7;
    std::uint32_t jobs = 2000;
    std::uint64_t seed = 1;
};

[[nodiscard]] trace generate(trace_options const& options);

} // namespace filbertroad::measure

#endif

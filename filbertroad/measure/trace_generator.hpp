#ifndef FILBERTROAD_MEASURE_TRACE_GENERATOR_HPP
#define FILBERTROAD_MEASURE_TRACE_GENERATOR_HPP

/// Generates traces of the two deployments. Jobs arrive at random (Poisson) from four teams; sizes
/// are spread evenly on a logarithmic scale from 1 to 270 tasks; 97 % of run times are spread the
/// same way from 50 ms to 1 s, the others evenly from 2 s to 6 s. Arrival times are scaled so that
/// the offered work is exactly the wanted share of the capacity.
///
///     auto made = measure::generate({.where = measure::deployment::sabzpari, .load = 0.95});
///
/// Pure function of its argument.

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
    /// Fastest over slowest target.
    double speed_range = 1;
    /// Offered work over capacity.
    double load = 0.7;
    std::uint32_t jobs = 2000;
    std::uint64_t seed = 1;
};

[[nodiscard]] trace generate(trace_options const& options);

} // namespace filbertroad::measure

#endif

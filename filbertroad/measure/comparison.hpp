#ifndef FILBERTROAD_MEASURE_COMPARISON_HPP
#define FILBERTROAD_MEASURE_COMPARISON_HPP

/// Replays the same traces with the scheduler, the ideal schedulers and the baselines, and prints
/// metrics. A scenario is a deployment, a range of target speeds and a load; its metrics cover all
/// seeds together.
///
///     measure::compare({.seeds = 5, .jobs = 2000}, std::cout);
///
/// Starts threads of its own; the output does not depend on their number.

#include "filbertroad/measure/trace.hpp"
#include "filbertroad/measure/trace_generator.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace filbertroad::measure
{

struct comparison_options
{
    std::uint32_t first_seed = 1;
    std::uint32_t seeds = 5;
    std::uint32_t jobs = 2000;
    std::uint32_t threads = 2;
    /// Measures only scenarios whose name contains this text.
    std::string name_filter;
    bool with_baselines = true;
};

/// Replays generated traces and prints one line `NAME VALUE UNIT` for each metric.
void compare(comparison_options const& options, std::ostream& out);

/// The same for one recorded trace.
void compare_trace(trace const& input, std::ostream& out);

} // namespace filbertroad::measure

#endif

#ifndef FILBERTROAD_MEASURE_ZONE_CHANGE_HPP
#define FILBERTROAD_MEASURE_ZONE_CHANGE_HPP

/// Measures the work that is completed around the outage of a zone at 95 % load.
///
///     measure::measure_zone_change({.seeds = 5, .jobs = 2000}, std::cout);
///
/// Thread-safe.

#include "filbertroad/measure/comparison.hpp"

#include <iosfwd>

namespace filbertroad::measure
{

/// Prints zone_change_work_ratio for each deployment and range of target speeds, the lowest of
/// these ratios, and the highest share of wasted messages, without and with prefetching.
void measure_zone_change(comparison_options const& options, std::ostream& out);

} // namespace filbertroad::measure

#endif

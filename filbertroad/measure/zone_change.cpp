#include "filbertroad/measure/zone_change.hpp"

#include "filbertroad/measure/replay.hpp"
#include "filbertroad/measure/statistics.hpp"
#include "filbertroad/measure/trace_generator.hpp"

#include <algorithm>
#include <ostream>
#include <string>

namespace filbertroad::measure
{
namespace
{

constexpr double offered_load = 0.95;
/// The zone of the outage. The owner is in zone 0; zone 1 has targets only.
constexpr std::uint32_t outage_zone = 1;
constexpr time_us outage_duration = 30'000'000;
/// The measurement continues for this long after the end of the outage.
constexpr time_us recovery_duration = 30'000'000;
/// The outage starts after this share of the trace.
constexpr double outage_start_share = 0.4;

struct work_totals
{
    double scheduler_work = 0;
    double ideal_work = 0;
    std::uint64_t messages = 0;
    std::uint64_t wasted = 0;
};

/// Adds the work of the scheduler, and that of the ideal scheduler with the same outage, from the
/// start of the outage to the end of the measurement.
void accumulate_trace(trace const& input, std::uint64_t seed, std::uint32_t prefetch_limit,
                      work_totals& sum)
{
    auto const outage_start =
        static_cast<time_us>(static_cast<double>(input.jobs.back().arrival) * outage_start_share);
    zone_outage const outage{outage_zone, outage_start, outage_start + outage_duration};
    auto const observed = replay_scheduler(
        input, {.seed = seed, .prefetch_limit = prefetch_limit, .outages = {outage}});
    auto const ideal = replay_ideal(input, ideal_policy::earliest_finish, {outage});
    auto const window_end = outage.until + recovery_duration;
    sum.scheduler_work += work_between(observed, outage_start, window_end);
    sum.ideal_work += work_between(ideal, outage_start, window_end);
    sum.messages += observed.messages;
    sum.wasted += observed.wasted_messages;
}

} // namespace

void measure_zone_change(comparison_options const& options, std::ostream& out)
{
    for (std::uint32_t prefetch_limit = 0; prefetch_limit < 2; ++prefetch_limit)
    {
        std::string const suffix = prefetch_limit == 0 ? "" : "_held_start";
        double lowest = 1e9;
        double wasted = 0;
        for (auto const site : {deployment::sabzpari, deployment::altan_tsetseg})
        {
            for (double const range : {1.0, 4.0})
            {
                work_totals sum;
                for (std::uint32_t seed_offset = 0; seed_offset < options.seeds; ++seed_offset)
                {
                    auto const seed = options.first_seed + seed_offset;
                    accumulate_trace(generate({site, range, offered_load, options.jobs, seed}),
                                     seed, prefetch_limit, sum);
                }
                auto const ratio = sum.scheduler_work / sum.ideal_work;
                lowest = std::min(lowest, ratio);
                wasted = std::max(wasted, static_cast<double>(sum.wasted) /
                                              static_cast<double>(sum.messages));
                out << "zone_change_work_ratio."
                    << (site == deployment::sabzpari ? "sabzpari" : "altan_tsetseg")
                    << (range == 1 ? ".equal" : ".fourfold") << suffix << ' ' << ratio
                    << " ratio\n";
            }
        }
        out << "zone_change_work_ratio" << suffix << ' ' << lowest << " ratio\n";
        out << "zone_change_wasted_messages_share" << suffix << ' ' << wasted << " share\n";
    }
}

} // namespace filbertroad::measure

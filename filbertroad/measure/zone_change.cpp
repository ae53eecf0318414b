#include "filbertroad/measure/zone_change.hpp"

#include "filbertroad/measure/generate.hpp"
#include "filbertroad/measure/replay.hpp"
#include "filbertroad/measure/statistics.hpp"

#include <algorithm>
#include <ostream>
#include <string>

namespace filbertroad::measure
{
namespace
{

constexpr double load = 0.95;
/// The owner is in zone 0; this one has targets only.
constexpr std::uint32_t zone = 1;
constexpr time_us outage_length = 30'000'000;
/// The window goes on after the return for this long.
constexpr time_us recovery_length = 30'000'000;
/// The zone leaves after this share of the trace.
constexpr double outage_start_share = 0.4;

struct work_done
{
    double measured = 0;
    double possible = 0;
    std::uint64_t messages = 0;
    std::uint64_t wasted = 0;
};

/// Work of the scheduler in the window beside that of the ideal with the same outage.
void add_trace(trace const& content, std::uint64_t seed, std::uint32_t held_starts, work_done& sum)
{
    auto const from =
        static_cast<time_us>(static_cast<double>(content.jobs.back().arrival) * outage_start_share);
    zone_outage const outage{zone, from, from + outage_length};
    auto const observed =
        replay_scheduler(content, {.seed = seed, .held_starts = held_starts, .outages = {outage}});
    auto const ideal = replay_ideal(content, ideal_kind::ends_first, {outage});
    auto const end = outage.until + recovery_length;
    sum.measured += work_between(observed, from, end);
    sum.possible += work_between(ideal, from, end);
    sum.messages += observed.messages;
    sum.wasted += observed.wasted_messages;
}

} // namespace

void measure_zone_change(comparison_options const& options, std::ostream& out)
{
    for (std::uint32_t held_starts = 0; held_starts < 2; ++held_starts)
    {
        std::string const suffix = held_starts == 0 ? "" : "_held_start";
        double least = 1e9;
        double wasted = 0;
        for (auto const where : {deployment::sabzpari, deployment::altan_tsetseg})
        {
            for (double const range : {1.0, 4.0})
            {
                work_done sum;
                for (std::uint32_t number = 0; number < options.seeds; ++number)
                {
                    auto const seed = options.first_seed + number;
                    add_trace(generate({where, range, load, options.jobs, seed}), seed, held_starts,
                              sum);
                }
                auto const ratio = sum.measured / sum.possible;
                least = std::min(least, ratio);
                wasted = std::max(wasted, static_cast<double>(sum.wasted) /
                                              static_cast<double>(sum.messages));
                out << "zone_change_work_ratio."
                    << (where == deployment::sabzpari ? "sabzpari" : "altan_tsetseg")
                    << (range == 1 ? ".equal" : ".fourfold") << suffix << ' ' << ratio
                    << " ratio\n";
            }
        }
        out << "zone_change_work_ratio" << suffix << ' ' << least << " ratio\n";
        out << "zone_change_wasted_messages_share" << suffix << ' ' << wasted << " share\n";
    }
}

} // namespace filbertroad::measure

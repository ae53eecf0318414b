#include "filbertroad/measure/comparison.hpp"

#include "filbertroad/measure/replay.hpp"
#include "filbertroad/measure/statistics.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <limits>
#include <ostream>
#include <string_view>
#include <thread>

namespace filbertroad::measure
{
namespace
{

constexpr std::array<double, 4> loads{0.3, 0.7, 0.95, 1.3};
/// The response ratio has a target up to this load.
constexpr double max_target_load = 0.95;
constexpr double burst_load = 10;
/// Bound of the queue in the burst, so that the traces of a few minutes fill it.
constexpr std::uint32_t burst_max_queued = 5000;

enum system
{
    ours,
    ideal,
    ours_held_start,
    ideal_fastest_free,
    ideal_first_come,
    round_robin,
    two_choices,
    agent_queue,
    system_count,
};

constexpr std::array<std::string_view, system_count> system_names{"filbertroad",
                                                                  "ideal",
                                                                  "filbertroad_held_start",
                                                                  "ideal_fastest_free",
                                                                  "ideal_first_come",
                                                                  "round_robin",
                                                                  "two_choices",
                                                                  "agent_queue"};

struct system_figures
{
    response_sample responses;
    double throughput = 0;
    std::uint64_t messages = 0;
    std::uint64_t wasted = 0;
    std::uint32_t longest_queue = 0;

    void add(trace const& content, outcome const& observed)
    {
        this->responses.add(content, observed);
        this->throughput += throughput_share(content, observed);
        this->messages += observed.messages;
        this->wasted += observed.wasted_messages;
        this->longest_queue = std::max(this->longest_queue, observed.longest_queue);
    }
};

struct cell
{
    std::string name;
    trace_options options;
    std::array<system_figures, system_count> systems;
};

outcome replay(trace const& content, system which, std::uint64_t seed, bool burst)
{
    switch (which)
    {
    case ideal:
        return replay_ideal(content, ideal_kind::ends_first);
    case ours_held_start:
        return replay_scheduler(content, {.seed = seed, .held_starts = 1, .outages = {}});
    case ideal_fastest_free:
        return replay_ideal(content, ideal_kind::fastest_free);
    case ideal_first_come:
        return replay_ideal(content, ideal_kind::first_come);
    case round_robin:
        return replay_baseline(content, baseline::round_robin, seed);
    case two_choices:
        return replay_baseline(content, baseline::two_choices, seed);
    case agent_queue:
        return replay_baseline(content, baseline::agent_queue, seed);
    default:
        return replay_scheduler(
            content,
            {.seed = seed, .max_queued_tasks = burst ? burst_max_queued : 200'000, .outages = {}});
    }
}

void measure_cell(cell& cell, comparison_options const& options)
{
    bool const burst = cell.options.load == burst_load;
    for (std::uint32_t number = 0; number < options.seeds; ++number)
    {
        auto chosen = cell.options;
        chosen.seed = options.first_seed + number;
        chosen.jobs = options.jobs;
        auto const content = generate(chosen);
        auto const last = burst ? ideal : options.with_baselines ? system_count : round_robin;
        for (int which = 0; which < last; ++which)
        {
            cell.systems[which].add(
                content, replay(content, static_cast<system>(which), chosen.seed, burst));
        }
    }
    for (auto& figures : cell.systems)
    {
        figures.throughput /= options.seeds;
    }
}

std::vector<cell> make_cells(std::string_view only)
{
    std::vector<cell> cells;
    auto const add = [&](std::string const& name, trace_options const& options)
    {
        if (name.find(only) != std::string::npos)
        {
            cells.push_back({name, options, {}});
        }
    };
    for (auto const where : {deployment::sabzpari, deployment::altan_tsetseg})
    {
        std::string const place = where == deployment::sabzpari ? "sabzpari" : "altan_tsetseg";
        for (double const range : {1.0, 4.0})
        {
            auto const speeds = range == 1 ? ".equal" : ".fourfold";
            for (double const load : loads)
            {
                add(place + speeds + ".load_" + std::to_string(std::lround(load * 100)),
                    {.where = where, .speed_range = range, .load = load});
            }
            add(place + speeds + ".load_1000",
                {.where = where, .speed_range = range, .load = burst_load});
        }
    }
    return cells;
}

void print(std::ostream& out, std::string const& name, double value, std::string_view unit)
{
    out << name << ' ' << value << ' ' << unit << '\n';
}

/// Mean and 99th percentile over the jobs of the ratio of each job.
void print_job_ratios(std::ostream& out, std::string const& name, response_sample const& sample,
                      response_sample const& reference)
{
    std::vector<double> ratios;
    double sum = 0;
    for (std::size_t job = 0; job < sample.all().size(); ++job)
    {
        ratios.push_back(static_cast<double>(sample.all()[job]) /
                         static_cast<double>(reference.all()[job]));
        sum += ratios.back();
    }
    std::sort(ratios.begin(), ratios.end());
    auto const count = static_cast<double>(ratios.size());
    print(out, "job_response_ratio_mean." + name, sum / count, "ratio");
    print(out, "job_response_ratio_p99." + name,
          ratios[static_cast<std::size_t>(0.99 * (count - 1))], "ratio");
}

void print_ratios(std::ostream& out, cell const& cell, system which)
{
    auto const& sample = cell.systems[which].responses;
    auto const& reference = cell.systems[ideal].responses;
    if (sample.all().empty())
    {
        return;
    }
    auto const name = cell.name + "." + std::string(system_names[which]);
    print(out, "response_ratio_mean." + name, sample.mean() / reference.mean(), "ratio");
    print(out, "response_ratio_p99." + name, sample.quantile(0.99) / reference.quantile(0.99),
          "ratio");
    if (which == ours)
    {
        print_job_ratios(out, name, sample, reference);
        print(out, "response_mean." + name, sample.mean() / 1000, "ms");
        print(out, "response_p99." + name, sample.quantile(0.99) / 1000, "ms");
        print(out, "refused_jobs." + name, static_cast<double>(sample.refused()), "jobs");
    }
}

void print_cell(std::ostream& out, cell const& cell)
{
    auto const& measured = cell.systems[ours];
    if (cell.options.load < burst_load)
    {
        for (auto const which : {ours, ours_held_start, ideal_fastest_free, ideal_first_come,
                                 round_robin, two_choices, agent_queue})
        {
            print_ratios(out, cell, which);
        }
    }
    print(out, "useful_throughput." + cell.name, measured.throughput, "share_of_capacity");
    print(out, "longest_queue." + cell.name, measured.longest_queue, "tasks");
    for (auto const which : {ours, agent_queue})
    {
        auto const& figures = cell.systems[which];
        if (figures.messages > 0)
        {
            print(out,
                  "wasted_messages_share." + cell.name + "." + std::string(system_names[which]),
                  static_cast<double>(figures.wasted) / static_cast<double>(figures.messages),
                  "share");
        }
    }
}

/// Largest ratio of a system's figure to that of a reference, over the cells with a target.
double worst_ratio(std::vector<cell> const& cells, system which, system reference,
                   double (*figure)(response_sample const&))
{
    double worst = 0;
    for (auto const& cell : cells)
    {
        if (cell.options.load <= max_target_load)
        {
            worst = std::max(worst, figure(cell.systems[which].responses) /
                                        figure(cell.systems[reference].responses));
        }
    }
    return worst;
}

/// Smallest throughput over the cells of a load.
double least_throughput(std::vector<cell> const& cells, double load)
{
    double least = std::numeric_limits<double>::infinity();
    for (auto const& cell : cells)
    {
        least = cell.options.load == load ? std::min(least, cell.systems[ours].throughput) : least;
    }
    return least;
}

/// The worst cell of each figure that has a target.
void print_summary(std::ostream& out, std::vector<cell> const& cells)
{
    auto const mean = [](response_sample const& sample) { return sample.mean(); };
    auto const p99 = [](response_sample const& sample) { return sample.quantile(0.99); };
    for (auto const which : {ours, ours_held_start})
    {
        std::string const suffix = which == ours ? "" : "_held_start";
        print(out, "response_ratio_mean" + suffix, worst_ratio(cells, which, ideal, mean), "ratio");
        print(out, "response_ratio_p99" + suffix, worst_ratio(cells, which, ideal, p99), "ratio");
        print(out, "response_ratio_mean_to_fastest_free" + suffix,
              worst_ratio(cells, which, ideal_fastest_free, mean), "ratio");
        print(out, "response_ratio_p99_to_fastest_free" + suffix,
              worst_ratio(cells, which, ideal_fastest_free, p99), "ratio");
    }
    double wasted = 0;
    for (auto const& cell : cells)
    {
        auto const& measured = cell.systems[ours];
        wasted = std::max(wasted, static_cast<double>(measured.wasted) /
                                      static_cast<double>(measured.messages));
    }
    print(out, "wasted_messages_share", wasted, "share");
    print(out, "useful_throughput_130", least_throughput(cells, loads.back()), "share_of_capacity");
    print(out, "useful_throughput_1000", least_throughput(cells, burst_load), "share_of_capacity");
}

} // namespace

void compare(comparison_options const& options, std::ostream& out)
{
    auto cells = make_cells(options.only);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::uint32_t number = 0; number < options.threads; ++number)
    {
        threads.emplace_back(
            [&]
            {
                for (auto index = next++; index < cells.size(); index = next++)
                {
                    measure_cell(cells[index], options);
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    for (auto const& cell : cells)
    {
        print_cell(out, cell);
    }
    print_summary(out, cells);
}

void compare_trace(trace const& content, std::ostream& out)
{
    cell only{"trace", {}, {}};
    for (int which = 0; which < system_count; ++which)
    {
        only.systems[which].add(content, replay(content, static_cast<system>(which), 1, false));
    }
    print_cell(out, only);
}

} // namespace filbertroad::measure

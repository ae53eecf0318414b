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
/// The response ratios have an objective up to this load.
constexpr double max_objective_load = 0.95;
constexpr double burst_load = 10;
/// Queue limit in the burst scenarios, so low that traces of a few minutes fill the queue.
constexpr std::uint32_t burst_max_queued = 5000;

enum compared_system
{
    scheduler,
    ideal,
    scheduler_with_prefetch,
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

struct system_metrics
{
    response_sample response_times;
    double throughput = 0;
    std::uint64_t messages = 0;
    std::uint64_t wasted = 0;
    std::uint32_t longest_queue = 0;

    void add(trace const& input, replay_result const& observed)
    {
        this->response_times.add(input, observed);
        this->throughput += throughput_share(input, observed);
        this->messages += observed.messages;
        this->wasted += observed.wasted_messages;
        this->longest_queue = std::max(this->longest_queue, observed.longest_queue);
    }
};

struct scenario
{
    std::string name;
    trace_options options;
    std::array<system_metrics, system_count> systems;
};

replay_result replay(trace const& input, compared_system system, std::uint64_t seed, bool burst)
{
    switch (system)
    {
    case ideal:
        return replay_ideal(input, ideal_policy::earliest_finish);
    case scheduler_with_prefetch:
        return replay_scheduler(input, {.seed = seed, .prefetch_limit = 1, .outages = {}});
    case ideal_fastest_free:
        return replay_ideal(input, ideal_policy::fastest_free);
    case ideal_first_come:
        return replay_ideal(input, ideal_policy::first_come_first_served);
    case round_robin:
        return replay_baseline(input, baseline_policy::round_robin, seed);
    case two_choices:
        return replay_baseline(input, baseline_policy::two_choices, seed);
    case agent_queue:
        return replay_baseline(input, baseline_policy::agent_queue, seed);
    default:
        return replay_scheduler(
            input,
            {.seed = seed, .max_queued_tasks = burst ? burst_max_queued : 200'000, .outages = {}});
    }
}

void measure_scenario(scenario& scenario, comparison_options const& options)
{
    bool const burst = scenario.options.load == burst_load;
    for (std::uint32_t seed_offset = 0; seed_offset < options.seeds; ++seed_offset)
    {
        auto scenario_options = scenario.options;
        scenario_options.seed = options.first_seed + seed_offset;
        scenario_options.jobs = options.jobs;
        auto const input = generate(scenario_options);
        auto const last = burst ? ideal : options.with_baselines ? system_count : round_robin;
        for (int system = 0; system < last; ++system)
        {
            scenario.systems[system].add(input, replay(input, static_cast<compared_system>(system),
                                                       scenario_options.seed, burst));
        }
    }
    for (auto& metrics : scenario.systems)
    {
        metrics.throughput /= options.seeds;
    }
}

std::vector<scenario> make_scenarios(std::string_view name_filter)
{
    std::vector<scenario> scenarios;
    auto const add = [&](std::string const& name, trace_options const& options)
    {
        if (name.find(name_filter) != std::string::npos)
        {
            scenarios.push_back({name, options, {}});
        }
    };
    for (auto const site : {deployment::sabzpari, deployment::altan_tsetseg})
    {
        std::string const site_name = site == deployment::sabzpari ? "sabzpari" : "altan_tsetseg";
        for (double const range : {1.0, 4.0})
        {
            auto const speeds = range == 1 ? ".equal" : ".fourfold";
            for (double const load : loads)
            {
                add(site_name + speeds + ".load_" + std::to_string(std::lround(load * 100)),
                    {.site = site, .speed_range = range, .load = load});
            }
            add(site_name + speeds + ".load_1000",
                {.site = site, .speed_range = range, .load = burst_load});
        }
    }
    return scenarios;
}

void print(std::ostream& out, std::string const& name, double value, std::string_view unit)
{
    out << name << ' ' << value << ' ' << unit << '\n';
}

/// Prints the mean and the 99th percentile of the ratios of each job's response times.
void print_job_ratios(std::ostream& out, std::string const& name, response_sample const& sample,
                      response_sample const& reference)
{
    std::vector<double> ratios;
    double sum = 0;
    for (std::size_t job = 0; job < sample.values().size(); ++job)
    {
        ratios.push_back(static_cast<double>(sample.values()[job]) /
                         static_cast<double>(reference.values()[job]));
        sum += ratios.back();
    }
    std::sort(ratios.begin(), ratios.end());
    auto const count = static_cast<double>(ratios.size());
    print(out, "job_response_ratio_mean." + name, sum / count, "ratio");
    print(out, "job_response_ratio_p99." + name,
          ratios[static_cast<std::size_t>(0.99 * (count - 1))], "ratio");
}

void print_ratios(std::ostream& out, scenario const& scenario, compared_system system)
{
    auto const& sample = scenario.systems[system].response_times;
    auto const& reference = scenario.systems[ideal].response_times;
    if (sample.values().empty())
    {
        return;
    }
    auto const name = scenario.name + "." + std::string(system_names[system]);
    print(out, "response_ratio_mean." + name, sample.mean() / reference.mean(), "ratio");
    print(out, "response_ratio_p99." + name, sample.quantile(0.99) / reference.quantile(0.99),
          "ratio");
    if (system == scheduler)
    {
        print_job_ratios(out, name, sample, reference);
        print(out, "response_mean." + name, sample.mean() / 1000, "ms");
        print(out, "response_p99." + name, sample.quantile(0.99) / 1000, "ms");
        print(out, "refused_jobs." + name, static_cast<double>(sample.refused()), "jobs");
    }
}

void print_scenario(std::ostream& out, scenario const& scenario)
{
    auto const& scheduler_metrics = scenario.systems[scheduler];
    if (scenario.options.load < burst_load)
    {
        for (auto const system : {scheduler, scheduler_with_prefetch, ideal_fastest_free,
                                  ideal_first_come, round_robin, two_choices, agent_queue})
        {
            print_ratios(out, scenario, system);
        }
    }
    print(out, "useful_throughput." + scenario.name, scheduler_metrics.throughput,
          "share_of_capacity");
    print(out, "longest_queue." + scenario.name, scheduler_metrics.longest_queue, "tasks");
    for (auto const system : {scheduler, agent_queue})
    {
        auto const& metrics = scenario.systems[system];
        if (metrics.messages > 0)
        {
            print(out,
                  "wasted_messages_share." + scenario.name + "." +
                      std::string(system_names[system]),
                  static_cast<double>(metrics.wasted) / static_cast<double>(metrics.messages),
                  "share");
        }
    }
}

/// Largest ratio of a metric of `system` to that of `reference` over the scenarios with an
/// objective.
double worst_ratio(std::vector<scenario> const& scenarios, compared_system system,
                   compared_system reference, double (*metric)(response_sample const&))
{
    double worst = 0;
    for (auto const& scenario : scenarios)
    {
        if (scenario.options.load <= max_objective_load)
        {
            worst = std::max(worst, metric(scenario.systems[system].response_times) /
                                        metric(scenario.systems[reference].response_times));
        }
    }
    return worst;
}

/// Lowest throughput of the scheduler over the scenarios of a load.
double lowest_throughput(std::vector<scenario> const& scenarios, double load)
{
    double lowest = std::numeric_limits<double>::infinity();
    for (auto const& scenario : scenarios)
    {
        lowest = scenario.options.load == load
                     ? std::min(lowest, scenario.systems[scheduler].throughput)
                     : lowest;
    }
    return lowest;
}

/// Prints the worst scenario's value of each metric that has an objective.
void print_summary(std::ostream& out, std::vector<scenario> const& scenarios)
{
    auto const mean = [](response_sample const& sample) { return sample.mean(); };
    auto const p99 = [](response_sample const& sample) { return sample.quantile(0.99); };
    for (auto const system : {scheduler, scheduler_with_prefetch})
    {
        std::string const suffix = system == scheduler ? "" : "_held_start";
        print(out, "response_ratio_mean" + suffix, worst_ratio(scenarios, system, ideal, mean),
              "ratio");
        print(out, "response_ratio_p99" + suffix, worst_ratio(scenarios, system, ideal, p99),
              "ratio");
        print(out, "response_ratio_mean_to_fastest_free" + suffix,
              worst_ratio(scenarios, system, ideal_fastest_free, mean), "ratio");
        print(out, "response_ratio_p99_to_fastest_free" + suffix,
              worst_ratio(scenarios, system, ideal_fastest_free, p99), "ratio");
    }
    double wasted = 0;
    for (auto const& scenario : scenarios)
    {
        auto const& scheduler_metrics = scenario.systems[scheduler];
        wasted = std::max(wasted, static_cast<double>(scheduler_metrics.wasted) /
                                      static_cast<double>(scheduler_metrics.messages));
    }
    print(out, "wasted_messages_share", wasted, "share");
    print(out, "useful_throughput_130", lowest_throughput(scenarios, loads.back()),
          "share_of_capacity");
    print(out, "useful_throughput_1000", lowest_throughput(scenarios, burst_load),
          "share_of_capacity");
}

} // namespace

void compare(comparison_options const& options, std::ostream& out)
{
    auto scenarios = make_scenarios(options.name_filter);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::uint32_t thread_index = 0; thread_index < options.threads; ++thread_index)
    {
        threads.emplace_back(
            [&]
            {
                for (auto index = next++; index < scenarios.size(); index = next++)
                {
                    measure_scenario(scenarios[index], options);
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    for (auto const& scenario : scenarios)
    {
        print_scenario(out, scenario);
    }
    print_summary(out, scenarios);
}

void compare_trace(trace const& input, std::ostream& out)
{
    scenario replayed{"trace", {}, {}};
    for (int system = 0; system < system_count; ++system)
    {
        replayed.systems[system].add(input,
                                     replay(input, static_cast<compared_system>(system), 1, false));
    }
    print_scenario(out, replayed);
}

} // namespace filbertroad::measure

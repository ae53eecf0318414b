#include "filbertroad/dispatch/load_simulation.hpp"

#include <cstddef>

namespace filbertroad::dispatch
{

std::vector<job_kind> wide_short_and_long_jobs()
{
    return {{.priority = 0, .tasks = 8, .work = milliseconds(60), .cpu = 5'000, .share = 0.244},
            {.priority = 2, .tasks = 4, .work = milliseconds(900), .cpu = 5'000, .share = 0.044},
            {.priority = 1, .tasks = 2, .work = milliseconds(200), .cpu = 5'000, .share = 0.712}};
}

std::vector<job_kind> lookups_fetches_and_cutouts()
{
    return {{.priority = 0, .tasks = 8, .work = milliseconds(51), .cpu = 5'100, .share = 0.2436},
            {.priority = 1, .tasks = 2, .work = milliseconds(170), .cpu = 5'100, .share = 0.712},
            {.priority = 2, .tasks = 4, .work = milliseconds(760), .cpu = 5'100, .share = 0.0444}};
}

load_scenario contention_load()
{
    load_scenario scenario;
    scenario.entries = 13;
    scenario.agents = 72;
    scenario.entries_per_agent = 8;
    scenario.speeds = {0.6, 0.8, 1.0, 1.2, 1.4, 1.6};
    scenario.target_cpu = 64'000;
    scenario.kinds = {
        {.priority = 0, .tasks = 8, .work = milliseconds(60), .cpu = 6'800, .share = 206},
        {.priority = 1, .tasks = 2, .work = milliseconds(200), .cpu = 6'800, .share = 600},
        {.priority = 2, .tasks = 4, .work = milliseconds(900), .cpu = 6'800, .share = 37.5}};
    scenario.utilization = 0.7;
    scenario.duration = milliseconds(8'000);
    scenario.bursts = {{2, milliseconds(2'000), milliseconds(4'000), 2.3},
                       {0, milliseconds(4'000), milliseconds(6'000), 1.6},
                       {1, milliseconds(4'000), milliseconds(6'000), 1.6}};
    scenario.has_uneven_widths = true;
    scenario.callers_return = true;
    return scenario;
}

load_scenario uneven_load()
{
    auto scenario = contention_load();
    scenario.entries = 9;
    scenario.agents = 54;
    scenario.kinds = {
        {.priority = 0, .tasks = 8, .work = milliseconds(51), .cpu = 5'100, .share = 181},
        {.priority = 1, .tasks = 2, .work = milliseconds(170), .cpu = 5'100, .share = 529},
        {.priority = 2, .tasks = 4, .work = milliseconds(760), .cpu = 5'100, .share = 33}};
    scenario.duration = milliseconds(6'000);
    scenario.bursts = {{2, milliseconds(2'000), milliseconds(4'000), 1.6},
                       {{}, milliseconds(2'000), milliseconds(4'000), 1.3}};
    scenario.entry_shares = {0.5, 0.5, 0.5, 1.5, 1.5, 1.5, 1, 1, 1};
    scenario.tail_share = 0.03;
    return scenario;
}

load_scenario return_to_service_load()
{
    auto scenario = contention_load();
    scenario.bursts.clear();
    scenario.returns_to_service_at = result_window;
    return scenario;
}

void kind_result::add(kind_result const& other)
{
    this->jobs += other.jobs;
    this->in_time += other.in_time;
    this->late_useful += other.late_useful;
    this->refused += other.refused;
    this->given_up += other.given_up;
    this->useless += other.useless;
    this->weight += other.weight;
    this->served_weight += other.served_weight;
    for (std::size_t size = 0; size < this->size_jobs.size(); ++size)
    {
        this->size_jobs[size] += other.size_jobs[size];
        this->size_in_time[size] += other.size_in_time[size];
    }
    this->response_ratio_sum += other.response_ratio_sum;
}

double load_result::worth() const
{
    double sum = 0;
    for (auto const& kind : this->kinds)
    {
        sum += kind.served_weight / kind.weight;
    }
    return sum / static_cast<double>(this->kinds.size());
}

double load_result::worth(std::size_t window) const
{
    double sum = 0;
    for (std::size_t kind = 0; kind < this->kinds.size(); ++kind)
    {
        sum += this->worth(window, kind);
    }
    return sum / static_cast<double>(this->kinds.size());
}

double load_result::worth(std::size_t window, std::size_t kind) const
{
    auto const& counted = this->windows[window][kind];
    return counted.served_weight / counted.weight;
}

std::size_t load_result::jobs() const
{
    std::size_t sum = 0;
    for (auto const& kind : this->kinds)
    {
        sum += kind.jobs;
    }
    return sum;
}

double load_result::late_share() const
{
    std::size_t in_time = 0;
    for (auto const& kind : this->kinds)
    {
        in_time += kind.in_time;
    }
    return 1 - static_cast<double>(in_time) / static_cast<double>(this->jobs());
}

double load_result::late_share(std::size_t kind) const
{
    auto const& counted = this->kinds[kind];
    return 1 - static_cast<double>(counted.in_time) / static_cast<double>(counted.jobs);
}

double load_result::mean_response_ratio() const
{
    double sum = 0;
    std::size_t answered = 0;
    for (auto const& kind : this->kinds)
    {
        sum += kind.response_ratio_sum;
        answered += kind.jobs - kind.refused;
    }
    return sum / static_cast<double>(answered);
}

double load_result::unserved_share() const
{
    std::size_t unserved = 0;
    for (auto const& kind : this->kinds)
    {
        unserved += kind.refused + kind.given_up;
    }
    return static_cast<double>(unserved) / static_cast<double>(this->jobs());
}

double load_result::queued_share() const
{
    return static_cast<double>(this->queued_starts) / static_cast<double>(this->tasks);
}

double load_result::returned_share() const
{
    return static_cast<double>(this->returned_starts) / static_cast<double>(this->tasks);
}

double load_result::discarded_share() const
{
    return this->discarded_work / (this->discarded_work + this->useful_work);
}

double load_result::useless_share() const
{
    std::size_t sum = 0;
    for (auto const& kind : this->kinds)
    {
        sum += kind.useless;
    }
    return static_cast<double>(sum) / static_cast<double>(this->jobs());
}

} // namespace filbertroad::dispatch

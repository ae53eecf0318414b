#include "filbertroad/dispatch/internal/agent_view.hpp"

#include <algorithm>

namespace filbertroad::dispatch::internal
{
namespace
{

/// Time without a message after which no start is sent to an agent. Agents report every 150 ms, so
/// this covers one lost report and the next one.
constexpr milliseconds status_timeout{350};

/// Consecutive failures that eject a target. Two jobs in a thousand contain a failing task, so
/// two consecutive failures are rarely a coincidence.
constexpr std::uint32_t failures_before_ejection = 2;

/// Backoff of the first ejection. It doubles with each further failure, up to `max_doublings`
/// times.
constexpr milliseconds initial_backoff{200};
constexpr std::uint32_t max_doublings = 4;

/// Upper limit on the assumed load of higher-priority classes; keeps the expected wait finite.
constexpr double max_higher_priority_load = 0.8;

/// Minimum expected wait on a target without enough free resources.
constexpr double min_wait_ms = 5;

} // namespace

void agent_view::connect(std::uint64_t incarnation, base::steady_time now)
{
    this->agent_incarnation = incarnation;
    this->connected = true;
    this->last_contact_time = now;
    this->in_flight.clear();
    this->starts_sent = 0;
    this->last_status.accepting = false;
    this->recompute_load();
}

void agent_view::load_sums::add(sent_start const& start)
{
    this->sent_cpu += start.resources.cpu;
    if (this->free.can_fit(start.resources))
    {
        this->free -= start.resources;
        this->running_work += start.work;
    }
    else
    {
        this->queued_work[start.priority] += start.work;
    }
}

void agent_view::recompute_load()
{
    this->load = {};
    this->load.free = this->last_status.free;
    this->load.running_work = this->last_status.running_work;
    for (auto const& start : this->in_flight)
    {
        this->load.add(start);
    }
}

void agent_view::update_status(target_status const& next, base::steady_time now)
{
    this->last_status = next;
    this->last_contact_time = now;
    auto const first_in_flight = this->starts_sent - this->in_flight.size();
    auto const received =
        next.starts_seen > first_in_flight ? next.starts_seen - first_in_flight : 0;
    auto const count = std::min<std::size_t>(received, this->in_flight.size());
    this->in_flight.erase(this->in_flight.begin(),
                          this->in_flight.begin() + static_cast<std::ptrdiff_t>(count));
    this->recompute_load();
}

void agent_view::add_in_flight(model::resources const& resources, double work,
                               std::uint32_t priority)
{
    this->in_flight.push_back({resources, work, priority});
    this->load.add(this->in_flight.back());
    ++this->starts_sent;
    ++this->open_run_count;
}

void agent_view::remove_last_in_flight(std::size_t count)
{
    this->in_flight.erase(this->in_flight.end() - static_cast<std::ptrdiff_t>(count),
                          this->in_flight.end());
    this->starts_sent -= count;
    this->open_run_count -= count;
    this->recompute_load();
}

void agent_view::record_failure(base::steady_time now)
{
    ++this->failures;
    if (this->failures >= failures_before_ejection)
    {
        auto const doublings = std::min(this->failures - failures_before_ejection, max_doublings);
        this->ejected_until = now + initial_backoff * (1U << doublings);
    }
}

bool agent_view::accepts_starts(base::steady_time now) const
{
    return this->connected && this->last_status.accepting &&
           now - this->last_contact_time < status_timeout;
}

milliseconds agent_view::expected_wait(model::resources const& resources,
                                       std::uint32_t priority) const
{
    auto const& free = this->load.free;
    auto const running = this->load.running_work;
    double work_ahead = 0;
    for (std::size_t priority_class = 0; priority_class < priority_classes; ++priority_class)
    {
        work_ahead +=
            priority_class <= priority ? this->last_status.queued_work[priority_class] : 0;
    }
    for (auto const& [queued_priority, work] : this->load.queued_work)
    {
        work_ahead += queued_priority <= priority ? work : 0;
    }
    if (work_ahead <= 0 && free.can_fit(resources))
    {
        return milliseconds(0);
    }
    // Resources are assumed to become free at the rate at which running work ends, evenly over the
    // cores in use.
    auto const cores =
        static_cast<double>(std::max<std::int64_t>(this->last_status.capacity.cpu, 1)) / 1000;
    auto const used_cores = static_cast<double>(this->last_status.capacity.cpu - free.cpu) / 1000;
    auto const mean_remaining = used_cores > 0 ? running / used_cores : 0;
    // If the remaining times of N runs are evenly distributed around their mean, the first run ends
    // after 2 / N of the mean. On a target whose capacity has shrunk below the resources in use,
    // the runs beyond its capacity must end before.
    auto const excess_cores = static_cast<double>(std::max<std::int64_t>(-free.cpu, 0)) / 1000;
    auto const needed_cores = static_cast<double>(resources.cpu) / 1000 + excess_cores;
    auto const first_end =
        2 * mean_remaining * needed_cores * (cores / std::max(cores, used_cores));
    // Work of higher priority that arrives during the wait starts first, as in a priority queue.
    // The wait is therefore the wait for the work present, divided by the share of the cores that
    // the higher-priority classes leave.
    double higher_priority_load = 0;
    for (std::size_t priority_class = 0;
         priority_class < std::min<std::size_t>(priority, priority_classes - 1); ++priority_class)
    {
        higher_priority_load += this->last_status.class_load[priority_class];
    }
    auto const wait = (work_ahead + first_end) / cores /
                      (1 - std::min(higher_priority_load, max_higher_priority_load));
    return milliseconds(static_cast<std::int64_t>(std::max(wait, min_wait_ms)));
}

double agent_view::spare_starts(model::resources const& resources) const
{
    auto const free = this->last_status.free.cpu - this->load.sent_cpu;
    return std::max(1.0, static_cast<double>(free) /
                             static_cast<double>(std::max<std::int64_t>(resources.cpu, 1)));
}

milliseconds agent_view::expected_run(milliseconds estimate) const
{
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(estimate.count()) / this->last_status.speed));
}

} // namespace filbertroad::dispatch::internal

#include "filbertroad/dispatch/internal/agent_view.hpp"

#include <algorithm>

namespace filbertroad::dispatch::internal
{
namespace
{

/// Silence after which nothing is sent to an agent. Agents report every 150 ms; one lost report
/// and its repeat fit.
constexpr milliseconds silence_limit{350};

/// Failures in a row that suspend a target; two jobs in a thousand hold a failing task, so that two
/// in a row by chance are rare.
constexpr std::uint32_t suspending_failures = 2;

/// First suspension; doubled with each further failure.
constexpr milliseconds first_suspension{200};
constexpr std::uint32_t max_doublings = 4;

/// Most that more urgent classes are taken to use, so that the expected wait stays finite.
constexpr double max_urgent_load = 0.8;

/// Shortest wait expected on a target without free room.
constexpr double min_wait_ms = 5;

} // namespace

void agent_view::connect(std::uint64_t incarnation, base::steady_time now)
{
    this->process = incarnation;
    this->connected = true;
    this->heard = now;
    this->unseen.clear();
    this->starts_sent = 0;
    this->last.accepting = false;
}

void agent_view::take_status(target_status const& next, base::steady_time now)
{
    this->last = next;
    this->heard = now;
    auto const first_unseen = this->starts_sent - this->unseen.size();
    auto const seen = next.starts_seen > first_unseen ? next.starts_seen - first_unseen : 0;
    auto const count = std::min<std::size_t>(seen, this->unseen.size());
    this->unseen.erase(this->unseen.begin(),
                       this->unseen.begin() + static_cast<std::ptrdiff_t>(count));
}

void agent_view::note_sent(model::room const& room, double work, std::uint32_t priority)
{
    this->unseen.push_back({room, work, priority});
    ++this->starts_sent;
}

void agent_view::forget_last_sent()
{
    this->unseen.pop_back();
    --this->starts_sent;
}

void agent_view::note_failure(base::steady_time now)
{
    ++this->failures;
    if (this->failures >= suspending_failures)
    {
        auto const doublings = std::min(this->failures - suspending_failures, max_doublings);
        this->suspended_until = now + first_suspension * (1U << doublings);
    }
}

bool agent_view::is_open(base::steady_time now) const
{
    return this->connected && this->last.accepting && now - this->heard < silence_limit;
}

milliseconds agent_view::expected_wait(model::room const& room, std::uint32_t priority) const
{
    auto free = this->last.free;
    double ahead = 0;
    for (std::size_t level = 0; level < priority_classes; ++level)
    {
        ahead += level <= priority ? this->last.queued_work[level] : 0;
    }
    double running = this->last.running_work;
    for (auto const& start : this->unseen)
    {
        if (free.holds(start.room))
        {
            free -= start.room;
            running += start.work;
        }
        else
        {
            ahead += start.priority <= priority ? start.work : 0;
        }
    }
    if (ahead <= 0 && free.holds(room))
    {
        return milliseconds(0);
    }
    // Room is freed at the rate at which running work ends, evenly over the cores in use.
    auto const cores =
        static_cast<double>(std::max<std::int64_t>(this->last.capacity.cpu, 1)) / 1000;
    auto const used = static_cast<double>(this->last.capacity.cpu - free.cpu) / 1000;
    auto const mean_left = used > 0 ? running / used : 0;
    // The first of N runs, whose remaining times are spread evenly around their mean, ends after
    // 2 / N of it.
    auto const first_end = 2 * mean_left * static_cast<double>(room.cpu) / 1000;
    // More urgent work that arrives meanwhile goes before, as in a queue with priorities: the wait
    // is that for the work present over the share of the cores that it leaves.
    double urgent_load = 0;
    for (std::size_t level = 0; level < std::min<std::size_t>(priority, priority_classes - 1);
         ++level)
    {
        urgent_load += this->last.class_load[level];
    }
    auto const wait = (ahead + first_end) / cores / (1 - std::min(urgent_load, max_urgent_load));
    return milliseconds(static_cast<std::int64_t>(std::max(wait, min_wait_ms)));
}

milliseconds agent_view::expected_run(milliseconds estimate) const
{
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(estimate.count()) / this->last.speed));
}

} // namespace filbertroad::dispatch::internal

#include "filbertroad/scheduling/internal/job_store.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::scheduling::internal
{
namespace
{

/// Jobs that an estimate of the wait counts one by one.
constexpr std::uint32_t max_jobs_counted = 64;

} // namespace

job_store::~job_store()
{
    this->arrivals.clear();
    this->deadlines.clear();
    for (auto& [key, lane] : this->lanes)
    {
        lane->jobs.clear();
    }
}

lane& job_store::lane_of(team_record& team, std::uint32_t placement)
{
    auto& found = this->lanes[{&team, placement}];
    if (!found)
    {
        found = std::make_unique<lane>();
        found->team = &team;
        found->placement = placement;
    }
    return *found;
}

job_record& job_store::record(std::uint64_t job, lane& in_lane)
{
    auto& found = this->jobs[job];
    if (!found)
    {
        found = std::make_unique<job_record>();
        found->job = job;
    }
    else
    {
        --found->in_lane->records;
    }
    found->in_lane = &in_lane;
    ++in_lane.records;
    return *found;
}

bool job_store::uses(std::uint32_t placement) const
{
    return std::any_of(this->lanes.begin(), this->lanes.end(),
                       [&](auto const& entry) {
                           return entry.second->placement == placement && entry.second->records > 0;
                       });
}

double job_store::tasks_before(lane const& lane, base::steady_time order_key)
{
    double tasks = 0;
    std::uint32_t seen = 0;
    for (auto const& job : lane.jobs)
    {
        if (job.order_key > order_key)
        {
            return tasks;
        }
        tasks += static_cast<double>(job.tasks.size());
        if (++seen == max_jobs_counted)
        {
            // The rest of the lane is taken to be as dense as the part that was counted.
            using seconds = std::chrono::duration<double>;
            auto const first = lane.jobs.begin()->order_key;
            auto const counted = std::max<seconds>(job.order_key - first, ageing_per_task);
            return std::min<double>(lane.queued, tasks * (seconds(order_key - first) / counted));
        }
    }
    return tasks;
}

job_record* job_store::find(std::uint64_t job)
{
    auto const found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

void job_store::enqueue(job_record& job, std::span<std::uint32_t const> tasks)
{
    job.tasks.assign(tasks.rbegin(), tasks.rend());
    this->link(job);
    auto const count = static_cast<std::uint32_t>(tasks.size());
    this->queued += count;
    job.in_lane->queued += count;
    job.in_lane->team->queued += count;
}

void job_store::put_back(job_record& job, std::uint32_t index)
{
    bool const was_empty = job.tasks.empty();
    if (!was_empty)
    {
        this->unlink(job);
    }
    job.tasks.push_back(index);
    this->link(job);
    ++this->queued;
    ++job.in_lane->queued;
    ++job.in_lane->team->queued;
}

std::uint32_t job_store::take(job_record& job)
{
    auto const index = job.tasks.back();
    if (job.tasks.size() == 1)
    {
        this->unlink(job);
        job.tasks = {};
    }
    else
    {
        // A smaller key of the first job leaves the order of the set as it is.
        auto& jobs = job.in_lane->jobs;
        bool const is_first = &*jobs.begin() == &job;
        if (!is_first)
        {
            jobs.erase(jobs.iterator_to(job));
        }
        job.tasks.pop_back();
        job.order_key -= ageing_per_task;
        if (!is_first)
        {
            jobs.insert(job);
        }
    }
    --this->queued;
    --job.in_lane->queued;
    --job.in_lane->team->queued;
    return index;
}

std::vector<std::uint32_t> job_store::take_all(job_record& job)
{
    if (job.tasks.empty())
    {
        return {};
    }
    this->unlink(job);
    auto tasks = std::exchange(job.tasks, {});
    std::reverse(tasks.begin(), tasks.end());
    auto const count = static_cast<std::uint32_t>(tasks.size());
    this->queued -= count;
    job.in_lane->queued -= count;
    job.in_lane->team->queued -= count;
    return tasks;
}

void job_store::forget_if_done(job_record& job)
{
    if (job.tasks.empty() && job.running == 0)
    {
        --job.in_lane->records;
        this->jobs.erase(job.job);
    }
}

job_record const* job_store::oldest() const
{
    return this->arrivals.empty() ? nullptr : &*this->arrivals.begin();
}

job_record* job_store::overdue(base::steady_time now)
{
    return this->deadlines.empty() || this->deadlines.begin()->start_before >= now
               ? nullptr
               : &*this->deadlines.begin();
}

void job_store::link(job_record& job)
{
    job.order_key = job.arrival + ageing_per_task * job.tasks.size();
    auto& lane = *job.in_lane;
    if (lane.jobs.empty())
    {
        lane.active_position = static_cast<std::uint32_t>(this->active.size());
        this->active.push_back(&lane);
    }
    lane.jobs.insert(job);
    this->arrivals.insert(job);
    if (job.start_before != base::steady_time::max())
    {
        this->deadlines.insert(job);
    }
    this->bytes += job.bytes;
    lane.team->queued_bytes += job.bytes;
}

void job_store::unlink(job_record& job)
{
    auto& lane = *job.in_lane;
    lane.jobs.erase(lane.jobs.iterator_to(job));
    this->arrivals.erase(this->arrivals.iterator_to(job));
    if (job.start_before != base::steady_time::max())
    {
        this->deadlines.erase(this->deadlines.iterator_to(job));
    }
    this->bytes -= job.bytes;
    lane.team->queued_bytes -= job.bytes;
    if (lane.jobs.empty())
    {
        this->active.back()->active_position = lane.active_position;
        std::swap(this->active[lane.active_position], this->active.back());
        this->active.pop_back();
        lane.active_position = no_index;
    }
}

} // namespace filbertroad::scheduling::internal

#include "filbertroad/scheduling/internal/job_store.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::scheduling::internal
{
namespace
{

/// Jobs of a queue that estimate_tasks_before counts one by one; it extrapolates the rest.
constexpr std::uint32_t max_jobs_counted = 64;

} // namespace

job_store::~job_store()
{
    this->arrivals.clear();
    this->deadlines.clear();
    for (auto& [key, queue] : this->queues)
    {
        queue->jobs.clear();
    }
}

job_queue& job_store::queue_of(team_record& team, std::uint32_t placement)
{
    auto& found = this->queues[{&team, placement}];
    if (!found)
    {
        found = std::make_unique<job_queue>();
        found->team = &team;
        found->placement = placement;
    }
    return *found;
}

job_record& job_store::find_or_create(std::uint64_t job, job_queue& queue)
{
    auto& found = this->jobs[job];
    if (!found)
    {
        found = std::make_unique<job_record>();
        found->job = job;
    }
    else
    {
        --found->queue->unfinished_jobs;
    }
    found->queue = &queue;
    ++queue.unfinished_jobs;
    return *found;
}

bool job_store::is_placement_used(std::uint32_t placement) const
{
    return std::any_of(this->queues.begin(), this->queues.end(),
                       [&](auto const& entry) {
                           return entry.second->placement == placement &&
                                  entry.second->unfinished_jobs > 0;
                       });
}

double job_store::estimate_tasks_before(job_queue const& queue, base::steady_time order_key)
{
    double tasks = 0;
    std::uint32_t counted_jobs = 0;
    for (auto const& job : queue.jobs)
    {
        if (job.order_key > order_key)
        {
            return tasks;
        }
        tasks += static_cast<double>(job.tasks.size());
        if (++counted_jobs == max_jobs_counted)
        {
            // Assumes that the rest of the queue has as many tasks per unit of the order key as the
            // counted part.
            using seconds = std::chrono::duration<double>;
            auto const first = queue.jobs.begin()->order_key;
            auto const counted = std::max<seconds>(job.order_key - first, order_penalty_per_task);
            return std::min<double>(queue.queued, tasks * (seconds(order_key - first) / counted));
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
    job.queue->queued += count;
    job.queue->team->queued += count;
}

void job_store::requeue(job_record& job, std::uint32_t index)
{
    bool const was_empty = job.tasks.empty();
    if (!was_empty)
    {
        this->unlink(job);
    }
    job.tasks.push_back(index);
    this->link(job);
    ++this->queued;
    ++job.queue->queued;
    ++job.queue->team->queued;
}

std::uint32_t job_store::dequeue(job_record& job)
{
    auto const index = job.tasks.back();
    if (job.tasks.size() == 1)
    {
        this->unlink(job);
        job.tasks = {};
    }
    else
    {
        // The first job stays first with a smaller key, so that it can be updated in place.
        auto& jobs = job.queue->jobs;
        bool const is_first = &*jobs.begin() == &job;
        if (!is_first)
        {
            jobs.erase(jobs.iterator_to(job));
        }
        job.tasks.pop_back();
        job.order_key -= order_penalty_per_task;
        if (!is_first)
        {
            jobs.insert(job);
        }
    }
    --this->queued;
    --job.queue->queued;
    --job.queue->team->queued;
    return index;
}

std::vector<std::uint32_t> job_store::dequeue_all(job_record& job)
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
    job.queue->queued -= count;
    job.queue->team->queued -= count;
    return tasks;
}

void job_store::erase_if_finished(job_record& job)
{
    if (job.tasks.empty() && job.running == 0)
    {
        --job.queue->unfinished_jobs;
        this->jobs.erase(job.job);
    }
}

job_record const* job_store::oldest() const
{
    return this->arrivals.empty() ? nullptr : &*this->arrivals.begin();
}

job_record* job_store::first_past_deadline(base::steady_time now)
{
    return this->deadlines.empty() || this->deadlines.begin()->start_before >= now
               ? nullptr
               : &*this->deadlines.begin();
}

void job_store::link(job_record& job)
{
    job.order_key = job.arrival + order_penalty_per_task * job.tasks.size();
    auto& queue = *job.queue;
    if (queue.jobs.empty())
    {
        queue.active_index = static_cast<std::uint32_t>(this->active.size());
        this->active.push_back(&queue);
    }
    queue.jobs.insert(job);
    this->arrivals.insert(job);
    if (job.start_before != base::steady_time::max())
    {
        this->deadlines.insert(job);
    }
    this->bytes += job.bytes;
    queue.team->queued_bytes += job.bytes;
}

void job_store::unlink(job_record& job)
{
    auto& queue = *job.queue;
    queue.jobs.erase(queue.jobs.iterator_to(job));
    this->arrivals.erase(this->arrivals.iterator_to(job));
    if (job.start_before != base::steady_time::max())
    {
        this->deadlines.erase(this->deadlines.iterator_to(job));
    }
    this->bytes -= job.bytes;
    queue.team->queued_bytes -= job.bytes;
    if (queue.jobs.empty())
    {
        this->active.back()->active_index = queue.active_index;
        std::swap(this->active[queue.active_index], this->active.back());
        this->active.pop_back();
        queue.active_index = no_index;
    }
}

} // namespace filbertroad::scheduling::internal

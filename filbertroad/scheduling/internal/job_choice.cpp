#include "filbertroad/scheduling/internal/job_choice.hpp"

#include <algorithm>

namespace filbertroad::scheduling::internal
{
namespace
{

/// Jobs of a queue that are evaluated. Jobs behind these wait so long that any slot is a gain.
constexpr std::uint32_t max_jobs_considered = 32;

/// Upper bound of 1 / (1 - utilisation). Waiting work delays the queued jobs and also the jobs that
/// arrive before the queue is empty; the number of the latter grows with 1 / (1 - utilisation). A
/// larger factor would use slow slots even where a faster slot becomes free within milliseconds.
constexpr double max_arrivals_factor = 7;

} // namespace

job_record* select_job_for_slow_slot(job_queue& queue, slow_slot const& slot,
                                     run_time_distribution const& profile)
{
    auto const tasks_per_second = slot.faster.rate / profile.mean();
    auto const arrivals_factor = 1 / std::max(1 / max_arrivals_factor, 1 - slot.utilisation);
    auto const gain_per_job = arrivals_factor * slot.queues / tasks_per_second;
    auto jobs_behind = static_cast<double>(queue.jobs.size());
    double tasks_ahead = 0;
    job_record* best = nullptr;
    double best_gain = 0;
    std::uint32_t considered = 0;
    for (auto& job : queue.jobs)
    {
        auto const tasks = static_cast<std::uint32_t>(job.tasks.size());
        tasks_ahead += tasks;
        // Without this slot the job ends after the tasks ahead and the longest of its own tasks.
        auto const ends_after = tasks_ahead * slot.queues / tasks_per_second +
                                slot.faster.slowness * profile.expected_longest(tasks);
        auto const loss = slot.slowness * profile.expected_excess(ends_after / slot.slowness);
        auto const gain = jobs_behind * gain_per_job - loss;
        if (gain > best_gain)
        {
            best = &job;
            best_gain = gain;
        }
        jobs_behind -= 1;
        if (++considered == max_jobs_considered || jobs_behind * gain_per_job <= best_gain)
        {
            break;
        }
    }
    return best;
}

} // namespace filbertroad::scheduling::internal

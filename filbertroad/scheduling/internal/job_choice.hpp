#ifndef FILBERTROAD_SCHEDULING_INTERNAL_JOB_CHOICE_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_JOB_CHOICE_HPP

/// Selects the job of a queue, if any, that uses a free slot of a slow target while all faster
/// targets are busy. Waiting for a faster target delays the jobs behind. Using the slow target may
/// make the task the last of its job to end. Both costs are estimated in seconds of response time.
///
///     auto* job = select_job_for_slow_slot(
///         queue, {.slowness = 2, .faster = faster, .queues = 1}, run_times);
///
/// Pure function.

#include "filbertroad/scheduling/internal/job_store.hpp"
#include "filbertroad/scheduling/internal/run_time_distribution.hpp"

#include <cstdint>

namespace filbertroad::scheduling::internal
{

/// Summary of the busy targets that are faster than a given one.
struct faster_targets
{
    /// Tasks that these targets complete together per mean run time.
    double rate = 0;
    /// Mean slowness of these targets, weighted by running tasks.
    double slowness = 1;
};

struct slow_slot
{
    double slowness = 1;
    faster_targets faster;
    /// Number of job queues that are not empty; each gets about the same share of the slots.
    std::uint32_t queues = 1;
    /// Share of the capacity in use, averaged over about 30 s.
    double utilisation = 0;
};

/// Returns the job that gains most, or null if every job is better off waiting for a faster target.
[[nodiscard]] job_record* select_job_for_slow_slot(job_queue& queue, slow_slot const& slot,
                                                   run_time_distribution const& profile);

} // namespace filbertroad::scheduling::internal

#endif

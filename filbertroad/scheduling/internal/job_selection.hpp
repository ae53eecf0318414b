#ifndef FILBERTROAD_SCHEDULING_INTERNAL_JOB_SELECTION_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_JOB_SELECTION_HPP

/// Decides which job of a lane, if any, uses a free slot of a slow target while all faster targets
/// are busy. Waiting for a faster target delays the jobs behind; using the slow one may make the
/// task the last of its job. Both are estimated in seconds of response time.
///
///     auto* job = choose_for_slow_slot(lane, {.slowness = 2, .faster = faster, .lanes = 1},
///     profile);
///
/// Pure function.

#include "filbertroad/scheduling/internal/job_store.hpp"
#include "filbertroad/scheduling/internal/run_time_distribution.hpp"

#include <cstdint>

namespace filbertroad::scheduling::internal
{

/// Targets that are busy and faster than a given one.
struct faster_targets
{
    /// Tasks per mean run time that they complete.
    double rate = 0;
    /// Their mean slowness, weighted by slots.
    double slowness = 1;
};

struct slow_slot
{
    double slowness = 1;
    faster_targets faster;
    /// Lanes with queued jobs; each gets about the same share of the slots.
    std::uint32_t queues = 1;
    /// Share of the capacity in use, over the last half minute.
    double utilisation = 0;
};

/// The job that gains most, or null when each would better wait.
[[nodiscard]] job_record* select_job_for_slow_slot(job_queue& queue, slow_slot const& slot,
                                                   run_time_distribution const& profile);

} // namespace filbertroad::scheduling::internal

#endif

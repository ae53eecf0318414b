#ifndef FILBERTROAD_SCHEDULING_INTERNAL_ADMISSION_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_ADMISSION_HPP

/// Admission control. The queue of the shard and the queue of each team are bounded, so that memory
/// stays bounded at any load. A job that would miss its deadline is refused on arrival, while its
/// caller can still act otherwise.
///
///     auto refusal = check_admission(request, limits);
///
/// Pure functions.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "filbertroad/scheduling/scheduler.hpp"

namespace filbertroad::scheduling::internal
{

struct admission_limits
{
    std::uint32_t max_queued_tasks = 0;
    std::size_t max_queued_bytes = 0;
};

/// Queue capacity that is reserved, in tasks and bytes.
struct queue_reservation
{
    std::uint64_t tasks = 0;
    std::uint64_t bytes = 0;
};

/// The reservation of a team: half of the queue is divided between the teams by weight. Without
/// reservations, teams that have reached their running quota would fill the queue, and slots that
/// other teams may use would stay idle.
[[nodiscard]] queue_reservation reservation_for(std::uint32_t weight, std::uint64_t all_weights,
                                                admission_limits const& limits);

/// A job on arrival and the state of the queue at that time.
struct admission_request
{
    std::uint32_t tasks = 0;
    std::size_t bytes = 0;
    /// Zero means no deadline.
    std::chrono::milliseconds deadline{0};
    std::uint32_t queued_tasks = 0;
    std::size_t queued_bytes = 0;
    /// Queue capacity reserved for this team, and the unused part of what is reserved for the
    /// others.
    queue_reservation team_reservation;
    queue_reservation others_unused_reservation;
    std::string team;
    std::uint32_t team_queued = 0;
    std::size_t team_queued_bytes = 0;
    std::uint32_t team_max_queued = 0;
    /// Estimated number of tasks that start up to the last one of this job, itself included.
    double tasks_ahead = 0;
    /// Expected start rate of the job's queue; zero when no target is available.
    double tasks_per_second = 0;
    /// In [0, 1).
    double jitter = 0;
};

/// Returns the error for a job whose team has no quota. `jitter` is in [0, 1).
[[nodiscard]] admission_error refuse_unknown_team(std::string const& team, double jitter);

/// Returns the reason to refuse the job, or nullopt to admit it.
[[nodiscard]] std::optional<admission_error> check_admission(admission_request const& request,
                                                             admission_limits const& limits);

} // namespace filbertroad::scheduling::internal

#endif

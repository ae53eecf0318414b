#ifndef FILBERTROAD_SCHEDULING_INTERNAL_ADMISSION_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_ADMISSION_HPP

/// Decides whether a job may join the queue. The queue is bounded for the owner and for each team,
/// so that memory stays bounded at any load, and a job that would miss its deadline is refused
/// while its caller can still do something else.
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

/// Part of the queue in tasks and bytes.
struct queue_reservation
{
    std::uint64_t tasks = 0;
    std::uint64_t bytes = 0;
};

/// Half of the queue is divided between the teams by weight. Without that, teams that are held back
/// by their quotas fill the queue, and slots stay idle that other teams may use.
[[nodiscard]] queue_reservation reservation_for(std::uint32_t weight, std::uint64_t all_weights,
                                                admission_limits const& limits);

/// What is known about a job and the queue when it arrives.
struct admission_request
{
    std::uint32_t tasks = 0;
    std::size_t bytes = 0;
    /// Zero means none.
    std::chrono::milliseconds deadline{0};
    std::uint32_t queued_tasks = 0;
    std::size_t queued_bytes = 0;
    /// Parts of the queue kept for this team and, as far as unused, for the others.
    queue_reservation team_reservation;
    queue_reservation others_unused_reservation;
    std::string team;
    std::uint32_t team_queued = 0;
    std::size_t team_queued_bytes = 0;
    std::uint32_t team_max_queued = 0;
    /// Tasks that start before the last one of this job.
    double tasks_ahead = 0;
    /// Zero when no target is open.
    double tasks_per_second = 0;
    /// In [0, 1).
    double jitter = 0;
};

/// The refusal of a job whose team has no quota. `jitter` is in [0, 1).
[[nodiscard]] admission_error refuse_unknown_team(std::string const& team, double jitter);

/// The reason to refuse the job, or nothing.
[[nodiscard]] std::optional<admission_error> check_admission(admission_request const& request,
                                                             admission_limits const& limits);

} // namespace filbertroad::scheduling::internal

#endif

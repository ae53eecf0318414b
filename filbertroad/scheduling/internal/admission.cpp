#include "filbertroad/scheduling/internal/admission.hpp"

#include <algorithm>

namespace filbertroad::scheduling::internal
{
namespace
{

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

constexpr fractional_milliseconds min_retry_after{100};
constexpr fractional_milliseconds max_retry_after{30'000};

/// Expected time to start `tasks`, plus up to half of it as jitter. The jitter spreads the retries
/// of callers that were refused at the same time.
std::chrono::milliseconds retry_after(admission_request const& request, double tasks)
{
    auto const wait =
        request.tasks_per_second > 0
            ? std::clamp(fractional_milliseconds(tasks / request.tasks_per_second * 1000),
                         min_retry_after, max_retry_after)
            : fractional_milliseconds(1000);
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait * (1 + request.jitter / 2));
}

/// Whether `size` more tasks or bytes fit into the queue. They must fit within the limit, and
/// either within the team's reservation or without using the unused reservations of other teams.
bool fits(std::uint64_t size, std::uint64_t queued, std::uint64_t limit, std::uint64_t team_queued,
          std::uint64_t team_reservation, std::uint64_t others_unused_reservation)
{
    return queued + size <= limit && (team_queued + size <= team_reservation ||
                                      queued + size + others_unused_reservation <= limit);
}

} // namespace

queue_reservation reservation_for(std::uint32_t weight, std::uint64_t all_weights,
                                  admission_limits const& limits)
{
    return {std::uint64_t{limits.max_queued_tasks} / 2 * weight / all_weights,
            limits.max_queued_bytes / 2 * weight / all_weights};
}

admission_error refuse_unknown_team(std::string const& team, double jitter)
{
    return {
        admission_code::team_over_quota, "team " + team + " has no quota",
        retry_after(
            {.team_reservation = {}, .others_unused_reservation = {}, .team = {}, .jitter = jitter},
            0)};
}

std::optional<admission_error> check_admission(admission_request const& request,
                                               admission_limits const& limits)
{
    auto const tasks = static_cast<double>(request.tasks);
    bool const queue_full =
        !fits(request.tasks, request.queued_tasks, limits.max_queued_tasks, request.team_queued,
              request.team_reservation.tasks, request.others_unused_reservation.tasks) ||
        !fits(request.bytes, request.queued_bytes, limits.max_queued_bytes,
              request.team_queued_bytes, request.team_reservation.bytes,
              request.others_unused_reservation.bytes);
    if (queue_full)
    {
        return admission_error{admission_code::overloaded,
                               "queue holds " + std::to_string(request.queued_tasks) + " of " +
                                   std::to_string(limits.max_queued_tasks) + " tasks and " +
                                   std::to_string(request.queued_bytes) + " of " +
                                   std::to_string(limits.max_queued_bytes) + " bytes",
                               retry_after(request, tasks)};
    }
    if (request.tasks >
        request.team_max_queued - std::min(request.team_max_queued, request.team_queued))
    {
        return admission_error{admission_code::team_over_quota,
                               "team " + request.team + " has " +
                                   std::to_string(request.team_queued) + " of " +
                                   std::to_string(request.team_max_queued) + " tasks queued",
                               retry_after(request, tasks)};
    }
    if (request.deadline.count() > 0 && request.tasks_per_second > 0)
    {
        fractional_milliseconds const wait(request.tasks_ahead / request.tasks_per_second * 1000);
        if (wait > request.deadline)
        {
            return admission_error{
                admission_code::deadline_unreachable,
                "estimated wait " + std::to_string(static_cast<long>(wait.count())) +
                    " ms, deadline " + std::to_string(request.deadline.count()) + " ms",
                retry_after(request, request.tasks_ahead)};
        }
    }
    return std::nullopt;
}

} // namespace filbertroad::scheduling::internal

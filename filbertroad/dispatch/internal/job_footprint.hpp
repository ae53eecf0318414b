#ifndef FILBERTROAD_DISPATCH_INTERNAL_JOB_FOOTPRINT_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_JOB_FOOTPRINT_HPP

/// Estimate of the memory that a job takes at an entry.
///
///     held += internal::job_footprint(request);

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include <cstddef>

namespace filbertroad::dispatch::internal
{

/// Bytes of a task with its names, its place in the index and its order, without the payload.
inline constexpr std::size_t task_bytes = 640;

/// Bytes of a job without its tasks, with its connection and the handler of its answer.
inline constexpr std::size_t job_bytes = 2'048;

/// Bytes of the progress of a step.
inline constexpr std::size_t step_bytes = 96;

[[nodiscard]] inline std::size_t task_count(job_request const& request)
{
    std::size_t tasks = 0;
    for (auto const& step : request.steps)
    {
        tasks += step.count;
    }
    return tasks;
}

/// Bytes that the job holds when all of its tasks are sent: the orders share the payload, and each
/// holds the labels.
[[nodiscard]] inline std::size_t job_footprint(job_request const& request)
{
    auto bytes = job_bytes + request.payload.size() + task_count(request) * task_bytes;
    for (auto const& step : request.steps)
    {
        if (step.constraints)
        {
            for (auto const& label : step.constraints->required_labels)
            {
                bytes += step.count * (sizeof(std::string) + label.size());
            }
        }
        // Predecessors are held in both directions.
        bytes += sizeof(step) + step_bytes + 2 * step.after.size() * sizeof(step.after.front());
    }
    return bytes;
}

} // namespace filbertroad::dispatch::internal

#endif

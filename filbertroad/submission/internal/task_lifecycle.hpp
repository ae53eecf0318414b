#ifndef FILBERTROAD_SUBMISSION_INTERNAL_TASK_LIFECYCLE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_TASK_LIFECYCLE_HPP

/// The lifecycle of a task at its owner. The source file has the transitions as a Boost.MSM table.
///
///     auto const next = internal::next_state(task.state, internal::task_event::dispatched);
///     if (!next) return; // the event does not apply in this state

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace filbertroad::submission::internal
{

enum class task_state : std::uint8_t
{
    queued,
    sent,
    running,
    succeeded,
    failed,
    cancelled,
    rejected,
    /// The task may have run and is never sent again.
    lost,
    /// The job is known only from ledgers, and no start of this task is known.
    interrupted,
};

inline constexpr std::size_t task_state_count = 9;

enum class task_event : std::uint8_t
{
    dispatched,
    /// The agent reports that the start did not reach the target.
    refused,
    /// The agent's ledger, as sent on a new link or for a fence, does not hold the start.
    not_received,
    /// The agent's ledger holds the start.
    observed_running,
    succeeded,
    failed,
    cancelled,
    rejected,
    lost,
    /// The caller resubmitted an interrupted job.
    resumed,
    /// No start of the task is known, and the job is known only from ledgers or its starts are in
    /// doubt.
    interrupted,
};

inline constexpr std::size_t task_event_count = 11;

/// Returns the state after `event`, or nothing if the event does not apply in `state`. Thread-safe.
[[nodiscard]] std::optional<task_state> next_state(task_state state, task_event event);

/// Whether the state is final. Only `lost` can still change, by a late result.
[[nodiscard]] bool is_ended(task_state state);

/// Whether the task is at an agent, so that a target may hold the task.
[[nodiscard]] bool is_at_agent(task_state state);

} // namespace filbertroad::submission::internal

#endif

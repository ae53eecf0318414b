#ifndef FILBERTROAD_SUBMISSION_INTERNAL_TASK_LIFECYCLE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_TASK_LIFECYCLE_HPP

/// The lifecycle of a task at its owner. The transitions are a Boost.MSM table in the source file.
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
    /// The task may have run; it is never sent again.
    lost,
    /// Part of a job that is known from ledgers only; no start of this task is known.
    interrupted,
};

inline constexpr std::size_t task_state_count = 9;

enum class task_event : std::uint8_t
{
    dispatched,
    /// The agent says that the start did not reach the target.
    refused,
    /// The ledger of a new link does not hold the start.
    not_received,
    /// The ledger of the agent holds the start.
    observed_running,
    succeeded,
    failed,
    cancelled,
    rejected,
    lost,
    /// The caller submitted an interrupted job again.
    resumed,
    /// The job became known from a ledger that does not hold this task.
    interrupted,
};

inline constexpr std::size_t task_event_count = 11;

/// The state after `event`, or nothing if the event does not apply. Thread safe.
[[nodiscard]] std::optional<task_state> next_state(task_state state, task_event event);

/// Whether the task will not change its state any more, except from `lost` by a late answer.
[[nodiscard]] bool is_ended(task_state state);

/// Whether a target may hold the task.
[[nodiscard]] bool is_at_agent(task_state state);

} // namespace filbertroad::submission::internal

#endif

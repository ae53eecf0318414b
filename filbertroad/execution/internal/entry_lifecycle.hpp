#ifndef FILBERTROAD_EXECUTION_INTERNAL_ENTRY_LIFECYCLE_HPP
#define FILBERTROAD_EXECUTION_INTERNAL_ENTRY_LIFECYCLE_HPP

/// State machine of a ledger entry. The source file has the transitions as a Boost.MSM table.
///
///     auto const next = next_state(record.state, ledger_entry_event::execution_ended);
///     if (!next) return; // the event does not apply in this state

#include <cstddef>
#include <cstdint>
#include <optional>

namespace filbertroad::execution::internal
{

enum class ledger_entry_state : std::uint8_t
{
    running,
    /// The result is known, but not acknowledged.
    finished,
    acknowledged,
    /// No longer in the ledger.
    removed,
};

inline constexpr std::size_t ledger_entry_state_count = 4;

enum class ledger_entry_event : std::uint8_t
{
    execution_ended,
    /// The target did not run the task.
    refused,
    acknowledged,
    /// Another start of the same task arrived; its sender needs the result.
    duplicate_start,
    expired,
};

inline constexpr std::size_t ledger_entry_event_count = 5;

/// The state after `event`; empty if the event is not valid in `state`. Thread-safe.
[[nodiscard]] std::optional<ledger_entry_state> next_state(ledger_entry_state state,
                                                           ledger_entry_event event);

} // namespace filbertroad::execution::internal

#endif

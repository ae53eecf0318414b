#ifndef FILBERTROAD_EXECUTION_INTERNAL_LEDGER_ENTRY_LIFECYCLE_HPP
#define FILBERTROAD_EXECUTION_INTERNAL_LEDGER_ENTRY_LIFECYCLE_HPP

/// The lifecycle of a ledger entry. The transitions are a Boost.MSM table in the source file.
///
///     auto const next = internal::next_state(record.state, internal::entry_event::answered);
///     if (!next) return; // the event does not apply in this state

#include <cstddef>
#include <cstdint>
#include <optional>

namespace filbertroad::execution::internal
{

enum class ledger_entry_state : std::uint8_t
{
    running,
    /// The answer is known and not acknowledged.
    finished,
    acknowledged,
    /// No longer in the ledger.
    removed,
};

inline constexpr std::size_t ledger_entry_state_count = 4;

enum class ledger_entry_event : std::uint8_t
{
    answered,
    /// The target did not run the task.
    refused,
    acknowledged,
    /// A start of the same task came again and needs the answer.
    duplicate_start,
    expired,
};

inline constexpr std::size_t ledger_entry_event_count = 5;

/// The state after `event`, or nothing if the event does not apply. Thread safe.
[[nodiscard]] std::optional<ledger_entry_state> next_state(ledger_entry_state state,
                                                           ledger_entry_event event);

} // namespace filbertroad::execution::internal

#endif

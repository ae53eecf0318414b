#ifndef FILBERTROAD_DISPATCH_STATUS_PACING_HPP
#define FILBERTROAD_DISPATCH_STATUS_PACING_HPP

/// How soon an agent reports a change of its load to the entries to which it is linked.
///
///     timer.expires_after(status_interval(link_count));

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace filbertroad::dispatch
{

/// Shortest time between two status messages about changes of load; changes within it are sent in
/// one message. It grows with the number of linked entries, which bounds the status messages that
/// an agent sends: entries find out about a full target anyway when it returns a start.
[[nodiscard]] inline std::chrono::microseconds status_interval(std::size_t linked_entries)
{
    constexpr std::chrono::microseconds min_interval{5'000};
    constexpr std::size_t max_messages_per_second = 400;
    return std::max(min_interval, std::chrono::microseconds(linked_entries * 1'000'000 /
                                                            max_messages_per_second));
}

} // namespace filbertroad::dispatch

#endif

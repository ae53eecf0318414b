#ifndef FILBERTROAD_STANDIN_TASK_PAYLOAD_HPP
#define FILBERTROAD_STANDIN_TASK_PAYLOAD_HPP

/// What a stand-in target reads from the payload of a task.
///
///     auto wish = standin::parse_payload("order 17 run_ms=120");
///     wish.run_time == std::chrono::milliseconds(120);

#include <chrono>
#include <optional>
#include <string_view>

namespace filbertroad::standin
{

/// Longest run time that a payload may ask for; longer ones are cut.
inline constexpr std::chrono::milliseconds max_run_time{600'000};

struct payload_directives
{
    /// Absent if the payload has no `run_ms=` with a number.
    std::optional<std::chrono::milliseconds> run_time;
    /// The payload contains the word `fail`.
    bool fails = false;
};

/// Reads the first `run_ms=DIGITS` anywhere in the payload.
[[nodiscard]] payload_directives parse_payload(std::string_view payload);

} // namespace filbertroad::standin

#endif

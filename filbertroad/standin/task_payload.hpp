#ifndef FILBERTROAD_STANDIN_TASK_PAYLOAD_HPP
#define FILBERTROAD_STANDIN_TASK_PAYLOAD_HPP

/// Directives to a stand-in target in the payload of a task.
///
///     auto directives = standin::parse_payload("order 17 run_ms=120");
///     directives.run_time == std::chrono::milliseconds(120);

#include <chrono>
#include <optional>
#include <string_view>

namespace filbertroad::standin
{

/// Maximum run time of a task; longer requests are clamped.
inline constexpr std::chrono::milliseconds max_run_time{600'000};

struct payload_directives
{
    /// Absent if the payload has no `run_ms=` with a number.
    std::optional<std::chrono::milliseconds> run_time;
    /// The payload contains `fail`, which makes the task fail.
    bool fails = false;
};

/// Parses the first `run_ms=`, which may stand anywhere in the payload. Never fails: invalid
/// directives are ignored.
[[nodiscard]] payload_directives parse_payload(std::string_view payload);

} // namespace filbertroad::standin

#endif

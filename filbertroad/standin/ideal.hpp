#ifndef FILBERTROAD_STANDIN_IDEAL_HPP
#define FILBERTROAD_STANDIN_IDEAL_HPP

/// Simulates the ideal scheduler, the baseline for measured response times. The ideal is one global
/// FIFO queue over all targets that knows the speed of each target. Each job pays the network
/// latency once in each direction. Tasks start in the order of their jobs, each on the fastest
/// target with a free slot.
///
///     std::vector<standin::ideal_target> targets(11, {.slots = 8});
///     auto response_times = standin::ideal_response_times(targets, network, jobs);

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace filbertroad::standin
{

using milliseconds_f = std::chrono::duration<double, std::milli>;

struct ideal_target
{
    std::uint32_t slots = 8;
    /// Multiplier for run times.
    double slowness = 1;
};

struct ideal_job
{
    /// Submission time, relative to the start of the trace.
    milliseconds_f submitted{};
    /// Run time of each task on a target with slowness 1.
    std::vector<milliseconds_f> run_times;
};

/// Parses the number of targets and of slots per target, such as `11x8`, and the comma-separated
/// slownesses of the first targets, such as `1,1,4`. The remaining targets get slowness 1. Empty if
/// either text is malformed.
[[nodiscard]] std::optional<std::vector<ideal_target>>
parse_ideal_targets(std::string_view shape, std::string_view slownesses);

/// Response time of each job, in the order of `jobs`, which must be sorted by submission time.
/// `network` is the one-way latency. `targets` must have at least one slot in total.
[[nodiscard]] std::vector<milliseconds_f>
ideal_response_times(std::span<ideal_target const> targets, milliseconds_f network,
                     std::span<ideal_job const> jobs);

} // namespace filbertroad::standin

#endif

#ifndef FILBERTROAD_STANDIN_IDEAL_HPP
#define FILBERTROAD_STANDIN_IDEAL_HPP

/// The ideal that response times are compared with: one global queue over all targets that knows
/// every speed and pays the network once each way. Tasks start in the order of their jobs, each on
/// the fastest target with a free slot.
///
///     std::vector<standin::ideal_target> targets(11, {.slots = 8});
///     auto seconds = standin::ideal_response_times(targets, network, jobs);

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
    /// Factor on every run time.
    double slowness = 1;
};

struct ideal_job
{
    /// Time of submission since the start of the trace.
    milliseconds_f submitted{};
    /// Run time of each task on a target of slowness 1.
    std::vector<milliseconds_f> run_times;
};

/// Parses `TARGETSxSLOTS`, such as `11x8`, and the comma-separated slownesses of the first targets,
/// such as `1,1,4`; targets without one have slowness 1. Nothing if a text is malformed.
[[nodiscard]] std::optional<std::vector<ideal_target>>
parse_ideal_targets(std::string_view shape, std::string_view slownesses);

/// Response time of each job, in the order of `jobs`, which must be ordered by time of submission.
/// `network` is the time of one way. `targets` must have at least one slot.
[[nodiscard]] std::vector<milliseconds_f>
ideal_response_times(std::span<ideal_target const> targets, milliseconds_f network,
                     std::span<ideal_job const> jobs);

} // namespace filbertroad::standin

#endif

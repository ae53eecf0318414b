#ifndef FILBERTROAD_MEASURE_TRACE_HPP
#define FILBERTROAD_MEASURE_TRACE_HPP

/// A trace: the targets of a shard, the latencies of its network, and the jobs with their run
/// times. It is stored as a text file, so that it can be recorded, kept and replayed. Each line is
/// a keyword and its fields, separated by spaces. Empty lines and lines that start with `#` are
/// ignored.
///
///     latency LOCAL_US ZONE_US CALLER_US    one way: within a zone, between zones, to callers
///     target NAME ZONE SLOTS SLOWNESS       ZONE is a number; the owner of the shard is in zone 0
///     job ARRIVAL_US TEAM ROUTE RUN_US...   one RUN_US for each task, on a target of slowness 1;
///                                           TEAM and ROUTE are numbers, arrivals never decrease
///
///     auto recorded = measure::read_trace(file);
///     measure::write_trace(recorded.value(), std::cout);
///
/// Functions are thread-safe.

#include "filbertroad/base/result.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace filbertroad::measure
{

/// Time since the start of the trace in microseconds.
using time_us = std::int64_t;

struct trace_target
{
    std::string name;
    std::uint32_t zone = 0;
    std::uint32_t slots = 8;
    /// Run time on this target over the run time that the trace states.
    double slowness = 1;
};

struct trace_job
{
    time_us arrival = 0;
    std::uint32_t team = 0;
    std::uint32_t route = 0;
    std::vector<std::uint32_t> run_us;
};

struct trace
{
    time_us local_latency = 100;
    time_us zone_latency = 500;
    time_us caller_latency = 3000;
    std::vector<trace_target> targets;
    std::vector<trace_job> jobs;

    /// One-way latency between the owner and a target.
    [[nodiscard]] time_us latency_to(std::uint32_t target) const
    {
        return this->targets[target].zone == 0 ? this->local_latency : this->zone_latency;
    }
    /// Run time of a task on a target, in microseconds.
    [[nodiscard]] time_us run_time(std::uint32_t job, std::uint32_t index,
                                   std::uint32_t target) const
    {
        return static_cast<time_us>(this->jobs[job].run_us[index] * this->targets[target].slowness);
    }
    /// Total run time of all tasks on targets of slowness 1, in microseconds.
    [[nodiscard]] double total_work() const;
    /// Work in microseconds that all targets together complete per microsecond.
    [[nodiscard]] double capacity() const;
};

enum class trace_error
{
    invalid_line,
    no_targets,
};

[[nodiscard]] base::result<trace, base::error<trace_error>> read_trace(std::istream& in);
void write_trace(trace const& input, std::ostream& out);

} // namespace filbertroad::measure

#endif

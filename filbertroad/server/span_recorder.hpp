#ifndef FILBERTROAD_SERVER_SPAN_RECORDER_HPP
#define FILBERTROAD_SERVER_SPAN_RECORDER_HPP

/// Begins and ends the trace spans of a process.
///
///     auto span = recorder.begin("submit", telemetry::span_kind::server, request.traceparent());
///     job.set_traceparent(span.traceparent());
///     recorder.end(span, failed);
///
/// Thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace filbertroad::server
{

/// A span that has begun.
struct open_span
{
    telemetry::span_record record;

    /// The traceparent header for the next hop.
    [[nodiscard]] std::string traceparent() const;
};

class span_recorder
{
public:
    /// One in this many traces that begin in this process is sampled; a trace that began elsewhere
    /// keeps its own sampling flag.
    static constexpr std::uint64_t sample_one_in = 64;

    span_recorder(base::clock const& clock, telemetry::span_writer& writer, std::uint64_t seed);

    /// Begins a child span of `parent` (a traceparent header), or a new trace if `parent` is empty
    /// or invalid.
    [[nodiscard]] open_span begin(std::string_view name, telemetry::span_kind kind,
                                  std::string_view parent);
    /// Ends the span, and writes it if its trace is sampled.
    void end(open_span span, bool failed);

private:
    base::clock const& clock;
    telemetry::span_writer& writer;
    std::mutex lock;
    std::mt19937_64 random;
};

} // namespace filbertroad::server

#endif

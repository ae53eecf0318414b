#ifndef FILBERTROAD_SERVER_SPAN_RECORDER_HPP
#define FILBERTROAD_SERVER_SPAN_RECORDER_HPP

/// Opens and closes the spans of a process.
///
///     auto span = recorder.begin("submit", telemetry::span_kind::server, request.traceparent());
///     job.set_traceparent(span.traceparent());
///     recorder.end(span, failed);
///
/// Safe for several threads.

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

    /// Context for the next hop.
    [[nodiscard]] std::string traceparent() const;
};

class span_recorder
{
public:
    /// One in this many traces that begin here is sampled; traces that come from outside keep
    /// their own flag.
    static constexpr std::uint64_t sample_one_in = 64;

    span_recorder(base::clock const& clock, telemetry::span_writer& writer, std::uint64_t seed);

    /// Begins a span below `parent` (a traceparent), or of a new trace if there is none.
    [[nodiscard]] open_span begin(std::string_view name, telemetry::span_kind kind,
                                  std::string_view parent);
    void end(open_span span, bool failed);

private:
    base::clock const& clock;
    telemetry::span_writer& writer;
    std::mutex lock;
    std::mt19937_64 random;
};

} // namespace filbertroad::server

#endif

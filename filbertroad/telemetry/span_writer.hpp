#ifndef FILBERTROAD_TELEMETRY_SPAN_WRITER_HPP
#define FILBERTROAD_TELEMETRY_SPAN_WRITER_HPP

/// Writes finished spans as OTLP/JSON, one ExportTraceServiceRequest per line. Collectors read
/// these lines from a file.
///
///     auto spans = telemetry::span_writer::open("spans.json", "entry-1");
///     spans.value()->write({.context = context, .parent = parent.span_id, .name = "submit",
///                           .start = begin, .end = clock.system_now()});

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/trace_context.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::telemetry
{

/// Kind of a span, with the numeric values of OTLP.
enum class span_kind
{
    internal = 1,
    server = 2,
    client = 3,
};

struct span_attribute
{
    std::string name;
    std::string value;
};

struct span_record
{
    trace_context context;
    /// Span id of the parent; 0 for the root span of a trace.
    std::uint64_t parent = 0;
    std::string name;
    span_kind kind = span_kind::internal;
    base::system_time start{};
    base::system_time end{};
    std::vector<span_attribute> attributes = {};
    bool failed = false;
};

/// Returns the OTLP/JSON of `span` as one line without a line break.
[[nodiscard]] std::string to_otlp(span_record const& span, std::string_view process_name);

/// Thread safe.
class span_writer
{
public:
    /// Opens a writer that appends to the file at `path`; "-" denotes standard error, an empty path
    /// discards all spans. Returns cannot_open if the file is not writable.
    [[nodiscard]] static base::result<std::unique_ptr<span_writer>, base::error<telemetry_error>>
    open(std::string const& path, std::string_view process_name);

    virtual ~span_writer() = default;

    /// Writes `span` if its trace is sampled.
    virtual void write(span_record const& span) = 0;
};

} // namespace filbertroad::telemetry

#endif

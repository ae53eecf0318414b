#include "filbertroad/telemetry/span_writer.hpp"

#include "filbertroad/telemetry/internal/quote.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <mutex>

namespace filbertroad::telemetry
{
namespace
{

using internal::quote;

constexpr int otlp_status_error = 2;

std::string unix_ns(base::system_time time)
{
    auto const since_epoch =
        std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch());
    return "\"" + std::to_string(since_epoch.count()) + "\"";
}

std::string attribute_json(std::string_view name, std::string_view value)
{
    return "{\"key\":" + quote(name) + ",\"value\":{\"stringValue\":" + quote(value) + "}}";
}

class null_span_writer final : public span_writer
{
public:
    void write(span_record const& /*span*/) override {}
};

class stream_span_writer final : public span_writer
{
public:
    /// If `file` is not open, spans are written to standard error.
    stream_span_writer(std::ofstream file, std::string_view process_name)
        : file(std::move(file)), process_name(process_name)
    {
    }

    void write(span_record const& span) override
    {
        if (!span.context.sampled)
        {
            return;
        }
        auto const line = to_otlp(span, this->process_name) + "\n";
        std::lock_guard const guard(this->lock);
        auto& out = this->file.is_open() ? static_cast<std::ostream&>(this->file) : std::cerr;
        out << line << std::flush;
    }

private:
    std::mutex lock;
    std::ofstream file;
    std::string process_name;
};

} // namespace

std::string to_otlp(span_record const& span, std::string_view process_name)
{
    std::string attributes;
    for (auto const& attribute : span.attributes)
    {
        attributes += attributes.empty() ? "" : ",";
        attributes += attribute_json(attribute.name, attribute.value);
    }
    std::string out = "{\"resourceSpans\":[{\"resource\":{\"attributes\":[" +
                      attribute_json("service.name", process_name) +
                      "]},\"scopeSpans\":[{\"scope\":{\"name\":\"filbertroad\"},\"spans\":[{";
    out += "\"traceId\":" + quote(trace_id_text(span.context));
    out += ",\"spanId\":" + quote(span_id_text(span.context.span_id));
    if (span.parent != 0)
    {
        out += ",\"parentSpanId\":" + quote(span_id_text(span.parent));
    }
    out += ",\"name\":" + quote(span.name);
    out += ",\"kind\":" + std::to_string(static_cast<int>(span.kind));
    out += ",\"startTimeUnixNano\":" + unix_ns(span.start);
    out += ",\"endTimeUnixNano\":" + unix_ns(span.end);
    out += ",\"attributes\":[" + attributes + "],\"status\":{";
    out += span.failed ? "\"code\":" + std::to_string(otlp_status_error) : "";
    return out + "}}]}]}]}";
}

base::result<std::unique_ptr<span_writer>, base::error<telemetry_error>>
span_writer::open(std::string const& path, std::string_view process_name)
{
    if (path.empty())
    {
        return std::unique_ptr<span_writer>(std::make_unique<null_span_writer>());
    }
    std::ofstream file;
    if (path != "-")
    {
        file.open(path, std::ios::app);
        if (!file)
        {
            return base::error<telemetry_error>{telemetry_error::cannot_open,
                                                "span_file: cannot write to '" + path + "'"};
        }
    }
    return std::unique_ptr<span_writer>(
        std::make_unique<stream_span_writer>(std::move(file), process_name));
}

} // namespace filbertroad::telemetry

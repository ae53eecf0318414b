#include "filbertroad/server/span_recorder.hpp"

namespace filbertroad::server
{

std::string open_span::traceparent() const
{
    return telemetry::to_traceparent(this->record.context);
}

span_recorder::span_recorder(base::clock const& clock, telemetry::span_writer& writer,
                             std::uint64_t seed)
    : clock(clock), writer(writer), random(seed)
{
}

open_span span_recorder::begin(std::string_view name, telemetry::span_kind kind,
                               std::string_view parent)
{
    open_span span;
    span.record.name = name;
    span.record.kind = kind;
    span.record.start = this->clock.system_now();
    auto const parent_context = telemetry::parse_traceparent(parent);
    std::lock_guard const guard(this->lock);
    if (parent_context)
    {
        span.record.context = telemetry::child_of(*parent_context, this->random);
        span.record.parent = parent_context->span_id;
    }
    else
    {
        bool const sampled = this->random() % sample_one_in == 0;
        span.record.context = telemetry::new_trace(this->random, sampled);
    }
    return span;
}

void span_recorder::end(open_span span, bool failed)
{
    if (!span.record.context.sampled)
    {
        return;
    }
    span.record.end = this->clock.system_now();
    span.record.failed = failed;
    this->writer.write(span.record);
}

} // namespace filbertroad::server

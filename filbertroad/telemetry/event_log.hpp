#ifndef FILBERTROAD_TELEMETRY_EVENT_LOG_HPP
#define FILBERTROAD_TELEMETRY_EVENT_LOG_HPP

/// Event log of a process. Lines have the form
/// `2026-12-04T04:50:00.123Z INFO entry-1 3007 zone_changed zone=khi-b in_service=false`.
///
///     auto log = telemetry::open_event_log("-", "entry-1");
///     if (!log) return fail(log.error().detail);
///     log.value()->write(telemetry::events::process_started, {{"version", "0.1.0"}});

#include "filbertroad/base/result.hpp"
#include "filbertroad/telemetry/events.hpp"

#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace filbertroad::telemetry
{

enum class telemetry_error
{
    cannot_open,
};

struct event_field
{
    std::string_view name;
    std::string value;
};

/// How a request ended, for the log.
enum class request_end
{
    served,
    /// Rejected, or abandoned by its client.
    dropped,
};

/// Implementations must be thread safe.
class event_log
{
public:
    virtual ~event_log() = default;

    /// Writes one event of the catalogue in events.hpp.
    virtual void write(event_definition const& event, std::span<event_field const> fields) = 0;

    void write(event_definition const& event, std::initializer_list<event_field> fields = {})
    {
        this->write(event, std::span(fields.begin(), fields.size()));
    }

    /// Begins a request. A log may hold its events back until end_request(), but no longer than a
    /// few hundred milliseconds.
    virtual void begin_request(std::string_view /*request*/) {}

    /// Writes an event of a request, also if the request has not begun.
    virtual void write_for(std::string_view /*request*/, event_definition const& event,
                           std::initializer_list<event_field> fields)
    {
        this->write(event, fields);
    }

    /// Ends a request. Of many requests that were dropped for the same reason, a log may count some
    /// instead of writing their events.
    virtual void end_request(std::string_view /*request*/, request_end /*end*/,
                             std::string_view /*reason*/)
    {
    }
};

/// Discards every event; for tests and tools.
class null_event_log final : public event_log
{
public:
    using event_log::write;
    void write(event_definition const& /*event*/, std::span<event_field const> /*fields*/) override
    {
    }
};

/// Opens a log that appends to the file at `path`, or to standard error if `path` is "-".
/// `process_name` is part of each line. Returns cannot_open if the file is not writable.
[[nodiscard]] base::result<std::unique_ptr<event_log>, base::error<telemetry_error>>
open_event_log(std::string const& path, std::string_view process_name);

/// Returns `NUMBER NAME field=value ...`. A value that is empty or contains a space, a quote or a
/// control character is printed as a quoted JSON string.
[[nodiscard]] std::string format_event(event_definition const& event,
                                       std::span<event_field const> fields);

} // namespace filbertroad::telemetry

#endif

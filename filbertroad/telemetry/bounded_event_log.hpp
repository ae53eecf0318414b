#ifndef FILBERTROAD_TELEMETRY_BOUNDED_EVENT_LOG_HPP
#define FILBERTROAD_TELEMETRY_BOUNDED_EVENT_LOG_HPP

/// An event log that never blocks: lines wait in bounded memory until flush() writes as much as the
/// descriptor takes. When the memory is full, lines are dropped and their number is logged later.
/// log4cxx writes synchronously or through a thread of its own; processes with a small share of
/// one core have time for neither.
///
///     telemetry::bounded_event_log log(clock, STDOUT_FILENO, "agent-1");
///     log.write(telemetry::events::process_started);
///     log.flush();       // from a timer
///
/// Thread safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/telemetry/event_log.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace filbertroad::telemetry
{

class bounded_event_log final : public event_log
{
public:
    /// Bytes of lines held at most.
    static constexpr std::size_t max_buffered_bytes = 1024UL * 1024;

    /// `descriptor` stays open and belongs to the caller.
    bounded_event_log(base::clock const& clock, int descriptor, std::string_view process_name);

    using event_log::write;
    void write(event_definition const& event, std::span<event_field const> fields) override;

    /// Writes what the descriptor takes without waiting.
    void flush();

private:
    void append_line(event_definition const& event, std::span<event_field const> fields);

    base::clock const& clock;
    int descriptor;
    std::string process_name;
    std::mutex lock;
    std::string buffer;
    std::uint64_t dropped_lines = 0;
};

} // namespace filbertroad::telemetry

#endif

#ifndef FILBERTROAD_TELEMETRY_BOUNDED_EVENT_LOG_HPP
#define FILBERTROAD_TELEMETRY_BOUNDED_EVENT_LOG_HPP

/// A non-blocking event log. Lines are kept in a bounded buffer until flush() writes as much as the
/// descriptor accepts. While the buffer is full, lines are dropped and counted; the count is logged
/// once there is space again. log4cxx writes either synchronously or on a thread of its own, and
/// both cost too much in processes with a small share of one core.
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
    /// Buffer size from which new lines are dropped. The last line may exceed it.
    static constexpr std::size_t max_buffered_bytes = 1024UL * 1024;

    /// The caller keeps ownership of `descriptor`, which must outlive the log.
    bounded_event_log(base::clock const& clock, int descriptor, std::string_view process_name);

    using event_log::write;
    void write(event_definition const& event, std::span<event_field const> fields) override;

    /// Writes as much of the buffer as the descriptor accepts without blocking.
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

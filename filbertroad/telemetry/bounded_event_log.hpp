#ifndef FILBERTROAD_TELEMETRY_BOUNDED_EVENT_LOG_HPP
#define FILBERTROAD_TELEMETRY_BOUNDED_EVENT_LOG_HPP

/// A non-blocking event log. Lines are kept in a bounded buffer until flush() writes as much as the
/// descriptor accepts. While the buffer is full, lines are dropped and counted; the count is logged
/// once there is space again.
///
/// The events of a request are held back until it ends or max_hold_time has passed. Of the requests
/// that end as dropped within that time, max_dropped_requests are written in a second for each
/// reason and the others are counted, so that a crowd of them neither fills the buffer nor takes
/// the place of the events of other requests. log4cxx writes either synchronously or on a thread of
/// its own, and both cost too much in processes with a small share of one core.
///
///     telemetry::bounded_event_log log(clock, STDOUT_FILENO, "agent-1");
///     log.write(telemetry::events::process_started);
///     log.flush();       // from a timer
///
/// Thread safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/telemetry/event_log.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
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

    /// Longest time for which the events of a request are held back.
    static constexpr std::chrono::milliseconds max_hold_time{200};

    /// Requests of one reason that are written in a second although they were dropped.
    static constexpr std::size_t max_dropped_requests = 100;

    /// Bytes written in a second; further lines are dropped.
    static constexpr std::size_t max_bytes_per_second = 2UL * 1024 * 1024;

    /// Longest value of a field; longer ones are cut.
    static constexpr std::size_t max_value_bytes = 1'024;

    /// The caller keeps ownership of `descriptor`, which must outlive the log.
    bounded_event_log(base::clock const& clock, int descriptor, std::string_view process_name);

    using event_log::write;
    void write(event_definition const& event, std::span<event_field const> fields) override;
    void begin_request(std::string_view request) override;
    void write_for(std::string_view request, event_definition const& event,
                   std::initializer_list<event_field> fields) override;
    void end_request(std::string_view request, request_end end, std::string_view reason) override;

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

private:
    struct open_request
    {
        std::string lines;
        base::steady_time opened{};
    };

    struct dropped_requests
    {
        std::size_t written = 0;
        std::uint64_t left_out = 0;
    };

    [[nodiscard]] std::string make_line(event_definition const& event,
                                        std::span<event_field const> fields) const;
    /// Adds the line to the buffer, or drops it if the buffer is full.
    void append_line(std::string_view line);
    void release_held(base::steady_time now);
    /// Writes the counts of the dropped requests, and begins to count anew.
    void summarize_dropped();

    base::clock const& clock;
    int descriptor;
    std::string process_name;
    std::mutex lock;
    std::string buffer;
    std::uint64_t dropped_lines = 0;
    /// Bytes added to the buffer since `second_started`.
    std::size_t bytes_in_second = 0;
    base::steady_time second_started{};
    /// Requests whose events are held back.
    std::map<std::string, open_request, std::less<>> held;
    std::size_t held_bytes = 0;
    std::map<std::string, dropped_requests, std::less<>> dropped;
    base::steady_time summarized_at{};
};

} // namespace filbertroad::telemetry

#endif

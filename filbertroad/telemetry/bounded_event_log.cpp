#include "filbertroad/telemetry/bounded_event_log.hpp"

#include <array>
#include <ctime>
#include <limits.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace filbertroad::telemetry
{
namespace
{

/// Formats a time as `2026-12-04T04:50:00.123Z`.
std::string format_time(base::system_time time)
{
    auto const unix_ms = base::to_unix_ms(time);
    auto const seconds = static_cast<std::time_t>(unix_ms / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 24> text{};
    auto const size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    auto const fraction = std::to_string(1000 + unix_ms % 1000).substr(1);
    return std::string(text.data(), size) + fraction + "Z";
}

bool is_writable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

bounded_event_log::bounded_event_log(base::clock const& clock, int descriptor,
                                     std::string_view process_name)
    : clock(clock), descriptor(descriptor), process_name(process_name)
{
}

void bounded_event_log::write(event_definition const& event, std::span<event_field const> fields)
{
    std::scoped_lock const guard(this->lock);
    if (this->buffer.size() >= max_buffered_bytes)
    {
        ++this->dropped_lines;
        return;
    }
    if (auto const count = std::exchange(this->dropped_lines, 0); count != 0)
    {
        std::array const dropped_fields{event_field{"count", std::to_string(count)}};
        this->append_line(events::lines_dropped, dropped_fields);
    }
    this->append_line(event, fields);
}

void bounded_event_log::append_line(event_definition const& event,
                                    std::span<event_field const> fields)
{
    this->buffer += format_time(this->clock.system_now());
    this->buffer += ' ';
    this->buffer += to_string(event.level);
    this->buffer += ' ';
    this->buffer += this->process_name;
    this->buffer += ' ';
    this->buffer += format_event(event, fields);
    this->buffer += '\n';
}

void bounded_event_log::flush()
{
    std::scoped_lock const guard(this->lock);
    std::size_t written = 0;
    while (written < this->buffer.size() && is_writable(this->descriptor))
    {
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        auto const chunk = std::min<std::size_t>(this->buffer.size() - written, PIPE_BUF);
        auto const count = ::write(this->descriptor, this->buffer.data() + written, chunk);
        if (count <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    this->buffer.erase(0, written);
}

} // namespace filbertroad::telemetry

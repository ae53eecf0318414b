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

/// `2026-12-04T04:50:00.123Z`.
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

bool takes_bytes(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

bounded_event_log::bounded_event_log(base::clock const& clock, int descriptor,
                                     std::string_view process)
    : clock(clock), descriptor(descriptor), process(process)
{
}

void bounded_event_log::write(event_definition const& event, std::span<event_field const> fields)
{
    std::scoped_lock const guard(this->lock);
    if (this->held.size() >= max_held_bytes)
    {
        ++this->dropped;
        return;
    }
    if (auto const count = std::exchange(this->dropped, 0); count != 0)
    {
        std::array const lost{event_field{"count", std::to_string(count)}};
        this->append_line(events::lines_dropped, lost);
    }
    this->append_line(event, fields);
}

void bounded_event_log::append_line(event_definition const& event,
                                    std::span<event_field const> fields)
{
    this->held += format_time(this->clock.system_now());
    this->held += ' ';
    this->held += to_string(event.level);
    this->held += ' ';
    this->held += this->process;
    this->held += ' ';
    this->held += format_event(event, fields);
    this->held += '\n';
}

void bounded_event_log::flush()
{
    std::scoped_lock const guard(this->lock);
    std::size_t written = 0;
    while (written < this->held.size() && takes_bytes(this->descriptor))
    {
        // A pipe that is ready takes PIPE_BUF bytes without blocking.
        auto const portion = std::min<std::size_t>(this->held.size() - written, PIPE_BUF);
        auto const count = ::write(this->descriptor, this->held.data() + written, portion);
        if (count <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    this->held.erase(0, written);
}

} // namespace filbertroad::telemetry

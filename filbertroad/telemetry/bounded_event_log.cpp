#include "filbertroad/telemetry/bounded_event_log.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <limits.h>
#include <poll.h>
#include <unistd.h>
#include <utility>
#include <vector>

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

/// Reasons that are counted apart; further ones share a count.
constexpr std::size_t max_reasons = 32;
constexpr std::size_t max_reason_bytes = 64;
constexpr std::string_view other_reasons = "other";

constexpr std::chrono::seconds summary_period{1};

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
    this->append_line(this->make_line(event, fields));
}

void bounded_event_log::begin_request(std::string_view request)
{
    std::scoped_lock const guard(this->lock);
    if (this->held_bytes < max_buffered_bytes && !this->held.contains(request))
    {
        this->held.emplace(request, open_request{{}, this->clock.steady_now()});
    }
}

void bounded_event_log::write_for(std::string_view request, event_definition const& event,
                                  std::initializer_list<event_field> fields)
{
    std::scoped_lock const guard(this->lock);
    auto line = this->make_line(event, std::span(fields.begin(), fields.size()));
    auto const found = this->held.find(request);
    if (found == this->held.end())
    {
        this->append_line(line);
        return;
    }
    this->held_bytes += line.size();
    found->second.lines += line;
}

void bounded_event_log::end_request(std::string_view request, request_end end,
                                    std::string_view reason)
{
    std::scoped_lock const guard(this->lock);
    auto const found = this->held.find(request);
    if (found == this->held.end())
    {
        return;
    }
    auto const lines = std::move(found->second.lines);
    this->held_bytes -= lines.size();
    this->held.erase(found);
    if (end == request_end::dropped)
    {
        auto const name = std::string(reason.substr(0, max_reason_bytes));
        bool const is_other = this->dropped.size() >= max_reasons && !this->dropped.contains(name);
        auto& counts = this->dropped[is_other ? std::string(other_reasons) : name];
        if (counts.written >= max_dropped_requests)
        {
            ++counts.left_out;
            return;
        }
        ++counts.written;
    }
    this->append_line(lines);
}

std::string bounded_event_log::make_line(event_definition const& event,
                                         std::span<event_field const> fields) const
{
    auto line = format_time(this->clock.system_now());
    line += ' ';
    line += to_string(event.level);
    line += ' ';
    line += this->process_name;
    line += ' ';
    bool const is_cut =
        std::any_of(fields.begin(), fields.end(),
                    [](event_field const& field) { return field.value.size() > max_value_bytes; });
    if (is_cut)
    {
        std::vector<event_field> cut(fields.begin(), fields.end());
        for (auto& field : cut)
        {
            field.value.resize(std::min(field.value.size(), max_value_bytes));
        }
        line += format_event(event, cut);
    }
    else
    {
        line += format_event(event, fields);
    }
    line += '\n';
    return line;
}

void bounded_event_log::append_line(std::string_view line)
{
    auto const now = this->clock.steady_now();
    if (now - this->second_started >= std::chrono::seconds(1))
    {
        this->second_started = now;
        this->bytes_in_second = 0;
    }
    if (this->buffer.size() >= max_buffered_bytes || this->bytes_in_second >= max_bytes_per_second)
    {
        ++this->dropped_lines;
        return;
    }
    if (auto const count = std::exchange(this->dropped_lines, 0); count != 0)
    {
        std::array const dropped_fields{event_field{"count", std::to_string(count)}};
        this->buffer += this->make_line(events::lines_dropped, dropped_fields);
    }
    this->buffer += line;
    this->bytes_in_second += line.size();
}

void bounded_event_log::release_held(base::steady_time now)
{
    std::erase_if(this->held,
                  [&](auto const& item)
                  {
                      auto const& request = item.second;
                      if (now - request.opened < max_hold_time)
                      {
                          return false;
                      }
                      this->append_line(request.lines);
                      this->held_bytes -= request.lines.size();
                      return true;
                  });
}

void bounded_event_log::summarize_dropped()
{
    for (auto const& [reason, counts] : std::exchange(this->dropped, {}))
    {
        if (counts.left_out != 0)
        {
            std::array const fields{event_field{"reason", reason},
                                    event_field{"count", std::to_string(counts.left_out)}};
            this->append_line(this->make_line(events::requests_summarized, fields));
        }
    }
}

void bounded_event_log::flush()
{
    std::scoped_lock const guard(this->lock);
    auto const now = this->clock.steady_now();
    this->release_held(now);
    if (now - this->summarized_at >= summary_period)
    {
        this->summarized_at = now;
        this->summarize_dropped();
    }
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

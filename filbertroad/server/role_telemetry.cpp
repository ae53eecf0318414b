#include "filbertroad/server/role_telemetry.hpp"

#include <iostream>
#include <utility>

namespace filbertroad::server
{

std::optional<role_telemetry> open_role_telemetry(std::string const& event_log,
                                                  std::string const& span_file,
                                                  std::string const& process)
{
    auto log = telemetry::open_event_log(event_log, process);
    if (!log)
    {
        std::cerr << "event_log: " << log.error().detail << '\n';
        return std::nullopt;
    }
    auto spans = telemetry::span_writer::open(span_file, process);
    if (!spans)
    {
        std::cerr << "span_file: " << spans.error().detail << '\n';
        return std::nullopt;
    }
    return role_telemetry{std::move(log).value(), std::move(spans).value()};
}

} // namespace filbertroad::server

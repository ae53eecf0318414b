#ifndef FILBERTROAD_SERVER_ROLE_TELEMETRY_HPP
#define FILBERTROAD_SERVER_ROLE_TELEMETRY_HPP

/// The event log and the span file of a process, at the paths given by its settings.
///
///     auto telemetry = open_role_telemetry(settings.event_log, settings.span_file, settings.name);
///     if (!telemetry) return EXIT_FAILURE;

#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <memory>
#include <optional>
#include <string>

namespace filbertroad::server
{

struct role_telemetry
{
    std::unique_ptr<telemetry::event_log> log;
    std::unique_ptr<telemetry::span_writer> spans;
};

/// Opens both files. If one cannot be opened, writes the error to standard error, since there is no
/// event log, and returns nothing.
[[nodiscard]] std::optional<role_telemetry> open_role_telemetry(std::string const& event_log,
                                                                std::string const& span_file,
                                                                std::string const& process);

} // namespace filbertroad::server

#endif

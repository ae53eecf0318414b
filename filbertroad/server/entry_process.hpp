#ifndef FILBERTROAD_SERVER_ENTRY_PROCESS_HPP
#define FILBERTROAD_SERVER_ENTRY_PROCESS_HPP

/// The entry process: joins the controllers of the control state, the links, the service shards
/// and the HTTP front end. It takes no decision of its own.
///
///     entry_process entry(settings, clock, log, spans);
///     auto const end = entry.run();      // until SIGTERM, or until it was removed from the view

#include "filbertroad/base/clock.hpp"
#include "filbertroad/settings/settings.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <memory>

namespace filbertroad::server
{

enum class entry_exit_reason
{
    /// A planned stop: every job ended and every kept answer was handed over.
    stopped,
    /// Other entries removed this one while it was alive; it has to join again as a new
    /// incarnation, without its jobs, which their new owner recovers.
    removed,
    /// An address could not be bound.
    failed,
};

class entry_process
{
public:
    entry_process(settings::entry_settings const& settings, base::clock const& clock,
                  telemetry::event_log& log, telemetry::span_writer& spans);
    ~entry_process();

    /// Runs the process; returns when it has ended.
    [[nodiscard]] entry_exit_reason run();

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace filbertroad::server

#endif

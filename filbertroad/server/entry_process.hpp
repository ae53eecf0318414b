#ifndef FILBERTROAD_SERVER_ENTRY_PROCESS_HPP
#define FILBERTROAD_SERVER_ENTRY_PROCESS_HPP

/// The entry process: runs the entry core and the HTTP API on their threads and performs the
/// shutdown step by step. It contains no scheduling or membership logic.
///
///     entry_process entry(settings, clock, log, spans);
///     auto const reason = entry.run();      // until SIGTERM, SIGINT or removal from the view

#include "filbertroad/base/clock.hpp"
#include "filbertroad/settings/settings.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <memory>

namespace filbertroad::server
{

enum class entry_exit_reason
{
    /// Graceful shutdown: every job has ended and every retained result was handed over, or the
    /// timeouts for it have passed.
    stopped,
    /// The other entries removed this one while it was running. It has to rejoin as a new
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

    /// Runs the process and blocks until it has ended. Call once.
    [[nodiscard]] entry_exit_reason run();

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace filbertroad::server

#endif

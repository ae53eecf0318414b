#include "filbertroad/server/entry_process.hpp"
#include "filbertroad/server/role_telemetry.hpp"
#include "filbertroad/server/run.hpp"

#include <cstdlib>
#include <string>
#include <unistd.h>

namespace filbertroad::server
{

int run_entry(settings::entry_settings const& settings)
{
    auto telemetry = open_role_telemetry(settings.event_log, settings.span_file, settings.name);
    if (!telemetry)
    {
        return EXIT_FAILURE;
    }
    role_clock const clock;
    auto& events = *telemetry->log;
    events.write(telemetry::events::process_started,
                 {{"role", "entry"}, {"pid", std::to_string(getpid())}, {"zone", settings.zone}});
    auto exit_reason = entry_exit_reason::removed;
    while (exit_reason == entry_exit_reason::removed)
    {
        entry_process entry(settings, clock, events, *telemetry->spans);
        exit_reason = entry.run();
    }
    events.write(telemetry::events::process_stopped);
    return exit_reason == entry_exit_reason::stopped ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace filbertroad::server

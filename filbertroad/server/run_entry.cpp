#include "filbertroad/server/entry_process.hpp"
#include "filbertroad/server/run.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <cstdlib>
#include <iostream>
#include <string>
#include <unistd.h>

namespace filbertroad::server
{

int run_entry(settings::entry_settings const& settings)
{
    auto log = telemetry::open_event_log(settings.event_log, settings.name);
    if (!log)
    {
        std::cerr << "event_log: " << log.error().detail << '\n';
        return EXIT_FAILURE;
    }
    auto spans = telemetry::span_writer::open(settings.span_file, settings.name);
    if (!spans)
    {
        std::cerr << "span_file: " << spans.error().detail << '\n';
        return EXIT_FAILURE;
    }
    base::machine_clock const clock;
    auto& events = *log.value();
    events.write(telemetry::events::process_started,
                 {{"role", "entry"}, {"pid", std::to_string(getpid())}, {"zone", settings.zone}});
    auto end = entry_end::removed;
    while (end == entry_end::removed)
    {
        entry_process entry(settings, clock, events, *spans.value());
        end = entry.run();
    }
    events.write(telemetry::events::process_stopped);
    return end == entry_end::stopped ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace filbertroad::server

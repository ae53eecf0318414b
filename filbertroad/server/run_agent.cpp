#include "filbertroad/server/agent_process.hpp"
#include "filbertroad/server/run.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <cstdlib>
#include <iostream>
#include <string>
#include <unistd.h>

namespace filbertroad::server
{

int run_agent(settings::agent_settings const& settings)
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
                 {{"role", "agent"}, {"pid", std::to_string(getpid())}, {"zone", settings.zone}});
    auto agent = agent_process::builder().settings(settings).build(clock, events, *spans.value());
    auto const end = agent.run();
    events.write(telemetry::events::process_stopped,
                 {{"drained", end == agent_end::drained ? "true" : "false"}});
    return end == agent_end::failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace filbertroad::server

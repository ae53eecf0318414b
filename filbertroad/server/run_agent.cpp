#include "filbertroad/server/agent_process.hpp"
#include "filbertroad/server/role_telemetry.hpp"
#include "filbertroad/server/run.hpp"

#include <cstdlib>
#include <string>
#include <unistd.h>

namespace filbertroad::server
{

int run_agent(settings::agent_settings const& settings)
{
    auto telemetry = open_role_telemetry(settings.event_log, settings.span_file, settings.name);
    if (!telemetry)
    {
        return EXIT_FAILURE;
    }
    base::machine_clock const clock;
    auto& events = *telemetry->log;
    events.write(telemetry::events::process_started,
                 {{"role", "agent"}, {"pid", std::to_string(getpid())}, {"zone", settings.zone}});
    auto agent =
        agent_process::builder().settings(settings).build(clock, events, *telemetry->spans);
    auto const end = agent.run();
    events.write(telemetry::events::process_stopped,
                 {{"drained", end == agent_end::drained ? "true" : "false"}});
    return end == agent_end::failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace filbertroad::server

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
    role_clock const clock;
    auto& events = *telemetry->log;
    events.write(telemetry::events::process_started,
                 {{"role", "agent"}, {"pid", std::to_string(getpid())}, {"zone", settings.zone}});
    auto agent =
        agent_process::builder().settings(settings).build(clock, events, *telemetry->spans);
    auto const exit_reason = agent.run();
    events.write(telemetry::events::process_stopped,
                 {{"drained", exit_reason == agent_exit_reason::drained ? "true" : "false"}});
    return exit_reason == agent_exit_reason::failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace filbertroad::server

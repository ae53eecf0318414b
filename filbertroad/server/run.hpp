#ifndef FILBERTROAD_SERVER_RUN_HPP
#define FILBERTROAD_SERVER_RUN_HPP

/// Runs a role of the binary until SIGTERM or SIGINT.
///
///     return server::run_entry(settings);

#include "filbertroad/base/suspend_aware_clock.hpp"
#include "filbertroad/settings/settings.hpp"

namespace filbertroad::server
{

/// The clock of the roles. A confirmation of the state must expire while the machine is suspended,
/// since the other processes go on.
using role_clock = base::suspend_aware_clock;

/// Runs an entry; an entry that was removed from the view is restarted as a new incarnation.
/// Returns the exit status: 0 after a graceful shutdown, 1 if the entry could not start.
[[nodiscard]] int run_entry(settings::entry_settings const& settings);

/// Runs an agent. Returns the exit status: 0 after a graceful shutdown, 1 if it could not start.
[[nodiscard]] int run_agent(settings::agent_settings const& settings);

} // namespace filbertroad::server

#endif

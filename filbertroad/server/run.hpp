#ifndef FILBERTROAD_SERVER_RUN_HPP
#define FILBERTROAD_SERVER_RUN_HPP

/// The roles of the binary, run until SIGTERM or SIGINT.
///
///     return server::run_entry(settings);

#include "filbertroad/settings/settings.hpp"

namespace filbertroad::server
{

/// Runs an entry. Returns the exit status: 0 after a planned stop, 1 if it could not start.
[[nodiscard]] int run_entry(settings::entry_settings const& settings);

/// Runs an agent. Returns the exit status: 0 after a planned stop, 1 if it could not start.
[[nodiscard]] int run_agent(settings::agent_settings const& settings);

} // namespace filbertroad::server

#endif

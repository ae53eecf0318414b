#ifndef FILBERTROAD_STANDIN_COMMANDS_HPP
#define FILBERTROAD_STANDIN_COMMANDS_HPP

/// Subcommands of the program filbertroad-standin. Each takes its arguments with the program name
/// as the first element, parses and runs them, and returns the exit status.
///
///     return standin::run_log({"filbertroad-standin log", "--listen", "127.0.0.1:7000"});

#include <string>
#include <vector>

namespace filbertroad::standin
{

/// Exit status for invalid arguments.
inline constexpr int exit_usage = 2;

int run_log(std::vector<std::string> arguments);
int run_target(std::vector<std::string> arguments);
int run_load(std::vector<std::string> arguments);

} // namespace filbertroad::standin

#endif

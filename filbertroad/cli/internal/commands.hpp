#ifndef FILBERTROAD_CLI_INTERNAL_COMMANDS_HPP
#define FILBERTROAD_CLI_INTERNAL_COMMANDS_HPP

/// The commands of the program. Each parses its own arguments and returns an exit code.

#include "filbertroad/cli/command_line.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::cli::internal
{

/// One call of a command.
struct invocation
{
    /// Name as typed, such as `zone out`.
    std::string name;
    std::string_view summary;
    std::vector<std::string> arguments;
    environment& env;
};

struct command
{
    /// Words of the name, separated by one space.
    std::string_view name;
    std::string_view summary;
    int (*run)(invocation const&);
};

[[nodiscard]] std::span<command const> process_commands();
[[nodiscard]] std::span<command const> job_commands();
[[nodiscard]] std::span<command const> operator_commands();

} // namespace filbertroad::cli::internal

#endif

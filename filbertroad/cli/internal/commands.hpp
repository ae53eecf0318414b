#ifndef FILBERTROAD_CLI_INTERNAL_COMMANDS_HPP
#define FILBERTROAD_CLI_INTERNAL_COMMANDS_HPP

/// Tables of the commands of the program. Each command parses its own arguments and returns an
/// exit_code.

#include "filbertroad/cli/command_line.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::cli::internal
{

/// One run of a command.
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
    /// One word, or two words separated by one space.
    std::string_view name;
    std::string_view summary;
    int (*run)(invocation const&);
};

[[nodiscard]] std::span<command const> process_commands();
[[nodiscard]] std::span<command const> configuration_commands();
[[nodiscard]] std::span<command const> job_commands();
[[nodiscard]] std::span<command const> operator_commands();

} // namespace filbertroad::cli::internal

#endif

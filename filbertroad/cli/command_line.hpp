#ifndef FILBERTROAD_CLI_COMMAND_LINE_HPP
#define FILBERTROAD_CLI_COMMAND_LINE_HPP

/// Command line of the program `filbertroad`.
///
///     base::machine_clock clock;
///     cli::environment env{std::cout, std::cerr, cli::socket_transport(clock)};
///     return cli::run({"zone", "out", "khi-b", "--entry", "127.0.0.1:8101"}, env);

#include "filbertroad/cli/entry_client.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace filbertroad::cli
{

/// Exit codes of the program.
enum exit_code : int
{
    exit_ok = 0,
    /// The request was refused, or the job failed.
    exit_refused = 1,
    /// The command line or a settings file is not valid.
    exit_usage = 2,
    /// No entry responded.
    exit_no_answer = 3,
    /// The job was still queued or running when the wait time ran out.
    exit_not_ended = 4,
};

/// Output streams and transport of a command; tests replace them.
struct environment
{
    std::ostream& out;
    std::ostream& err;
    client_transport transport;
};

/// Runs the command in `arguments`, which exclude the program name, and returns an exit_code.
/// Parsing errors are printed to `env.err` and give exit_usage.
[[nodiscard]] int run(std::vector<std::string> const& arguments, environment& env);

} // namespace filbertroad::cli

#endif

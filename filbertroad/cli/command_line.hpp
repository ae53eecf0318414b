#ifndef FILBERTROAD_CLI_COMMAND_LINE_HPP
#define FILBERTROAD_CLI_COMMAND_LINE_HPP

/// The program `filbertroad`.
///
///     base::machine_clock clock;
///     cli::environment outside{std::cout, std::cerr, cli::real_transport(clock)};
///     return cli::run({"zone", "out", "khi-b", "--entry", "127.0.0.1:8101"}, outside);

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
    /// The request was refused, or the job ended failed.
    exit_refused = 1,
    /// The command line or a settings file is not valid.
    exit_usage = 2,
    /// No entry answered.
    exit_no_answer = 3,
    /// The job had not ended when the wait was over.
    exit_not_ended = 4,
};

struct environment
{
    std::ostream& out;
    std::ostream& err;
    client_transport transport;
};

/// Runs the command in `arguments`, which do not include the name of the program. Returns the exit
/// code.
[[nodiscard]] int run(std::vector<std::string> const& arguments, environment& env);

} // namespace filbertroad::cli

#endif

#ifndef FILBERTROAD_CLI_INTERNAL_ARGUMENT_PARSER_HPP
#define FILBERTROAD_CLI_INTERNAL_ARGUMENT_PARSER_HPP

/// Parses the arguments of one command with TCLAP.

#include "filbertroad/cli/internal/commands.hpp"

#include <tclap/CmdLine.h>

namespace filbertroad::cli::internal
{

/// Parser that reports errors by exceptions, which run() converts to exit codes. It throws
/// TCLAP::ArgException for invalid arguments and TCLAP::ExitException after --help.
class argument_parser
{
public:
    explicit argument_parser(invocation const& call);

    /// The TCLAP object to pass to the constructors of arguments.
    [[nodiscard]] TCLAP::CmdLine& command_line() { return this->tclap_line; }
    void parse();

private:
    invocation const& call;
    TCLAP::StdOutput output;
    TCLAP::CmdLine tclap_line;
};

/// Options of every command that sends requests to entries.
class client_options
{
public:
    explicit client_options(argument_parser& parser);

    /// Throws TCLAP::ArgException if an address is not IP:PORT.
    [[nodiscard]] entry_client make_client(environment const& env);
    [[nodiscard]] bool wants_json() { return this->json.getValue(); }
    /// Time limit for all attempts together.
    [[nodiscard]] std::chrono::milliseconds total_timeout();

private:
    TCLAP::MultiArg<std::string> entries;
    TCLAP::ValueArg<std::string> token;
    TCLAP::ValueArg<unsigned> timeout_ms;
    TCLAP::SwitchArg json;
};

} // namespace filbertroad::cli::internal

#endif

#ifndef FILBERTROAD_CLI_INTERNAL_ARGUMENT_PARSER_HPP
#define FILBERTROAD_CLI_INTERNAL_ARGUMENT_PARSER_HPP

/// Parsing of the arguments of one command with TCLAP.

#include "filbertroad/cli/internal/commands.hpp"

#include <tclap/CmdLine.h>

namespace filbertroad::cli::internal
{

/// A command line that reports faults as exceptions (TCLAP::ArgException, and TCLAP::ExitException
/// after --help), which run() turns into exit codes.
class argument_parser
{
public:
    explicit argument_parser(invocation const& call);

    /// For the constructors of arguments.
    [[nodiscard]] TCLAP::CmdLine& command_line() { return this->tclap_line; }
    void parse();

private:
    invocation const& call;
    TCLAP::StdOutput output;
    TCLAP::CmdLine tclap_line;
};

/// Options of every command that talks to entries.
class client_options
{
public:
    explicit client_options(argument_parser& parser);

    /// Throws TCLAP::ArgException if an address is malformed.
    [[nodiscard]] entry_client make_client(environment const& env);
    [[nodiscard]] bool wants_json() { return this->json.getValue(); }
    /// Time for all attempts.
    [[nodiscard]] std::chrono::milliseconds total_timeout();

private:
    TCLAP::MultiArg<std::string> entries;
    TCLAP::ValueArg<std::string> token;
    TCLAP::ValueArg<unsigned> timeout_ms;
    TCLAP::SwitchArg json;
};

} // namespace filbertroad::cli::internal

#endif

#include "filbertroad/cli/internal/parsing.hpp"
#include "filbertroad/settings/address.hpp"

namespace filbertroad::cli::internal
{
namespace
{

constexpr unsigned default_timeout_ms = 15'000;

} // namespace

argument_parser::argument_parser(invocation const& call)
    : call(call), commands(std::string(call.summary), ' ', FILBERTROAD_VERSION)
{
    this->commands.setExceptionHandling(false);
}

void argument_parser::parse()
{
    // TCLAP takes the first element as the name of the program.
    std::vector<std::string> all{"filbertroad " + this->call.name};
    all.insert(all.end(), this->call.arguments.begin(), this->call.arguments.end());
    this->commands.parse(all);
    // TCLAP takes an option that it does not know for a positional argument.
    for (auto* const argument : this->commands.getArgList())
    {
        auto* const positional = dynamic_cast<TCLAP::UnlabeledValueArg<std::string>*>(argument);
        if (positional != nullptr && positional->getValue().starts_with('-'))
        {
            throw TCLAP::CmdLineParseException("no such option", positional->getValue());
        }
    }
}

client_options::client_options(argument_parser& parser)
    : entries("", "entry",
              "HTTP address of an entry; repeatable: the next is tried when one does not answer",
              true, "IP:PORT", parser.line()),
      token("", "token", "token of the team, or of operators", true, "", "TOKEN", parser.line()),
      timeout_ms("", "timeout-ms", "time for all attempts to get an answer", false,
                 default_timeout_ms, "MS", parser.line()),
      json("", "json", "print the answer as JSON", parser.line())
{
}

entry_client client_options::make_client(environment const& outside)
{
    for (auto const& address : this->entries.getValue())
    {
        if (!settings::is_valid_address(address))
        {
            throw TCLAP::CmdLineParseException("'" + address + "' is not an address IP:PORT",
                                               "--entry");
        }
    }
    return {this->entries.getValue(), this->token.getValue(), outside.world};
}

std::chrono::milliseconds client_options::patience()
{
    return std::chrono::milliseconds(this->timeout_ms.getValue());
}

} // namespace filbertroad::cli::internal

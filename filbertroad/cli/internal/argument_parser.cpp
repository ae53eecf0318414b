#include "filbertroad/cli/internal/argument_parser.hpp"
#include "filbertroad/settings/address.hpp"

namespace filbertroad::cli::internal
{
namespace
{

constexpr unsigned default_timeout_ms = 15'000;

} // namespace

argument_parser::argument_parser(invocation const& call)
    : call(call), tclap_line(std::string(call.summary), ' ', FILBERTROAD_VERSION)
{
    this->tclap_line.setExceptionHandling(false);
}

void argument_parser::parse()
{
    // TCLAP expects the program name in the first element.
    std::vector<std::string> all{"filbertroad " + this->call.name};
    all.insert(all.end(), this->call.arguments.begin(), this->call.arguments.end());
    this->tclap_line.parse(all);
    // TCLAP accepts an unknown option as the value of a positional argument.
    for (auto* const argument : this->tclap_line.getArgList())
    {
        auto* const positional = dynamic_cast<TCLAP::UnlabeledValueArg<std::string>*>(argument);
        if (positional != nullptr && positional->getValue().starts_with('-'))
        {
            throw TCLAP::CmdLineParseException("unknown option", positional->getValue());
        }
    }
}

client_options::client_options(argument_parser& parser)
    : entries("", "entry",
              "HTTP address of an entry; repeatable: if one does not respond, the next is tried",
              true, "IP:PORT", parser.command_line()),
      token("", "token", "token of the team, or the operator token", true, "", "TOKEN",
            parser.command_line()),
      timeout_ms("", "timeout-ms", "time limit for all attempts together, in ms", false,
                 default_timeout_ms, "MS", parser.command_line()),
      json("", "json", "print the response as JSON", parser.command_line())
{
}

entry_client client_options::make_client(environment const& env)
{
    for (auto const& address : this->entries.getValue())
    {
        if (!settings::is_valid_address(address))
        {
            throw TCLAP::CmdLineParseException("'" + address + "' is not an address IP:PORT",
                                               "--entry");
        }
    }
    return {this->entries.getValue(), this->token.getValue(), env.transport};
}

std::chrono::milliseconds client_options::total_timeout()
{
    return std::chrono::milliseconds(this->timeout_ms.getValue());
}

} // namespace filbertroad::cli::internal

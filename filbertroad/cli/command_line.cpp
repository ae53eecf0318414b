#include "filbertroad/cli/command_line.hpp"

#include "filbertroad/cli/internal/commands.hpp"

#include <algorithm>
#include <array>
#include <tclap/ArgException.h>

namespace filbertroad::cli
{
namespace
{

using internal::command;

std::vector<command> all_commands()
{
    std::vector<command> out;
    for (auto const group : {internal::process_commands(), internal::configuration_commands(),
                             internal::job_commands(), internal::operator_commands()})
    {
        out.insert(out.end(), group.begin(), group.end());
    }
    return out;
}

/// Lists the commands whose names begin with `prefix`, and the exit codes.
void print_usage(std::string const& prefix, std::ostream& out)
{
    constexpr std::size_t name_width = 16;
    out << "usage: filbertroad COMMAND [ARGUMENTS]; COMMAND --help lists its arguments\n\n";
    for (auto const& command : all_commands())
    {
        if (command.name.starts_with(prefix))
        {
            std::string name(command.name);
            name.resize(std::max(name.size(), name_width), ' ');
            out << "  " << name << command.summary << "\n";
        }
    }
    out << "\nexit codes: 0 success, 1 request refused or job failed, 2 invalid command line or "
           "settings,\n3 no entry responded, 4 job still queued or running\n";
}

bool is_help(std::string const& argument)
{
    return argument == "--help" || argument == "-h" || argument == "help";
}

int run_command(command const& chosen, std::vector<std::string> arguments, environment& env)
{
    internal::invocation const call{std::string(chosen.name), chosen.summary, std::move(arguments),
                                    env};
    try
    {
        return chosen.run(call);
    }
    catch (TCLAP::ExitException const& exit_exception)
    {
        return exit_exception.getExitStatus();
    }
    catch (TCLAP::ArgException const& parse_error)
    {
        env.err << "filbertroad " << call.name << ": " << parse_error.argId() << ": "
                << parse_error.error() << "; see filbertroad " << call.name << " --help\n";
        return exit_usage;
    }
}

} // namespace

int run(std::vector<std::string> const& arguments, environment& env)
{
    if (arguments.empty() || is_help(arguments[0]))
    {
        print_usage("", arguments.empty() ? env.err : env.out);
        return arguments.empty() ? exit_usage : exit_ok;
    }
    auto const& one_word = arguments[0];
    auto const two_words = arguments.size() > 1 ? one_word + " " + arguments[1] : one_word;
    auto const commands = all_commands();
    for (auto const& command : commands)
    {
        if (command.name == one_word || command.name == two_words)
        {
            auto const words = command.name == one_word ? 1 : 2;
            return run_command(command, {arguments.begin() + words, arguments.end()}, env);
        }
    }
    bool const is_group = std::any_of(commands.begin(), commands.end(),
                                      [&](command const& command)
                                      { return command.name.starts_with(one_word + " "); });
    if (is_group && arguments.size() > 1 && is_help(arguments[1]))
    {
        print_usage(one_word + " ", env.out);
        return exit_ok;
    }
    env.err << "filbertroad: unknown command '" << two_words << "'\n";
    print_usage(is_group ? one_word + " " : "", env.err);
    return exit_usage;
}

} // namespace filbertroad::cli

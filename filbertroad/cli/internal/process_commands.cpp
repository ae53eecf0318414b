#include "filbertroad/cli/internal/argument_parser.hpp"
#include "filbertroad/server/run.hpp"
#include "filbertroad/settings/settings.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/events.hpp"
#include "platform/run.hpp"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace filbertroad::cli::internal
{
namespace
{

/// Loads the settings file named by the arguments. On an error, logs the event settings_rejected
/// and returns the exit code.
base::result<settings::any_settings, int> load_settings(invocation const& call)
{
    argument_parser parser(call);
    TCLAP::UnlabeledValueArg<std::string> file("file", "settings file; see docs/settings.md", true,
                                               "", "FILE", parser.command_line());
    parser.parse();
    auto loaded = settings::load(file.getValue());
    if (loaded)
    {
        return std::move(loaded).value();
    }
    auto const& error = loaded.error();
    if (auto const log = telemetry::open_event_log("-", "filbertroad"))
    {
        log.value()->write(telemetry::events::settings_rejected,
                           {{"file", error.file},
                            {"line", std::to_string(error.line)},
                            {"key", error.key},
                            {"reason", error.reason}});
    }
    return int{exit_usage};
}

/// Runs the process of one role until it stops. Fails if the settings file is for another role.
template <class Settings>
int run_role(invocation const& call, int (*run)(Settings const&))
{
    auto const loaded = load_settings(call);
    if (!loaded)
    {
        return loaded.error();
    }
    if (auto const* const settings = std::get_if<Settings>(&loaded.value()))
    {
        return run(*settings);
    }
    call.env.err << "the role in the settings file does not match the command " << call.name
                 << "\n";
    return exit_usage;
}

int entry(invocation const& call)
{
    return run_role<settings::entry_settings>(call, server::run_entry);
}

int agent(invocation const& call)
{
    return run_role<settings::agent_settings>(call, server::run_agent);
}

int dispatch_entry(invocation const& call)
{
    return run_role<settings::dispatch_entry_settings>(call, platform::run_entry);
}

int dispatch_agent(invocation const& call)
{
    return run_role<settings::dispatch_agent_settings>(call, platform::run_agent);
}

/// Prints the result of `check` as JSON; `error` is null if the file is valid.
void print_check_json(std::string const& file, settings::settings_diagnostic const* error,
                      std::ostream& out)
{
    boost::json::object result{{"file", file}, {"valid", error == nullptr}};
    if (error != nullptr)
    {
        result["line"] = error->line;
        result["key"] = error->key;
        result["reason"] = error->reason;
    }
    out << boost::json::serialize(result) << "\n";
}

int check(invocation const& call)
{
    argument_parser parser(call);
    // The argument is either required or not added at all: once a process has declared an optional
    // positional argument, TCLAP rejects any further positional argument.
    TCLAP::UnlabeledValueArg<std::string> file("file", "settings file; not with --list or --events",
                                               true, "", "FILE");
    auto const& words = call.arguments;
    bool const prints_reference =
        std::any_of(words.begin(), words.end(),
                    [](std::string const& word) { return word == "--list" || word == "--events"; });
    if (!prints_reference)
    {
        parser.command_line().add(file);
    }
    TCLAP::SwitchArg list("", "list", "print the reference page of all settings",
                          parser.command_line());
    TCLAP::SwitchArg events("", "events", "print the reference page of all log events",
                            parser.command_line());
    TCLAP::SwitchArg json("", "json", "print the result as JSON", parser.command_line());
    parser.parse();
    if (prints_reference)
    {
        call.env.out << (list.getValue() ? settings::settings_page() : telemetry::events_page());
        return exit_ok;
    }
    auto const loaded = settings::load(file.getValue());
    if (json.getValue())
    {
        print_check_json(file.getValue(), loaded ? nullptr : &loaded.error(), call.env.out);
        return loaded ? exit_ok : exit_usage;
    }
    if (!loaded)
    {
        call.env.err << settings::to_string(loaded.error()) << "\n";
        return exit_usage;
    }
    call.env.out << file.getValue() << ": valid settings of the role "
                 << settings::role_of(loaded.value()) << "\n";
    return exit_ok;
}

int version(invocation const& call)
{
    argument_parser parser(call);
    TCLAP::SwitchArg json("", "json", "print as JSON", parser.command_line());
    parser.parse();
    call.env.out << (json.getValue() ? "{\"version\":\"" FILBERTROAD_VERSION "\"}\n"
                                     : "filbertroad " FILBERTROAD_VERSION "\n");
    return exit_ok;
}

constexpr std::array commands{
    command{"entry", "Runs an entry until SIGTERM.", entry},
    command{"agent", "Runs an agent until SIGTERM.", agent},
    command{"dispatch-entry", "Runs an entry on a platform where runs hold leases.",
            dispatch_entry},
    command{"dispatch-agent", "Runs an agent on a platform where runs hold leases.",
            dispatch_agent},
    command{"check", "Checks a settings file, or prints the reference of settings or events.",
            check},
    command{"version", "Prints the version.", version},
};

} // namespace

std::span<command const> process_commands()
{
    return commands;
}

} // namespace filbertroad::cli::internal

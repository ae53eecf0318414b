#include "filbertroad/standin/commands.hpp"

#include <iostream>
#include <string_view>

namespace
{

constexpr std::string_view usage = R"(filbertroad-standin: stand-ins for tests and measurements

  filbertroad-standin log     in-memory log service of the platform
  filbertroad-standin target  target that simulates tasks by timers
  filbertroad-standin load    open-loop load generator for entries

SUBCOMMAND --help lists the arguments of a subcommand.
)";

} // namespace

int main(int argc, char** argv)
{
    namespace standin = filbertroad::standin;
    std::vector<std::string> arguments(argv, argv + argc);
    std::string const command = argc > 1 ? arguments[1] : std::string();
    if (command == "--help" || command == "-h" || command == "help")
    {
        std::cout << usage;
        return 0;
    }
    if (argc > 1)
    {
        arguments.erase(arguments.begin());
        arguments[0] = "filbertroad-standin " + command;
    }
    if (command == "log")
    {
        return standin::run_log(std::move(arguments));
    }
    if (command == "target")
    {
        return standin::run_target(std::move(arguments));
    }
    if (command == "load")
    {
        return standin::run_load(std::move(arguments));
    }
    std::cerr << usage;
    return standin::exit_usage;
}

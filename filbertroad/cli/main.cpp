#include "filbertroad/cli/command_line.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    filbertroad::base::machine_clock const clock;
    filbertroad::cli::environment env{std::cout, std::cerr,
                                      filbertroad::cli::socket_transport(clock)};
    return filbertroad::cli::run({argv + 1, argv + argc}, env);
}

#include "filbertroad/cli/command_line.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    filbertroad::base::machine_clock const clock;
    filbertroad::cli::environment outside{std::cout, std::cerr,
                                          filbertroad::cli::real_transport(clock)};
    return filbertroad::cli::run({argv + 1, argv + argc}, outside);
}

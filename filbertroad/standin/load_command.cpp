#include "filbertroad/standin/commands.hpp"
#include "filbertroad/standin/load_generator.hpp"

#include <fstream>
#include <iostream>
#include <optional>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace filbertroad::standin
{
namespace
{

int print_report(load_generator const& generator, std::optional<ideal_options> const& ideal,
                 std::string const& trace)
{
    for (auto const& metric : compute_load_metrics(generator.records(), ideal))
    {
        std::cout << to_line(metric) << '\n';
    }
    std::cout << std::flush;
    if (trace.empty())
    {
        return 0;
    }
    std::ofstream file(trace);
    file << "# KEY SUBMITTED_MS ENDED_MS STATE ATTEMPTS RUN_MS,...\n";
    for (auto const& record : generator.records())
    {
        file << to_trace_line(record) << '\n';
    }
    if (!file.flush())
    {
        std::cerr << "cannot write the trace file " << trace << '\n';
        return 1;
    }
    return 0;
}

} // namespace

int run_load(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Open-loop load generator: submits jobs at the times of a Poisson process "
                        "and prints metrics as lines NAME VALUE UNIT.",
                        ' ', "0.1");
    TCLAP::MultiArg<std::string> entries("", "entry", "Address of an entry; repeatable", true,
                                         "IP:PORT", line);
    TCLAP::ValueArg<std::string> route("", "route", "Route of the jobs", true, "", "R", line);
    TCLAP::ValueArg<std::string> token("", "token", "Token of the team", true, "", "T", line);
    TCLAP::ValueArg<double> rate("", "rate", "Jobs per second", true, 0, "JOBS_PER_S", line);
    TCLAP::ValueArg<std::uint32_t> tasks("", "tasks", "Tasks of each job (1)", false, 1, "N", line);
    TCLAP::ValueArg<std::string> run_ms(
        "", "run-ms", "Run time of a task, ms: 120, 50-1000 (uniform) or exp:120 (exponential)",
        false, "100", "TIME", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "Duration of submissions, s (10)", false, 10,
                                    "N", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed of the load plan (1)", false, 1,
                                        "S", line);
    TCLAP::ValueArg<std::string> trace("", "trace", "Trace file, one line per job", false, "",
                                       "FILE", line);
    TCLAP::ValueArg<std::uint32_t> attempts(
        "", "max-attempts", "Maximum submissions of one job (30)", false, 30, "N", line);
    TCLAP::ValueArg<std::uint32_t> wait(
        "", "wait-ms", "Time for which a submission waits until its job ends, ms (30000)", false,
        30'000, "N", line);
    TCLAP::ValueArg<std::string> ideal("", "ideal-targets",
                                       "Targets and slots of the ideal scheduler, such as 11x8",
                                       false, "", "NxSLOTS", line);
    TCLAP::ValueArg<std::string> slowness("", "ideal-slowness",
                                          "Slownesses of the first ideal targets, such as 1,1,4",
                                          false, "", "LIST", line);
    TCLAP::ValueArg<double> network("", "ideal-network-ms",
                                    "One-way network latency of the ideal scheduler, ms (0)", false,
                                    0, "N", line);
    line.parse(arguments);

    auto const run_times = parse_run_times(run_ms.getValue());
    auto const targets = parse_ideal_targets(ideal.getValue(), slowness.getValue());
    if (!run_times || !(rate.getValue() > 0) || tasks.getValue() == 0)
    {
        std::cerr << "--run-ms, --rate, --tasks: expected a run time and numbers greater than 0\n";
        return exit_usage;
    }
    if (ideal.isSet() && !targets)
    {
        std::cerr << "--ideal-targets, --ideal-slowness: expected values such as 11x8 and 1,1,4\n";
        return exit_usage;
    }
    auto const plan = make_load_plan({.rate = rate.getValue(),
                                      .tasks = tasks.getValue(),
                                      .run_times = *run_times,
                                      .seconds = seconds.getValue(),
                                      .seed = seed.getValue()});
    boost::asio::io_context io(1);
    base::machine_clock const clock;
    load_generator generator(
        io, clock,
        {.entries = entries.getValue(),
         .route = route.getValue(),
         .token = token.getValue(),
         .key_suffix = std::to_string(getpid()) + "-" + std::to_string(seed.getValue()),
         .seed = seed.getValue(),
         .max_attempts = attempts.getValue(),
         .wait = std::chrono::milliseconds(wait.getValue())},
        plan);
    generator.start();
    io.run();
    return print_report(
        generator,
        targets ? std::optional(ideal_options{.targets = *targets,
                                              .network = milliseconds_f(network.getValue())})
                : std::nullopt,
        trace.getValue());
}

} // namespace filbertroad::standin

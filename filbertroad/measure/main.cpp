#include "filbertroad/measure/comparison.hpp"
#include "filbertroad/measure/trace.hpp"
#include "filbertroad/measure/trace_generator.hpp"
#include "filbertroad/measure/zone_change.hpp"

#include <fstream>
#include <iostream>
#include <string>
#include <tclap/CmdLine.h>

namespace measure = filbertroad::measure;

namespace
{

struct arguments
{
    TCLAP::CmdLine line{
        "Replays traces of jobs with the scheduler, ideal schedulers and baselines; "
        "prints NAME VALUE UNIT lines.",
        ' ', "0.1"};
    TCLAP::ValueArg<std::string> commit{
        "", "commit", "Commit to name in the output", false, "unknown", "HASH", this->line};
    TCLAP::ValueArg<unsigned> seed{"", "seed", "First seed", false, 1, "NUMBER", this->line};
    TCLAP::ValueArg<unsigned> seeds{"", "seeds", "Number of seeds", false, 5, "NUMBER", this->line};
    TCLAP::ValueArg<unsigned> jobs{"",   "jobs",   "Jobs in a trace", false,
                                   2000, "NUMBER", this->line};
    TCLAP::ValueArg<unsigned> threads{"", "threads", "Threads", false, 2, "NUMBER", this->line};
    TCLAP::ValueArg<std::string> name_filter{
        "", "only", "Only scenarios whose name contains TEXT", false, "", "TEXT", this->line};
    TCLAP::SwitchArg zone_change{"", "zone-change", "Measure only zone_change_work_ratio",
                                 this->line};
    TCLAP::SwitchArg no_baselines{"", "no-baselines", "Skip the baselines", this->line};
    TCLAP::ValueArg<std::string> trace{"",     "trace",   "Replay this trace only", false, "",
                                       "FILE", this->line};
    TCLAP::ValueArg<std::string> record{
        "",     "record",  "Write a trace of Sabzpari with fourfold speeds to FILE", false, "",
        "FILE", this->line};
    TCLAP::ValueArg<double> load{
        "", "load", "Load of the recorded trace over capacity", false, 0.95, "SHARE", this->line};
};

int replay_file(std::string const& path)
{
    std::ifstream file(path);
    auto const input = measure::read_trace(file);
    if (!input.has_value())
    {
        std::cerr << path << ": " << input.error().detail << '\n';
        return 1;
    }
    measure::compare_trace(input.value(), std::cout);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    arguments given;
    given.line.parse(argc, argv);
    if (given.record.isSet())
    {
        std::ofstream file(given.record.getValue());
        measure::write_trace(measure::generate({.speed_range = 4,
                                                .load = given.load.getValue(),
                                                .jobs = given.jobs.getValue(),
                                                .seed = given.seed.getValue()}),
                             file);
        return file.good() ? 0 : 1;
    }
    std::cout << "# commit " << given.commit.getValue() << '\n';
    if (given.trace.isSet())
    {
        return replay_file(given.trace.getValue());
    }
    std::cout << "# seeds " << given.seed.getValue() << " to "
              << given.seed.getValue() + given.seeds.getValue() - 1 << ", " << given.jobs.getValue()
              << " jobs each\n";
    measure::comparison_options const options{.first_seed = given.seed.getValue(),
                                              .seeds = given.seeds.getValue(),
                                              .jobs = given.jobs.getValue(),
                                              .threads = given.threads.getValue(),
                                              .name_filter = given.name_filter.getValue(),
                                              .with_baselines = !given.no_baselines.getValue()};
    if (!given.zone_change.getValue())
    {
        measure::compare(options, std::cout);
    }
    measure::measure_zone_change(options, std::cout);
    return 0;
}

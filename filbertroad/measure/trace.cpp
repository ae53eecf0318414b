#include "filbertroad/measure/trace.hpp"

#include <istream>
#include <ostream>
#include <sstream>

namespace filbertroad::measure
{
namespace
{

bool parse_line(std::string const& line, trace& parsed)
{
    std::istringstream fields(line);
    std::string keyword;
    fields >> keyword;
    if (keyword == "latency")
    {
        fields >> parsed.local_latency >> parsed.zone_latency >> parsed.caller_latency;
        return !fields.fail();
    }
    if (keyword == "target")
    {
        trace_target target;
        fields >> target.name >> target.zone >> target.slots >> target.slowness;
        parsed.targets.push_back(target);
        return !fields.fail() && target.slots > 0 && target.slowness > 0;
    }
    if (keyword != "job")
    {
        return false;
    }
    trace_job job;
    fields >> job.arrival >> job.team >> job.route;
    if (fields.fail() || (!parsed.jobs.empty() && job.arrival < parsed.jobs.back().arrival))
    {
        return false;
    }
    std::uint32_t run_us = 0;
    while (fields >> run_us)
    {
        job.run_us.push_back(run_us);
    }
    bool const valid = fields.eof() && !job.run_us.empty();
    parsed.jobs.push_back(std::move(job));
    return valid;
}

} // namespace

double trace::total_work() const
{
    double work = 0;
    for (auto const& job : this->jobs)
    {
        for (auto const run_us : job.run_us)
        {
            work += run_us;
        }
    }
    return work;
}

double trace::capacity() const
{
    double capacity = 0;
    for (auto const& target : this->targets)
    {
        capacity += target.slots / target.slowness;
    }
    return capacity;
}

base::result<trace, base::error<trace_error>> read_trace(std::istream& in)
{
    trace parsed;
    std::string line;
    for (int line_number = 1; std::getline(in, line); ++line_number)
    {
        if (!line.empty() && line[0] != '#' && !parse_line(line, parsed))
        {
            return base::error<trace_error>{trace_error::invalid_line,
                                            "line " + std::to_string(line_number) + ": " + line};
        }
    }
    if (parsed.targets.empty())
    {
        return base::error<trace_error>{trace_error::no_targets, "the trace has no `target` line"};
    }
    return parsed;
}

void write_trace(trace const& input, std::ostream& out)
{
    out.precision(17);
    out << "latency " << input.local_latency << ' ' << input.zone_latency << ' '
        << input.caller_latency << '\n';
    for (auto const& target : input.targets)
    {
        out << "target " << target.name << ' ' << target.zone << ' ' << target.slots << ' '
            << target.slowness << '\n';
    }
    for (auto const& job : input.jobs)
    {
        out << "job " << job.arrival << ' ' << job.team << ' ' << job.route;
        for (auto const run_us : job.run_us)
        {
            out << ' ' << run_us;
        }
        out << '\n';
    }
}

} // namespace filbertroad::measure

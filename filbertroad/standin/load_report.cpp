#include "filbertroad/standin/load_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <string_view>
#include <utility>

namespace filbertroad::standin
{
namespace
{

std::string decimal(double value)
{
    char text[64];
    auto const size = std::snprintf(text, sizeof text, "%.3f", value);
    return {text, static_cast<std::size_t>(std::clamp(size, 0, 63))};
}

double mean(std::vector<double> const& values)
{
    return values.empty() ? 0
                          : std::accumulate(values.begin(), values.end(), 0.0) /
                                static_cast<double>(values.size());
}

/// Nearest-rank percentile of sorted values.
double percentile(std::vector<double> const& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

void add_times(std::vector<figure>& lines, std::string const& name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    lines.push_back({name + "_mean", mean(values), "ms"});
    lines.push_back({name + "_p50", percentile(values, 0.50), "ms"});
    lines.push_back({name + "_p99", percentile(values, 0.99), "ms"});
}

double count(std::span<job_record const> records, std::optional<answer_verdict> verdict)
{
    return static_cast<double>(std::count_if(records.begin(), records.end(),
                                             [&](job_record const& record)
                                             { return record.verdict == verdict; }));
}

bool is_complete(job_record const& record)
{
    return record.verdict == answer_verdict::complete;
}

/// Ideal response times of the complete jobs.
std::vector<double> ideal_times(std::span<job_record const> records, ideal_options const& ideal)
{
    std::vector<ideal_job> jobs;
    std::vector<bool> counted;
    for (auto const& record : records)
    {
        if (record.verdict == answer_verdict::refused)
        {
            continue;
        }
        ideal_job job{.submitted = record.submitted, .run_times = {}};
        for (auto const run_ms : record.run_ms)
        {
            job.run_times.emplace_back(run_ms);
        }
        jobs.push_back(std::move(job));
        counted.push_back(is_complete(record));
    }
    auto const all = ideal_response_times(ideal.targets, ideal.network, jobs);
    std::vector<double> result;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (counted[i])
        {
            result.push_back(all[i].count());
        }
    }
    return result;
}

double ratio(double value, double base)
{
    return base > 0 ? value / base : 0;
}

} // namespace

std::string to_line(figure const& line)
{
    bool const is_whole = line.value == std::floor(line.value) && line.unit == "count";
    auto const value =
        is_whole ? std::to_string(static_cast<std::uint64_t>(line.value)) : decimal(line.value);
    return line.name + " " + value + " " + line.unit;
}

std::vector<figure> load_figures(std::span<job_record const> records,
                                 std::optional<ideal_options> const& ideal)
{
    std::vector<double> times;
    std::vector<double> lags;
    double resubmissions = 0;
    for (auto const& record : records)
    {
        lags.push_back((record.submitted - record.planned).count());
        resubmissions += record.attempts > 0 ? record.attempts - 1 : 0;
        if (is_complete(record))
        {
            times.push_back((record.ended - record.submitted).count());
        }
    }
    std::vector<figure> lines{{"jobs", static_cast<double>(records.size()), "count"},
                              {"complete", count(records, answer_verdict::complete), "count"},
                              {"failed", count(records, answer_verdict::failed), "count"},
                              {"refused", count(records, answer_verdict::refused), "count"},
                              {"lost_answers", count(records, std::nullopt), "count"},
                              {"wrong_answers", count(records, answer_verdict::wrong), "count"},
                              {"resubmissions", resubmissions, "count"}};
    add_times(lines, "response_time", times);
    std::sort(lags.begin(), lags.end());
    lines.push_back({"submission_lag_p99", percentile(lags, 0.99), "ms"});
    if (ideal)
    {
        auto base = ideal_times(records, *ideal);
        add_times(lines, "ideal_time", base);
        std::sort(times.begin(), times.end());
        std::sort(base.begin(), base.end());
        lines.push_back({"response_ratio_mean", ratio(mean(times), mean(base)), "ratio"});
        lines.push_back({"response_ratio_p99",
                         ratio(percentile(times, 0.99), percentile(base, 0.99)), "ratio"});
    }
    return lines;
}

std::string to_trace_line(job_record const& record)
{
    std::string_view state = "lost";
    if (record.verdict)
    {
        switch (*record.verdict)
        {
        case answer_verdict::complete:
            state = "complete";
            break;
        case answer_verdict::failed:
            state = "failed";
            break;
        case answer_verdict::refused:
            state = "refused";
            break;
        case answer_verdict::ask_again:
        case answer_verdict::wrong:
            state = "wrong";
            break;
        }
    }
    auto line = record.key + " " + decimal(record.submitted.count()) + " " +
                decimal(record.ended.count()) + " " + std::string(state) + " " +
                std::to_string(record.attempts);
    char separator = ' ';
    for (auto const run_ms : record.run_ms)
    {
        line += std::exchange(separator, ',') + std::to_string(run_ms);
    }
    return line;
}

} // namespace filbertroad::standin

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

std::string format_decimal(double value)
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
double percentile(std::vector<double> const& sorted, double fraction)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const rank =
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

void add_time_metrics(std::vector<load_metric>& metrics, std::string const& name,
                      std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    metrics.push_back({name + "_mean", mean(values), "ms"});
    metrics.push_back({name + "_p50", percentile(values, 0.50), "ms"});
    metrics.push_back({name + "_p99", percentile(values, 0.99), "ms"});
}

double count_outcome(std::span<job_record const> records, std::optional<submission_outcome> outcome)
{
    return static_cast<double>(std::count_if(records.begin(), records.end(),
                                             [&](job_record const& record)
                                             { return record.outcome == outcome; }));
}

bool is_complete(job_record const& record)
{
    return record.outcome == submission_outcome::complete;
}

/// Response times of the complete jobs under the ideal scheduler.
std::vector<double> ideal_times(std::span<job_record const> records, ideal_options const& ideal)
{
    std::vector<ideal_job> jobs;
    std::vector<bool> counted;
    for (auto const& record : records)
    {
        if (record.outcome == submission_outcome::refused)
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

std::string to_line(load_metric const& metric)
{
    bool const is_integer_count =
        metric.value == std::floor(metric.value) && metric.unit == "count";
    auto const value = is_integer_count ? std::to_string(static_cast<std::uint64_t>(metric.value))
                                        : format_decimal(metric.value);
    return metric.name + " " + value + " " + metric.unit;
}

std::vector<load_metric> compute_load_metrics(std::span<job_record const> records,
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
    std::vector<load_metric> metrics{
        {"jobs", static_cast<double>(records.size()), "count"},
        {"complete", count_outcome(records, submission_outcome::complete), "count"},
        {"failed", count_outcome(records, submission_outcome::failed), "count"},
        {"refused", count_outcome(records, submission_outcome::refused), "count"},
        {"lost_answers", count_outcome(records, std::nullopt), "count"},
        {"wrong_answers", count_outcome(records, submission_outcome::wrong), "count"},
        {"resubmissions", resubmissions, "count"}};
    add_time_metrics(metrics, "response_time", times);
    std::sort(lags.begin(), lags.end());
    metrics.push_back({"submission_lag_p99", percentile(lags, 0.99), "ms"});
    if (ideal)
    {
        auto base = ideal_times(records, *ideal);
        add_time_metrics(metrics, "ideal_time", base);
        std::sort(times.begin(), times.end());
        std::sort(base.begin(), base.end());
        metrics.push_back({"response_ratio_mean", ratio(mean(times), mean(base)), "ratio"});
        metrics.push_back({"response_ratio_p99",
                           ratio(percentile(times, 0.99), percentile(base, 0.99)), "ratio"});
    }
    return metrics;
}

std::string to_trace_line(job_record const& record)
{
    std::string_view state = "lost";
    if (record.outcome)
    {
        switch (*record.outcome)
        {
        case submission_outcome::complete:
            state = "complete";
            break;
        case submission_outcome::failed:
            state = "failed";
            break;
        case submission_outcome::refused:
            state = "refused";
            break;
        case submission_outcome::retry:
        case submission_outcome::wrong:
            state = "wrong";
            break;
        }
    }
    auto line = record.key + " " + format_decimal(record.submitted.count()) + " " +
                format_decimal(record.ended.count()) + " " + std::string(state) + " " +
                std::to_string(record.attempts);
    char separator = ' ';
    for (auto const run_ms : record.run_ms)
    {
        line += std::exchange(separator, ',') + std::to_string(run_ms);
    }
    return line;
}

} // namespace filbertroad::standin

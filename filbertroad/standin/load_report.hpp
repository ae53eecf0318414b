#ifndef FILBERTROAD_STANDIN_LOAD_REPORT_HPP
#define FILBERTROAD_STANDIN_LOAD_REPORT_HPP

/// Metrics of a load run.
///
///     auto metrics = standin::compute_load_metrics(records, ideal);
///     for (auto const& metric : metrics) std::cout << standin::to_line(metric) << '\n';

#include "filbertroad/standin/ideal.hpp"
#include "filbertroad/standin/job_response.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace filbertroad::standin
{

/// History of one job. Times are relative to the start of the run.
struct job_record
{
    std::string key;
    std::vector<std::uint32_t> run_ms;
    milliseconds_f planned{};
    milliseconds_f submitted{};
    milliseconds_f ended{};
    std::uint32_t attempts = 0;
    /// Absent if the response is lost: no submission within the limit of attempts got a final one.
    std::optional<submission_outcome> outcome;
};

struct ideal_options
{
    std::vector<ideal_target> targets;
    milliseconds_f network{};
};

/// One printed value with its unit.
struct load_metric
{
    std::string name;
    double value = 0;
    std::string unit;
};

/// Formats a metric as `NAME VALUE UNIT`.
[[nodiscard]] std::string to_line(load_metric const& metric);

/// Computes job counts, response times and, if `ideal` is given, the ratios of response times to
/// the ideal scheduler. `records` must be sorted by submission time. The ideal scheduler runs every
/// job that was not refused. The ratios compare the mean and the 99th percentile of complete jobs
/// with those of the same jobs under the ideal scheduler.
[[nodiscard]] std::vector<load_metric>
compute_load_metrics(std::span<job_record const> records,
                     std::optional<ideal_options> const& ideal);

/// Formats a line of the trace file: `KEY SUBMITTED_MS ENDED_MS STATE ATTEMPTS RUN_MS,RUN_MS,...`.
[[nodiscard]] std::string to_trace_line(job_record const& record);

} // namespace filbertroad::standin

#endif

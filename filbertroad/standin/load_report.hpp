#ifndef FILBERTROAD_STANDIN_LOAD_REPORT_HPP
#define FILBERTROAD_STANDIN_LOAD_REPORT_HPP

/// Figures of a load run.
///
///     auto lines = standin::load_figures(records, ideal);
///     for (auto const& line : lines) std::cout << standin::to_line(line) << '\n';

#include "filbertroad/standin/ideal.hpp"
#include "filbertroad/standin/job_response.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace filbertroad::standin
{

/// What happened to one job. Times are since the start of the run.
struct job_record
{
    std::string key;
    std::vector<std::uint32_t> run_ms;
    milliseconds_f planned{};
    milliseconds_f submitted{};
    milliseconds_f ended{};
    std::uint32_t attempts = 0;
    /// Absent if the answer is lost: none came within the budget of resubmissions.
    std::optional<submission_outcome> outcome;
};

struct ideal_options
{
    std::vector<ideal_target> targets;
    milliseconds_f network{};
};

/// One printed figure.
struct load_metric
{
    std::string name;
    double value = 0;
    std::string unit;
};

/// `NAME VALUE UNIT`.
[[nodiscard]] std::string to_line(load_metric const& metric);

/// Counts, response times, and their ratio to the ideal if there is one. `records` must be ordered
/// by time of submission. The ideal runs every job that was not refused; the ratios compare the
/// mean and the 99th percentile of complete jobs with those of the same jobs in the ideal.
[[nodiscard]] std::vector<load_metric>
compute_load_metrics(std::span<job_record const> records,
                     std::optional<ideal_options> const& ideal);

/// Line of the trace file: `KEY SUBMITTED_MS ENDED_MS STATE ATTEMPTS RUN_MS,RUN_MS,...`.
[[nodiscard]] std::string to_trace_line(job_record const& record);

} // namespace filbertroad::standin

#endif

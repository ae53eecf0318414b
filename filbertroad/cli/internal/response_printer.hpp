#ifndef FILBERTROAD_CLI_INTERNAL_RESPONSE_PRINTER_HPP
#define FILBERTROAD_CLI_INTERNAL_RESPONSE_PRINTER_HPP

/// Prints answers of entries for people, or as they came with --json.

#include "filbertroad/cli/command_line.hpp"

#include <boost/json/value.hpp>
#include <string>

namespace filbertroad::cli::internal
{

using client_result = base::result<net::http_response, base::error<client_error>>;

/// What to print of a job.
enum class job_view
{
    summary,
    results,
    /// The exit code does not depend on the state of the job.
    history,
    /// The job's answer is forgotten; a repeat of the command succeeds too.
    acknowledgement,
};

/// Whether the answer is a job that has not ended.
[[nodiscard]] bool is_unfinished_job(net::http_response const& response);

/// Prints a job's answer and returns the exit code.
[[nodiscard]] int print_job(client_result const& result, job_view view, bool as_json,
                            environment const& env);

/// Prints the state of the region.
[[nodiscard]] int print_status(client_result const& result, bool as_json, environment const& env);

/// Prints `text_before` and the new version.
[[nodiscard]] int print_change(client_result const& result, std::string const& prefix, bool as_json,
                               environment const& env);

/// Prints the body as it came.
[[nodiscard]] int print_body(client_result const& result, environment const& env);

} // namespace filbertroad::cli::internal

#endif

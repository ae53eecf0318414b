#ifndef FILBERTROAD_CLI_INTERNAL_RESPONSE_PRINTER_HPP
#define FILBERTROAD_CLI_INTERNAL_RESPONSE_PRINTER_HPP

/// Prints HTTP responses of entries: as text, or with --json the unchanged response body.

#include "filbertroad/cli/command_line.hpp"

#include <boost/json/value.hpp>
#include <string>

namespace filbertroad::cli::internal
{

using client_result = base::result<net::http_response, base::error<client_error>>;

/// Which part of a job to print.
enum class job_view
{
    summary,
    results,
    /// Events of the job. The exit code does not depend on the state of the job.
    history,
    /// Confirms that the job's results were discarded. Repeating the command succeeds as well.
    acknowledgement,
};

/// Whether the response describes a job that is queued, running or interrupted.
[[nodiscard]] bool is_unfinished_job(net::http_response const& response);

/// Prints a job, or the error, and returns the exit code.
[[nodiscard]] int print_job(client_result const& result, job_view view, bool as_json,
                            environment const& env);

/// Prints the state of the region, or the error, and returns the exit code.
[[nodiscard]] int print_status(client_result const& result, bool as_json, environment const& env);

/// Prints `prefix` and the new version, or the error, and returns the exit code.
[[nodiscard]] int print_change(client_result const& result, std::string const& prefix, bool as_json,
                               environment const& env);

/// Prints the unchanged body, also of an error, and returns the exit code.
[[nodiscard]] int print_body(client_result const& result, environment const& env);

} // namespace filbertroad::cli::internal

#endif

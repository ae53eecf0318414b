#ifndef FILBERTROAD_STANDIN_JOB_RESPONSE_HPP
#define FILBERTROAD_STANDIN_JOB_RESPONSE_HPP

/// Classifies the response to a submission for the load generator.
///
///     auto outcome = standin::classify_response(result, key, task_count);
///     if (outcome == standin::submission_outcome::retry) resubmit();

#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <string_view>

namespace filbertroad::standin
{

enum class submission_outcome
{
    /// Every task succeeded, and the response has the result of every task of this key.
    complete,
    /// The job failed.
    failed,
    /// The system guarantees that no task of the job ran.
    refused,
    /// Not known whether the job ran, or it has not ended: resubmit under the same key.
    retry,
    /// The response says that the job is complete, but lacks the result of a task or has the result
    /// of another one. Also a response below status 500 that is not a JSON object.
    wrong,
};

/// `tasks` is the number of tasks that were submitted. Bodies may be the text `done KEY INDEX` or
/// its base64.
[[nodiscard]] submission_outcome classify_response(net::http_result const& result,
                                                   std::string_view key, std::uint32_t tasks);

} // namespace filbertroad::standin

#endif

#ifndef FILBERTROAD_STANDIN_JOB_RESPONSE_HPP
#define FILBERTROAD_STANDIN_JOB_RESPONSE_HPP

/// How the load tool reads the answer to a submission.
///
///     auto verdict = standin::judge_answer(result, key, task_count);
///     if (verdict == standin::answer_verdict::ask_again) resubmit();

#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <string_view>

namespace filbertroad::standin
{

enum class submission_outcome
{
    /// Every task succeeded and the answer is whole and belongs to the key.
    complete,
    /// The job ended failed.
    failed,
    /// The system says that nothing of the job ran.
    refused,
    /// Not known whether the job ran, or it has not ended: resubmit under the same key.
    retry,
    /// A complete answer that lacks a task or carries the result of another.
    wrong,
};

/// `tasks` is the number of tasks that were submitted. Bodies may be the text `done KEY INDEX` or
/// its base64.
[[nodiscard]] submission_outcome classify_response(net::http_result const& result,
                                                   std::string_view key, std::uint32_t tasks);

} // namespace filbertroad::standin

#endif

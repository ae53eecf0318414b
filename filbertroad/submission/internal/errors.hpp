#ifndef FILBERTROAD_SUBMISSION_INTERNAL_ERRORS_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_ERRORS_HPP

/// Errors of requests. One table gives each code its text on the wire, the value of not_run
/// (whether it is certain that no task of the request ran), and the retry time.
///
///     outbox.answer(number, internal::make_error(internal::error_code::key_reused, detail,
///                                                jitter_seed));

#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace filbertroad::submission::internal
{

enum class error_code : std::uint8_t
{
    bad_key,
    bad_request,
    /// The key belongs to a job with another body.
    key_reused,
    /// The key belongs to a job with another body, but another owner may have started this body: a
    /// ledger is lost, or this owner may have been replaced.
    key_reused_in_doubt,
    wrong_team,
    key_expired,
    key_in_future,
    not_owner,
    leaving,
    not_confirmed,
    /// Another owner may have accepted the key, and recovery or key lookup has not yet decided
    /// that.
    outcome_unknown,
    overloaded,
    team_over_quota,
    deadline_unreachable,
    memory_full,
    /// Admission refused the remaining tasks of an interrupted job; its other tasks may have run.
    rest_not_admitted,
    unknown_job,
    job_not_ended,
    /// The answers were acknowledged or have expired, and were discarded.
    acknowledged,
};

/// Makes an error with the retry time of the code plus jitter. `jitter_seed` spreads the retry
/// times of different requests.
[[nodiscard]] wire::request_error make_error(error_code code, std::string_view detail,
                                             std::uint64_t jitter_seed);

/// Makes an error with a retry time that the cause of the refusal gives.
[[nodiscard]] wire::request_error make_error(error_code code, std::string_view detail,
                                             std::chrono::milliseconds retry_after);

} // namespace filbertroad::submission::internal

#endif

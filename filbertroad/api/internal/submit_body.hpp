#ifndef FILBERTROAD_API_INTERNAL_SUBMIT_BODY_HPP
#define FILBERTROAD_API_INTERNAL_SUBMIT_BODY_HPP

/// Parsing of the body of a submission: `{"tasks":[{"payload":"text"}],"needs":["gpu"],
/// "deadline_ms":2000,"repeatable":false}`. Only `tasks` is required.

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace filbertroad::api::internal
{

/// Largest payload of one task.
inline constexpr std::size_t max_payload_bytes = 64UL * 1024;
/// Maximum number of labels that a job may require of its targets.
inline constexpr std::size_t max_needs = 16;
/// Longest deadline. Keys and results are retained for the same time.
inline constexpr std::int64_t max_deadline_ms = 15L * 60 * 1000;

/// Parses `body` into `job` and sets the digest of `job` to the SHA-256 of `body`. The fields that
/// do not come from the body stay as they are. Returns the first error.
[[nodiscard]] std::optional<api_error> read_submit_body(std::string_view body,
                                                        wire::job_request& job);

/// Parses `{"in_service":false,"base":7}` into `change`; `base` is optional. Returns the first
/// error.
[[nodiscard]] std::optional<api_error> read_service_body(std::string_view body,
                                                         service_state_request& change);

} // namespace filbertroad::api::internal

#endif

#ifndef FILBERTROAD_API_INTERNAL_SUBMIT_BODY_HPP
#define FILBERTROAD_API_INTERNAL_SUBMIT_BODY_HPP

/// The body of a submission: `{"tasks":[{"payload":"text"}],"needs":["gpu"],"deadline_ms":2000,
/// "repeatable":false}`. Only `tasks` is required.

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace filbertroad::api::internal
{

/// Largest payload of a task, in bytes.
inline constexpr std::size_t max_payload_bytes = 64UL * 1024;
/// Most labels that a job may need.
inline constexpr std::size_t max_needs = 16;
/// Longest deadline, in milliseconds: keys and answers are kept as long.
inline constexpr std::int64_t max_deadline_ms = 15L * 60 * 1000;

/// Reads `body` into the fields of `job` that come from it; the digest is the SHA-256 of `body`.
[[nodiscard]] std::optional<api_error> read_submit_body(std::string_view body,
                                                        wire::job_request& job);

/// Reads `{"in_service":false,"base":7}` into `change`; `base` may be absent.
[[nodiscard]] std::optional<api_error> read_service_body(std::string_view body,
                                                         service_request& change);

} // namespace filbertroad::api::internal

#endif

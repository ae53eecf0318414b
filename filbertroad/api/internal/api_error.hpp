#ifndef FILBERTROAD_API_INTERNAL_API_ERROR_HPP
#define FILBERTROAD_API_INTERNAL_API_ERROR_HPP

/// Refusals of requests and their JSON form; docs/api.md lists the codes.

#include "filbertroad/api/entry_service.hpp"
#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::api::internal
{

/// Whether it is certain that no task of the request ran, or that a change was not made.
enum class tristate
{
    yes,
    no,
    unknown,
};

struct api_error
{
    unsigned status = 400;
    std::string code = {};
    /// Names the field, its place and the value or bound.
    std::string detail = {};
    /// Path of the field, such as `tasks[3].payload`; empty if the error is about no field.
    std::string field = {};
    tristate not_run = tristate::unknown;
    std::uint32_t retry_after_ms = 0;
    /// Version that won a conflict.
    std::optional<std::uint64_t> current_version = std::nullopt;
    /// Methods of the path, for status 405.
    std::string allow = {};
};

/// A fault of the request itself: an identical request gets the same answer at any time, so that
/// no task of it can have run.
[[nodiscard]] api_error invalid(std::string_view field, std::string_view detail,
                                std::string_view code = "invalid_request");

/// Error of the owner or router of a job.
[[nodiscard]] api_error from_request_error(wire::request_error const& error);

[[nodiscard]] api_error from_change_failure(change_failure const& failure);

[[nodiscard]] net::http_response to_response(api_error const& error);

} // namespace filbertroad::api::internal

#endif

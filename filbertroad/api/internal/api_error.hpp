#ifndef FILBERTROAD_API_INTERNAL_API_ERROR_HPP
#define FILBERTROAD_API_INTERNAL_API_ERROR_HPP

/// Errors of rejected requests and their JSON form; docs/api.md lists the codes.

#include "filbertroad/api/entry_service.hpp"
#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::api::internal
{

/// Whether it is known that no task of the request ran, or that a change was not made.
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
    /// Message that names the field, its position and the value or limit.
    std::string detail = {};
    /// Path of the field, such as `tasks[3].payload`; empty if the error is about no field.
    std::string field = {};
    tristate not_run = tristate::unknown;
    std::uint32_t retry_after_ms = 0;
    /// Current version, set for conflicts.
    std::optional<std::uint64_t> current_version = std::nullopt;
    /// Value of the header Allow, set for status 405.
    std::string allow = {};
};

/// Makes an error about the request itself. An identical request is always rejected alike, so no
/// task of it can have run and not_run is `yes`.
[[nodiscard]] api_error invalid(std::string_view field, std::string_view detail,
                                std::string_view code = "invalid_request");

/// Converts an error that the owner or router of a job returned.
[[nodiscard]] api_error from_request_error(wire::request_error const& error);

[[nodiscard]] api_error from_change_failure(change_failure const& failure);

[[nodiscard]] net::http_response to_response(api_error const& error);

} // namespace filbertroad::api::internal

#endif

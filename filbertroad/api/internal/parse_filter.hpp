#ifndef FILBERTROAD_API_INTERNAL_PARSE_FILTER_HPP
#define FILBERTROAD_API_INTERNAL_PARSE_FILTER_HPP

/// Reads method, path and query of a request. The body is read after authentication, so that a
/// sender without a token costs no JSON parse.

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/api/internal/request_context.hpp"

#include <optional>

namespace filbertroad::api::internal
{

/// Longest wait for the end of a job in one request, in milliseconds.
inline constexpr std::uint32_t max_wait_ms = 60'000;

class parse_filter
{
public:
    std::optional<api_error> check(request_context& context);
};

/// Name of an operation for metrics and events.
[[nodiscard]] std::string_view to_string(operation op);

} // namespace filbertroad::api::internal

#endif

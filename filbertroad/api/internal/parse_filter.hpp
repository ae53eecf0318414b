#ifndef FILBERTROAD_API_INTERNAL_PARSE_FILTER_HPP
#define FILBERTROAD_API_INTERNAL_PARSE_FILTER_HPP

/// Parses method, path and query of a request. The body is parsed after authentication, so that an
/// unauthenticated request never causes JSON parsing.

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/api/internal/request_context.hpp"

#include <optional>

namespace filbertroad::api::internal
{

/// Longest time that one request may wait for the end of a job.
inline constexpr std::uint32_t max_wait_ms = 60'000;

class parse_filter
{
public:
    std::optional<api_error> check(request_context& context);
};

/// Name of an operation in metrics and events.
[[nodiscard]] std::string_view to_string(operation op);

} // namespace filbertroad::api::internal

#endif

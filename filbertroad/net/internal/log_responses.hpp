#ifndef FILBERTROAD_NET_INTERNAL_LOG_RESPONSES_HPP
#define FILBERTROAD_NET_INTERNAL_LOG_RESPONSES_HPP

/// Parses responses of the log service.
///
///     auto offset = internal::parse_append_response(response);
///     auto page = internal::parse_read_response(response, from);

#include "filbertroad/net/log_client.hpp"

namespace filbertroad::net::internal
{

[[nodiscard]] append_result parse_append_response(http_result const& response);

/// Also checks that the records are in order, at or after `from`, and inside the page's bounds.
[[nodiscard]] read_result parse_read_response(http_result const& response, std::uint64_t from);

} // namespace filbertroad::net::internal

#endif

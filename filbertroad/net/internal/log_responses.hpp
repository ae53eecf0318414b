#ifndef FILBERTROAD_NET_INTERNAL_LOG_RESPONSES_HPP
#define FILBERTROAD_NET_INTERNAL_LOG_RESPONSES_HPP

/// Answers of the log service as typed results.
///
///     auto offset = internal::parse_append_answer(answer);
///     auto page = internal::parse_read_answer(answer, from);

#include "filbertroad/net/log_client.hpp"

namespace filbertroad::net::internal
{

[[nodiscard]] append_result parse_append_response(http_result const& response);

/// Also checks that the records are in order, at or after `from`, and inside the page's bounds.
[[nodiscard]] read_result parse_read_response(http_result const& response, std::uint64_t from);

} // namespace filbertroad::net::internal

#endif

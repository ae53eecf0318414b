#ifndef FILBERTROAD_NET_INTERNAL_HTTP_MESSAGES_HPP
#define FILBERTROAD_NET_INTERNAL_HTTP_MESSAGES_HPP

/// Conversions between the value types of http.hpp and the messages of Boost.Beast. Included only
/// by sources that use Beast.

#include "filbertroad/net/http.hpp"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::net::internal
{

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Response with the body `{"error":{"code":..,"detail":..}}`.
[[nodiscard]] http_response error_response(unsigned status, std::string_view code,
                                           std::string_view detail);

/// Whether an error comes from the HTTP parser, rather than from the socket.
[[nodiscard]] bool is_http_error(boost::system::error_code code);

/// Validates the request target and the header fields of a parsed request. Returns a text that
/// names the invalid field, or std::nullopt if all are valid.
[[nodiscard]] std::optional<std::string> find_head_error(beast_request const& message);

/// Moves the body out of `message`. The header fields are copied and stay in `message`.
[[nodiscard]] http_request to_request(beast_request& message);

/// Headers with control characters or an empty name are omitted.
[[nodiscard]] beast_response to_message(http_response response, beast_request const& request,
                                        bool keep_alive);

/// Whether the request can be written as HTTP: a path that starts with '/', no control characters,
/// and no white space in the method, path, query or header names.
[[nodiscard]] bool is_valid(http_request const& request);

[[nodiscard]] beast_request to_message(http_request request, std::string const& host);

[[nodiscard]] http_response to_response(beast_response&& message);

/// Maps an error that occurred while a response was read.
[[nodiscard]] net_error to_net_error(boost::system::error_code code);

} // namespace filbertroad::net::internal

#endif

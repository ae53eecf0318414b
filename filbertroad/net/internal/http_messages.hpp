#ifndef FILBERTROAD_NET_INTERNAL_HTTP_MESSAGES_HPP
#define FILBERTROAD_NET_INTERNAL_HTTP_MESSAGES_HPP

/// Conversions between the value types of http.hpp and the messages of Boost.Beast. Only the
/// sources that use Beast include this header.

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

/// Answer `{"error":{"code":..,"detail":..}}`.
[[nodiscard]] http_response error_response(unsigned status, std::string_view code,
                                           std::string_view detail);

/// Whether an error comes from the parser, rather than from the socket.
[[nodiscard]] bool is_http_error(boost::system::error_code code);

/// What is wrong with the head of a request that parses, as a text that names the field; nothing
/// if it is good.
[[nodiscard]] std::optional<std::string> find_head_error(beast_request const& message);

/// Takes the body out of `message` and leaves its head.
[[nodiscard]] http_request to_request(beast_request& message);

/// Headers with control characters are left out.
[[nodiscard]] beast_response to_message(http_response response, beast_request const& request,
                                        bool keep_alive);

/// Whether the request can be written as HTTP.
[[nodiscard]] bool is_valid(http_request const& request);

[[nodiscard]] beast_request to_message(http_request request, std::string const& host);

[[nodiscard]] http_response to_response(beast_response&& message);

/// Kind of an error that ended the reading of an answer.
[[nodiscard]] net_error to_net_error(boost::system::error_code code);

} // namespace filbertroad::net::internal

#endif

#include "filbertroad/net/internal/http_messages.hpp"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace filbertroad::net::internal
{
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace
{

/// Whether `text` is safe in a header or request line, where control characters other than a tab
/// are not allowed.
bool has_no_control_characters(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

std::string_view as_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_ascii(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](unsigned char c) { return c > 127; });
}

/// Replaces bytes over 127 by question marks. Header values are copied into strings of link
/// messages, which must be UTF-8: a message with other bytes closes its link.
std::string replace_non_ascii(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c > 127; }, '?');
    return text;
}

} // namespace

http_response error_response(unsigned status, std::string_view code, std::string_view detail)
{
    boost::json::object body{{"error", {{"code", code}, {"detail", detail}}}};
    return {.status = status, .body = boost::json::serialize(body)};
}

bool is_http_error(error_code code)
{
    return code.category() == make_error_code(http::error::bad_method).category();
}

std::optional<std::string> find_head_error(beast_request const& message)
{
    auto const target = as_view(message.target());
    if (target.empty() || target.front() != '/' || !is_ascii(target))
    {
        return "request target: expected a path in ASCII";
    }
    // Header values are copied into strings of link messages, which must be UTF-8. A message with
    // other bytes closes its link.
    for (auto const& field : message)
    {
        if (!is_ascii(as_view(field.value())))
        {
            return "header " + std::string(field.name_string()) + ": expected ASCII";
        }
    }
    return std::nullopt;
}

http_request to_request(beast_request& message)
{
    http_request result;
    result.method = std::string(message.method_string());
    auto const target = as_view(message.target());
    auto const query_start = target.find('?');
    result.path = target.substr(0, query_start);
    if (query_start != std::string_view::npos)
    {
        result.query = target.substr(query_start + 1);
    }
    for (auto const& field : message)
    {
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    result.body = std::move(message.body());
    return result;
}

beast_response to_message(http_response response, beast_request const& request, bool keep_alive)
{
    beast_response message;
    message.result(response.status);
    message.version(request.version() == 10 ? 10 : 11);
    message.set(http::field::content_type, response.content_type);
    for (auto const& header : response.headers)
    {
        if (!header.name.empty() && has_no_control_characters(header.name) &&
            has_no_control_characters(header.value))
        {
            message.set(header.name, header.value);
        }
    }
    bool const is_truncated = response.fault == injected_fault::cut_body;
    message.keep_alive(keep_alive && !is_truncated);
    bool const has_no_body =
        response.status < 200 || response.status == 204 || response.status == 304;
    if (!has_no_body)
    {
        message.content_length(response.body.size() + (is_truncated ? 1 : 0));
        if (request.method() != http::verb::head)
        {
            message.body() = std::move(response.body);
        }
    }
    return message;
}

bool is_valid(http_request const& request)
{
    auto const is_word = [](std::string_view text)
    {
        return !text.empty() && has_no_control_characters(text) &&
               text.find_first_of(" \t") == std::string_view::npos;
    };
    return is_word(request.method) && is_word(request.path) && request.path.front() == '/' &&
           (request.query.empty() || is_word(request.query)) &&
           std::all_of(request.headers.begin(), request.headers.end(),
                       [&](http_header const& header)
                       { return is_word(header.name) && has_no_control_characters(header.value); });
}

beast_request to_message(http_request request, std::string const& host)
{
    beast_request message;
    message.method_string(request.method);
    message.target(request.query.empty() ? request.path : request.path + "?" + request.query);
    message.set(http::field::host, host);
    if (!request.body.empty())
    {
        message.set(http::field::content_type, "application/json");
    }
    for (auto const& header : request.headers)
    {
        message.set(header.name, header.value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_response to_response(beast_response&& message)
{
    http_response result;
    result.status = message.result_int();
    result.content_type = std::string(message[http::field::content_type]);
    for (auto const& field : message)
    {
        result.headers.push_back(
            {std::string(field.name_string()), replace_non_ascii(std::string(field.value()))});
    }
    result.body = std::move(message.body());
    return result;
}

net_error to_net_error(error_code code)
{
    if (code == http::error::body_limit || code == http::error::header_limit ||
        code == http::error::buffer_overflow)
    {
        return net_error::too_large;
    }
    bool const is_http = is_http_error(code);
    return is_http && code != http::error::end_of_stream && code != http::error::partial_message
               ? net_error::protocol
               : net_error::closed;
}

} // namespace filbertroad::net::internal

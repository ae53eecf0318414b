#include "filbertroad/net/http.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace filbertroad::net
{
namespace
{

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::string_view find_header(std::vector<http_header> const& headers, std::string_view name)
{
    auto const found = std::find_if(headers.begin(), headers.end(),
                                    [&](http_header const& header)
                                    { return equals_ignoring_case(header.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

/// Decodes percent escapes and replaces '+' by a space. Malformed escapes are copied unchanged.
std::string percent_decode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned char value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                text.data() + i + 3)
        {
            result.push_back(static_cast<char>(value));
            i += 2;
        }
        else
        {
            result.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return result;
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    return find_header(this->headers, name);
}

std::string_view http_response::header(std::string_view name) const
{
    return find_header(this->headers, name);
}

std::string http_request::query_value(std::string_view name) const
{
    std::string_view remaining = this->query;
    while (!remaining.empty())
    {
        auto const parameter = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
        auto const equals = parameter.find('=');
        if (percent_decode(parameter.substr(0, equals)) == name)
        {
            return equals == std::string_view::npos ? std::string()
                                                    : percent_decode(parameter.substr(equals + 1));
        }
    }
    return {};
}

http_result send_and_wait(std::string_view address, http_request request,
                          std::chrono::milliseconds timeout, std::shared_ptr<tls_context const> tls)
{
    boost::asio::io_context io(1);
    http_client client(io, address, 1, std::move(tls));
    std::optional<http_result> result;
    client.send(std::move(request), timeout,
                [&](http_result response) { result.emplace(std::move(response)); });
    while (!result && io.run_one() != 0)
    {
    }
    if (!result)
    {
        return http_failure{
            {net_error::closed, "the event loop stopped before the request completed"}, true};
    }
    return std::move(*result);
}

} // namespace filbertroad::net

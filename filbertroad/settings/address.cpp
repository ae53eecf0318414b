#include "filbertroad/settings/address.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <string>

namespace filbertroad::settings
{
namespace
{

bool is_valid_port(std::string_view text)
{
    std::uint16_t port = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), port);
    return code == std::errc() && end == text.data() + text.size() && port != 0;
}

bool is_ip(std::string_view text, int family)
{
    in6_addr parsed{};
    return inet_pton(family, std::string(text).c_str(), &parsed) == 1;
}

} // namespace

bool is_valid_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_valid_port(text.substr(colon + 1)))
    {
        return false;
    }
    auto const host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        return is_ip(host.substr(1, host.size() - 2), AF_INET6);
    }
    return is_ip(host, AF_INET);
}

} // namespace filbertroad::settings

#ifndef FILBERTROAD_SETTINGS_ADDRESS_HPP
#define FILBERTROAD_SETTINGS_ADDRESS_HPP

/// Validation of IP addresses with ports in settings and on the command line.
///
///     settings::is_valid_address("127.0.0.1:7101");  // true
///     settings::is_valid_address("localhost:7101");  // false: names are not resolved

#include <string_view>

namespace filbertroad::settings
{

/// Returns true if `text` is `IPV4:PORT` or `[IPV6]:PORT` with a port of 1 to 65535. Thread safe.
[[nodiscard]] bool is_valid_address(std::string_view text);

} // namespace filbertroad::settings

#endif

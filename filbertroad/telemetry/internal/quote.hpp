#ifndef FILBERTROAD_TELEMETRY_INTERNAL_QUOTE_HPP
#define FILBERTROAD_TELEMETRY_INTERNAL_QUOTE_HPP

/// JSON string quoting. The serialiser of Boost.JSON is not available here, since Boost.JSON is
/// compiled into a library of a higher layer.

#include <string>
#include <string_view>

namespace filbertroad::telemetry::internal
{

/// Returns `text` as a quoted JSON string.
[[nodiscard]] inline std::string quote(std::string_view text)
{
    constexpr std::string_view hex_digits = "0123456789abcdef";
    std::string out = "\"";
    for (char const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += c;
        }
        else if (byte < 0x20 || byte == 0x7f)
        {
            out += "\\u00";
            out += hex_digits[byte >> 4U];
            out += hex_digits[byte & 0xfU];
        }
        else
        {
            out += c;
        }
    }
    return out + '"';
}

} // namespace filbertroad::telemetry::internal

#endif

#ifndef FILBERTROAD_NET_BASE64_HPP
#define FILBERTROAD_NET_BASE64_HPP

/// Base64 with padding (RFC 4648), implemented with OpenSSL.
///
///     auto text = net::encode_base64(bytes);
///     std::optional<std::string> bytes = net::decode_base64(text);

#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::net
{

/// Encodes `bytes` as base64. Thread safe.
[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// Decodes a base64 text. Returns std::nullopt if `text` is not base64 with padding. Thread safe.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace filbertroad::net

#endif

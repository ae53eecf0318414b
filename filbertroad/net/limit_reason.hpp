#ifndef FILBERTROAD_NET_LIMIT_REASON_HPP
#define FILBERTROAD_NET_LIMIT_REASON_HPP

/// Limits for which a connection is refused or closed.
///
///     limits.on_limit = [&](net::limit_reason reason) { count(net::to_string(reason)); };

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>

namespace filbertroad::net
{

enum class limit_reason
{
    /// Head, trailer section or chunk header of a message.
    header_size,
    body_size,
    /// A head, a body or the sending of a response took too long.
    message_time,
    /// Connections of a server.
    connections,
    /// Bytes held for all connections of a server.
    memory,
    /// File descriptors of the process.
    descriptors,
    /// Response of a server that this process calls.
    response_size,
    /// Requests that wait for a connection to a server that this process calls.
    waiting_requests,
    /// Message on a link, or bytes that wait on links.
    link_size,
    /// Links that have not been opened by their peer.
    links,
};

inline constexpr std::array<std::string_view, 10> limit_reason_names{
    "header_size", "body_size",     "message_time",     "connections", "memory",
    "descriptors", "response_size", "waiting_requests", "link_size",   "links"};

[[nodiscard]] constexpr std::string_view to_string(limit_reason reason)
{
    return limit_reason_names[static_cast<std::size_t>(reason)];
}

/// Called each time that a limit closes or refuses a connection; from any thread.
using limit_handler = std::function<void(limit_reason)>;

} // namespace filbertroad::net

#endif

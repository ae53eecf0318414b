#include "filbertroad/server/peer_limits.hpp"

#include "filbertroad/limits/machine_limits.hpp"

#include <algorithm>

namespace filbertroad::server
{
namespace
{

using limits::kib;
using limits::mib;

/// Share of the descriptors that is left to links from agents and other entries.
constexpr std::size_t link_share = 4;

/// Buffers of each socket of a caller. The kernel doubles them and would otherwise let each grow to
/// several megabytes.
constexpr std::size_t socket_buffer_bytes = 32 * kib;

/// Header fields and encoding of a message that carries the largest body.
constexpr std::size_t message_overhead_bytes = mib;

/// Largest message of a link where the memory allows it: the results of 270 tasks of 64 KiB each.
constexpr std::size_t max_message_bytes = 32 * mib;

/// The target of an agent announces itself in a few hundred bytes.
constexpr std::size_t max_announcement_bytes = 64 * kib;
constexpr std::size_t max_agent_connections = 64;

net::link_limits make_link_limits(std::size_t memory, std::size_t largest_body,
                                  net::limit_handler const& handler)
{
    net::link_limits limits;
    limits.max_message_bytes =
        std::min(max_message_bytes, std::max(largest_body + message_overhead_bytes, memory / 8));
    limits.max_send_backlog_bytes = 2 * limits.max_message_bytes;
    limits.max_buffered_bytes = std::max(memory / 4, limits.max_message_bytes);
    limits.on_limit = handler;
    return limits;
}

} // namespace

entry_limits make_entry_limits(settings::entry_settings const& settings, std::size_t descriptors,
                               net::limit_handler const& handler)
{
    auto const all = limits::usable_descriptors(settings.file_descriptors, descriptors);
    auto const links = std::max<std::size_t>(1, all / link_share);
    auto const connections = limits::connections_beside(all, limits::reserved_descriptors +
                                                                 limits::own_descriptors + links);
    auto const memory = limits::peer_bytes(settings.memory_mb);
    auto const largest_body = static_cast<std::size_t>(settings.max_body_bytes);
    entry_limits result;
    result.http.max_body_bytes = largest_body;
    result.http.max_connections =
        std::min(static_cast<std::size_t>(settings.max_connections), connections);
    // Even on a small machine the largest body is received.
    result.http.max_buffered_bytes = std::max(memory / 4, largest_body + message_overhead_bytes);
    result.http.receive_buffer_bytes = socket_buffer_bytes;
    result.http.send_buffer_bytes = socket_buffer_bytes;
    result.http.on_limit = handler;
    result.links = make_link_limits(memory, largest_body, handler);
    result.links.max_accepted_links = std::min(result.links.max_accepted_links, links);
    result.max_held_bytes = std::min(static_cast<std::size_t>(settings.max_held_bytes), memory / 4);
    return result;
}

agent_limits make_agent_limits(settings::agent_settings const& settings,
                               net::limit_handler const& handler)
{
    auto const memory = limits::peer_bytes(settings.memory_mb);
    agent_limits result;
    result.http.max_body_bytes = max_announcement_bytes;
    result.http.max_connections = max_agent_connections;
    result.http.max_buffered_bytes = memory / 8;
    result.http.on_limit = handler;
    result.links = make_link_limits(memory, 0, handler);
    result.max_ledger_bytes =
        std::min(static_cast<std::size_t>(settings.max_ledger_bytes), memory / 4);
    return result;
}

} // namespace filbertroad::server

#ifndef FILBERTROAD_NODE_INTERNAL_USABLE_ADDRESS_HPP
#define FILBERTROAD_NODE_INTERNAL_USABLE_ADDRESS_HPP

/// Checks the addresses of entries that come from the platform's records, where other programs
/// write too. A peer closes its link when it receives a name or an address that is not UTF-8.
///
///     if (!internal::is_usable(entry, log)) return;

#include "filbertroad/dispatch/messages.hpp"
#include "filbertroad/telemetry/event_log.hpp"

namespace filbertroad::node::internal
{

/// Returns false, and writes an event, unless the name is UTF-8 of at most `max_peer_name_bytes`
/// and the link is IP:PORT.
[[nodiscard]] bool is_usable(dispatch::entry_address const& entry, telemetry::event_log& log);

/// Most agents and most entries whose names a process keeps. Hundreds exist; a peer that sends
/// hellos of ever new names must not take more memory.
inline constexpr std::size_t max_known_peers = 4'096;

/// Most bytes of the names and addresses of entries, which are sent in one message.
inline constexpr std::size_t max_known_entry_bytes = 128UL * 1024;

/// Longest name of a process, as for names in settings and keys of records.
inline constexpr std::size_t max_peer_name_bytes = 256;

} // namespace filbertroad::node::internal

#endif

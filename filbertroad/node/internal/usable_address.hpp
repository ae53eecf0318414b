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

/// Returns false, and writes an event, unless the name is UTF-8 and the link is IP:PORT.
[[nodiscard]] bool is_usable(dispatch::entry_address const& entry, telemetry::event_log& log);

} // namespace filbertroad::node::internal

#endif

#ifndef FILBERTROAD_SERVER_PEER_LIMITS_HPP
#define FILBERTROAD_SERVER_PEER_LIMITS_HPP

/// Limits for what callers and peers can make an entry or an agent hold, derived from the memory
/// and the file descriptors of its machine (docs/design/http-limits.md).
///
///     auto const limits = make_entry_limits(settings, limits::open_descriptor_limit(), handler);
///
/// Thread-safe.

#include "filbertroad/net/http.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/settings/settings.hpp"

#include <cstddef>

namespace filbertroad::server
{

struct entry_limits
{
    net::http_limits http;
    net::link_limits links;
    /// Bytes of task payloads and results.
    std::size_t max_held_bytes = 0;
};

struct agent_limits
{
    net::http_limits http;
    net::link_limits links;
    /// Bytes of task results in the ledger.
    std::size_t max_ledger_bytes = 0;
};

/// `descriptors` is the limit of the process; `handler` is called for each use of a limit, from any
/// thread.
[[nodiscard]] entry_limits make_entry_limits(settings::entry_settings const& settings,
                                             std::size_t descriptors,
                                             net::limit_handler const& handler);
[[nodiscard]] agent_limits make_agent_limits(settings::agent_settings const& settings,
                                             net::limit_handler const& handler);

} // namespace filbertroad::server

#endif

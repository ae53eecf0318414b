#ifndef FILBERTROAD_DISPATCH_SNAPSHOT_FETCHER_HPP
#define FILBERTROAD_DISPATCH_SNAPSHOT_FETCHER_HPP

/// Decides when a process asks for a control snapshot, and which of its peers. Peers announce the
/// offsets of their snapshots in every status and heartbeat; the snapshot itself, which is larger
/// by orders of magnitude, is sent on request only. A process asks one peer at a time and at a
/// bounded rate, so that neither the number of its peers nor a series of changes adds to its work.
///
///     dispatch::snapshot_fetcher fetcher("agent-1", grace);
///     fetcher.peer_announced("entry-1", offset);
///     if (auto const peer = fetcher.next_request(own_offset, clock.steady_now()))
///     {
///         // ask *peer for its snapshot
///     }
///     fetcher.received("entry-1");
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertroad::dispatch
{

class snapshot_fetcher
{
public:
    /// A process that falls behind asks after `grace`. Until then it may get the change by another
    /// way, and more peers announce it, over which the requests of many processes are spread.
    snapshot_fetcher(std::string own_name, milliseconds grace);

    /// A peer that answers requests has a snapshot of `offset`.
    void peer_announced(std::string const& peer, std::uint64_t offset);
    /// The link to a peer is down.
    void peer_lost(std::string const& peer);
    /// A peer has sent its snapshot.
    void received(std::string const& peer);

    /// Returns the peer to ask now, if any; it counts as asked. To be called every few
    /// milliseconds.
    [[nodiscard]] std::optional<std::string> next_request(std::uint64_t own_offset,
                                                          base::steady_time now);

private:
    /// Returns null if no peer is ahead of `own_offset`.
    [[nodiscard]] std::string const* choose(std::uint64_t own_offset) const;

    std::string own_name;
    milliseconds grace;
    /// Newest announced offset, by peer.
    std::map<std::string, std::uint64_t> peers;
    std::optional<base::steady_time> behind_since;
    /// Peer that was asked last and has not answered.
    std::optional<std::string> asked;
    std::optional<base::steady_time> asked_at;
};

} // namespace filbertroad::dispatch

#endif

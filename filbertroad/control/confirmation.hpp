#ifndef FILBERTROAD_CONTROL_CONFIRMATION_HPP
#define FILBERTROAD_CONTROL_CONFIRMATION_HPP

/// Tracks whether an entry has recent evidence that its control state is the newest. The rules are
/// in sections "Confirmation" and "Log outage or partition" of docs/design.md.
///
///     confirmation.log_read_finished(sent_at, state.version());  // the log had nothing newer
///     confirmation.log_read_failed(now);
///     confirmation.probe_answered(peer, reply, sent_at);         // used while the log is down
///     if (confirmation.is_confirmed(now)) accept(key);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace filbertroad::control
{

/// How long a process may act on its state after the time at which it was known to be the newest.
inline constexpr std::chrono::milliseconds confirmation_max_age{2000};

/// An agent counts as linked if traffic from it arrived within this time. An agent closes a link
/// after 1.5 s without traffic, and promises to refuse an entry only after 3 s. An agent that
/// counts here thus cannot have promised to refuse this entry, even if one direction of the link
/// fails.
inline constexpr std::chrono::milliseconds agent_link_max_age{1000};

enum class confirmation_source
{
    none,
    log,
    peer,
    outage,
};

/// Collects evidence that the control state of an entry is the newest.
///
/// `state_offset` always is control_state::version(). The version is the same whether a state was
/// built from the log or restored from the snapshot of a peer.
class entry_confirmation
{
public:
    /// Sets the members of the current view, from which the zone of this entry follows. Call after
    /// each change of the view, and after state_advanced().
    void set_members(model::process_id const& self, std::span<wire::member const> members);
    /// Sets how many of the registered agents this entry is linked to. An agent counts only if
    /// traffic from it arrived within agent_link_max_age. Call before each round of probes, so that
    /// a count from before a pause of this process is not used.
    void set_linked_agents(std::size_t linked, std::size_t registered);
    /// From now on, evidence from the log or a peer confirms this entry only once more than half of
    /// the members (including itself) are known to have applied the current view. Without this
    /// rule, an entry could serve beside a majority in outage mode: an entry that joins while it is
    /// the only one that can read the log, or an entry whose peer was removed by an old vote. Peers
    /// are counted through probe_answered() and peer_offset_seen().
    void require_acknowledged_views();

    /// Call when records were applied to the state, or the state was restored from a peer.
    void state_advanced(std::uint64_t state_offset);
    /// Call when a log read that was sent at `sent_at` found no record after the state.
    void log_read_finished(base::steady_time sent_at, std::uint64_t state_offset);
    /// Call when a log read failed or timed out.
    void log_read_failed(base::steady_time now);
    /// Records the reply of a peer to a probe that was sent at `sent_at`. Returns true if the peer
    /// has newer state that should be fetched.
    bool probe_answered(model::process_id const& peer, wire::probe_reply const& reply,
                        base::steady_time sent_at);
    /// Records the offset of the state of a peer, as its pong names it.
    void peer_offset_seen(model::process_id const& peer, std::uint64_t state_offset);

    [[nodiscard]] bool log_readable() const;
    /// Whether more than half of the members are known to have applied the current view, or a peer
    /// that replied within confirmation_max_age is confirmed in it; see
    /// membership::set_view_stable().
    [[nodiscard]] bool is_view_stable(base::steady_time now) const;
    [[nodiscard]] bool is_confirmed(base::steady_time now) const;
    /// Age of the newest evidence that the state is the newest; empty if there is none.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age(base::steady_time now) const;
    [[nodiscard]] confirmation_source source(base::steady_time now) const;
    /// The reply of this entry to a probe.
    [[nodiscard]] wire::probe_reply make_probe_reply(base::steady_time now) const;

private:
    /// The newest reply of a peer to a probe, and when that probe was sent.
    struct received_reply
    {
        wire::probe_reply reply;
        base::steady_time sent_at;
    };

    /// Evidence that the state was the newest at `as_of`.
    struct evidence
    {
        confirmation_source source = confirmation_source::none;
        base::steady_time as_of;
    };

    [[nodiscard]] std::optional<evidence> newest_evidence(base::steady_time now) const;
    [[nodiscard]] std::optional<base::steady_time> outage_as_of(base::steady_time now) const;
    [[nodiscard]] bool is_view_acknowledged_by_majority() const;

    std::string own_zone;
    std::map<model::process_id, std::string> peer_zones;
    std::map<model::process_id, received_reply> probe_replies;
    std::map<model::process_id, std::uint64_t> peer_offsets;
    bool is_member = false;
    bool has_multiple_zones = false;
    bool acknowledgement_required = false;
    bool has_agent_majority = false;
    std::uint64_t offset = 0;
    /// Offset of the state when the members last changed.
    std::uint64_t members_offset = 0;
    bool log_is_readable = false;
    std::optional<base::steady_time> log_as_of;
    std::optional<base::steady_time> peer_as_of;
    std::optional<base::steady_time> log_failed_at;
};

} // namespace filbertroad::control

#endif

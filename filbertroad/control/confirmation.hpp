#ifndef FILBERTROAD_CONTROL_CONFIRMATION_HPP
#define FILBERTROAD_CONTROL_CONFIRMATION_HPP

/// Tells whether a process knows that its control state was the newest a short time ago. Sections
/// "Confirmation" and "Log outage or partition" of docs/design.md give the rules.
///
///     confirmation.log_read_finished(sent_at, state.version());  // the log had nothing newer
///     confirmation.log_read_failed(now);
///     confirmation.probe_answered(peer, reply, sent_at);     // while the log cannot be read
///     if (confirmation.is_confirmed(now)) accept(key);
///
/// Not safe for several threads.

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

/// A process acts on its state for this long after the state was known to be the newest.
inline constexpr std::chrono::milliseconds confirmation_max_age{2000};

/// An agent counts as linked while it was heard from within this time. The agent closes a link on
/// which it hears nothing for 1.5 s and promises to refuse an entry after 3 s, so that an agent
/// that counts here cannot have promised to refuse this entry, even if one direction fails.
inline constexpr std::chrono::milliseconds agent_link_max_age{1000};

enum class confirmation_source
{
    none,
    log,
    peer,
    outage,
};

/// How an entry knows that its state is the newest.
///
/// `state_offset` is control_state::version() throughout: it is the same for a state that was
/// folded from the log and for one that was taken from a peer's snapshot.
class entry_confirmation
{
public:
    /// The view and the zone of this entry; call again after each change of the view, after
    /// state_advanced().
    void set_members(model::process_id const& self, std::span<wire::member const> members);
    /// The share of the registered agents that this entry is linked with. Only agents heard from
    /// within agent_link_age count. Call before each round of probes, so that a figure from before
    /// a pause of this process is not used.
    void set_linked_agents(std::size_t linked, std::size_t registered);
    /// From now on, knowledge from the log confirms this entry only once more than half of the
    /// members (itself included) are known to have folded the current view. Without it, an entry
    /// that joins while only it can read the log, or one whose peer was removed by an old vote, may
    /// serve beside a majority in outage mode. Peers are counted through probe_answered() and
    /// peer_offset_seen().
    void require_acknowledged_views();

    /// The state was advanced by records or was taken from a peer.
    void state_advanced(std::uint64_t state_offset);
    /// A read sent at `sent_at` found no record after the state.
    void log_read_finished(base::steady_time sent_at, std::uint64_t state_offset);
    /// A read failed or timed out.
    void log_read_failed(base::steady_time now);
    /// A peer answered a probe that was sent at `sent_at`. Returns true if the peer has newer state
    /// that should be fetched.
    bool probe_answered(model::process_id const& peer, wire::probe_reply const& reply,
                        base::steady_time sent_at);
    /// A peer's pong named the offset of its state.
    void peer_offset_seen(model::process_id const& peer, std::uint64_t state_offset);

    [[nodiscard]] bool log_readable() const;
    /// Whether more than half of the members are known to have folded the current view, or a peer
    /// that was asked lately is confirmed in it; see membership::set_view_settled().
    [[nodiscard]] bool is_view_stable(base::steady_time now) const;
    [[nodiscard]] bool is_confirmed(base::steady_time now) const;
    /// Age of the knowledge that the state was the newest; empty if never confirmed.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age(base::steady_time now) const;
    [[nodiscard]] confirmation_source source(base::steady_time now) const;
    /// What this entry answers to a probe.
    [[nodiscard]] wire::probe_reply make_probe_reply(base::steady_time now) const;

private:
    /// The newest answer of a peer to a probe, and when the probe was sent.
    struct received_reply
    {
        wire::probe_reply reply;
        base::steady_time sent_at;
    };

    /// Knowledge that the state was the newest at `as_of`.
    struct evidence
    {
        confirmation_source source = confirmation_source::none;
        base::steady_time as_of;
    };

    [[nodiscard]] std::optional<evidence> newest_evidence(base::steady_time now) const;
    [[nodiscard]] std::optional<base::steady_time> outage_as_of(base::steady_time now) const;
    [[nodiscard]] bool is_majority_acknowledged() const;

    std::string own_zone;
    std::map<model::process_id, std::string> peer_zones;
    std::map<model::process_id, received_reply> probe_replies;
    std::map<model::process_id, std::uint64_t> peer_offsets;
    bool is_member = false;
    bool spans_zones = false;
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

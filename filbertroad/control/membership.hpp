#ifndef FILBERTROAD_CONTROL_MEMBERSHIP_HPP
#define FILBERTROAD_CONTROL_MEMBERSHIP_HPP

/// Decides which membership records an entry appends: its own joining and leaving, votes for the
/// removal of silent members, replacement of a view whose majority is gone, batches of agents that
/// joined or were lost, and snapshots.
///
///     control::membership membership(self, options);
///     membership.heard_from(peer, now);
///     for (auto& record : membership.decide(state, confirmed_by_log, now)) log.append(record);
///
/// Not safe for several threads.

#include "filbertroad/control/control_state.hpp"

#include <chrono>
#include <vector>

namespace filbertroad::control
{

/// Times of the membership rules.
struct membership_options
{
    /// A member without link traffic for this long is voted out.
    std::chrono::milliseconds member_silence{1500};
    /// A view whose majority is silent for this long is replaced, with the agents' promises.
    std::chrono::milliseconds majority_silence{5000};
    /// An agent without a link for this long is taken off the list of registered agents.
    std::chrono::milliseconds agent_silence{10000};
    /// A snapshot is appended when the newest one is older.
    std::chrono::milliseconds snapshot_interval{600000};
    /// A record that has not been read back after this long is appended again.
    std::chrono::milliseconds append_retry{2000};
    /// Shortest time between two batches of agents.
    std::chrono::milliseconds agent_batch{200};
};

class membership
{
public:
    membership(wire::member self, membership_options options);

    /// Link traffic arrived from an entry.
    void heard_from(model::process_id const& peer, base::steady_time now);
    /// An agent's link is up, or its hello changed. Agents are registered before they get starts.
    void agent_linked(wire::agent const& agent, base::steady_time now);
    void agent_unlinked(model::process_id const& agent, base::steady_time now);
    /// An agent's promise for the current view.
    void promise_received(wire::promise const& promise);
    /// This entry is about to stop.
    void start_leaving();
    /// All jobs and answers of this entry have been passed on.
    void finish_leaving();

    /// Records to append now. Call at least every 200 ms and after each record read.
    /// `log_confirmed` is true while this entry's own log reads succeed.
    [[nodiscard]] std::vector<wire::control_record> decide(control_state const& state,
                                                           bool log_confirmed,
                                                           base::steady_time now,
                                                           base::system_time wall);

    /// Promises to ask agents for; empty if none are needed.
    [[nodiscard]] std::optional<wire::promise_request> promises_wanted() const;
};

} // namespace filbertroad::control

#endif

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
/// Rules that keep a replaced view and the outage mode of entries that were cut off apart: a member
/// votes only while it hears more than half of the members; while it hears fewer, it registers only
/// agents whose names are known (any, if none is registered) and removes none, so that the agents
/// that may promise are those that the other members count as well.
///
/// Not safe for several threads.

#include "filbertroad/control/control_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::control
{

/// Times of the membership rules.
struct membership_options
{
    /// A member without link traffic for this long is voted out.
    std::chrono::milliseconds member_timeout{1500};
    /// A view whose majority is silent for this long is replaced, with the agents' promises.
    std::chrono::milliseconds majority_timeout{5000};
    /// An agent without a link for this long is taken off the list of registered agents.
    std::chrono::milliseconds agent_timeout{10000};
    /// A snapshot is appended when the newest one is older.
    std::chrono::milliseconds snapshot_interval{600000};
    /// A record that has not been read back after this long is appended again.
    std::chrono::milliseconds append_retry_interval{2000};
    /// Shortest time between two batches of agents.
    std::chrono::milliseconds agent_batch_interval{200};
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

    /// Whether the current view is settled, as entry_confirmation::is_view_settled() tells. While
    /// it is not, this entry does not join under a new name (unless no member can be heard), casts
    /// no votes and appends no snapshot. Two views then differ by at most one member whenever
    /// entries that were cut off may still be in outage mode, so that their majorities have a
    /// member in common. True until it is set.
    void set_view_stable(bool stable);

    /// Records to append now. Call at least every 200 ms and after each record read; a longer gap
    /// counts as a pause of this process, after which silence is measured anew.
    /// `log_confirmed` is true while this entry's own log reads succeed.
    [[nodiscard]] std::vector<wire::control_record> decide(control_state const& state,
                                                           bool log_confirmed,
                                                           base::steady_time now,
                                                           base::system_time wall);

    /// Promises to ask agents for; empty if none are needed.
    [[nodiscard]] std::optional<wire::promise_request> pending_promise_request() const;

private:
    /// A registered agent or a linked one, seen from this entry.
    struct tracked_agent
    {
        wire::agent registration;
        bool linked = false;
        /// The state holds exactly this registration.
        bool registered = false;
        /// The state holds this name with a newer incarnation.
        bool superseded = false;
        /// The state holds this name.
        bool name_known = false;
        /// Time of the last change of `linked`, or of the first sight.
        base::steady_time since;
        /// This entry appended a removal, and has seen its effect.
        bool removal_appended = false;
        bool removal_applied = false;
    };

    /// One call of decide().
    struct round;

    void detect_pause(base::steady_time now);
    void update_members(control_state const& state, base::steady_time now);
    void update_agents(control_state const& state, base::steady_time now);
    void compare_agent(control_state const& state, model::process_id const& id,
                       tracked_agent& tracked);
    void decide_own_membership(round& round);
    [[nodiscard]] bool may_join(round const& round) const;
    void decide_votes(round& round);
    void decide_replacement(round& round);
    void decide_agents_joined(round& round);
    void decide_agents_removed(round& round);
    void decide_snapshot(round& round);
    void add_replacement(round& round, std::vector<model::process_id> const& missing);
    [[nodiscard]] std::chrono::milliseconds rank_delay(round const& round,
                                                       std::string_view subject) const;
    [[nodiscard]] bool begin_append(std::string const& effect, base::steady_time now);

    wire::member self;
    model::process_id own_id;
    membership_options options;
    bool leaving = false;
    bool left = false;
    bool view_stable = true;
    std::map<model::process_id, base::steady_time> last_heard;
    std::map<model::process_id, tracked_agent> agents;
    /// Records that were appended and whose effect has not been read back, by a name of the effect.
    std::map<std::string, base::steady_time> pending_appends;
    /// Version of the state that `agents` was compared with; empty after a change of an agent.
    std::optional<std::uint64_t> agents_version;
    std::optional<base::steady_time> last_round;
    std::optional<base::steady_time> snapshot_due_since;
    std::optional<base::steady_time> last_batch;
    std::optional<wire::promise_request> pending_request;
    /// View that the promises are for, and the members that each agent promised to refuse.
    std::uint64_t promised_view = 0;
    std::map<model::process_id, std::set<model::process_id>> promises;
};

} // namespace filbertroad::control

#endif

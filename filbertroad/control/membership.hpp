#ifndef FILBERTROAD_CONTROL_MEMBERSHIP_HPP
#define FILBERTROAD_CONTROL_MEMBERSHIP_HPP

/// Decides which membership records an entry appends to the control log: its own join and leave,
/// votes to remove unresponsive members, the replacement of a view that has lost its majority,
/// batches of agents that joined or were lost, and snapshots.
///
///     control::membership membership(self, options);
///     membership.heard_from(peer, now);
///     for (auto& record : membership.decide(state, confirmed_by_log, now)) log.append(record);
///
/// Two rules prevent partitioned entries from staying in outage mode beside a replaced view:
/// - A member votes only while it has traffic from more than half of the members, itself included.
/// - A member with traffic from fewer removes no agents, and registers only agents whose names are
///   already registered (any agent, if none is registered). The agents that may promise are then
///   the same ones that the other members count.
///
/// Not thread-safe.

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

/// Timeouts and intervals of the membership rules.
struct membership_options
{
    /// Other members vote to remove a member without link traffic for this long.
    std::chrono::milliseconds member_timeout{1500};
    /// Once at least half of the members have been without link traffic for this long, agents are
    /// asked to promise to refuse them. The view is replaced when more than half of the registered
    /// agents have promised that. While the view is not stable, an entry with a new name joins only
    /// after this long without traffic from any member.
    std::chrono::milliseconds majority_timeout{5000};
    /// An agent without a link for this long is deregistered.
    std::chrono::milliseconds agent_timeout{10000};
    /// Maximum age of the newest snapshot; a new one is appended after that.
    std::chrono::milliseconds snapshot_interval{600000};
    /// A record that was not read back from the log within this time is appended again.
    std::chrono::milliseconds append_retry_interval{2000};
    /// Minimum time between two records that register agents.
    std::chrono::milliseconds agent_batch_interval{200};
};

class membership
{
public:
    membership(wire::member self, membership_options options);

    /// Call when link traffic arrives from another entry.
    void heard_from(model::process_id const& peer, base::steady_time now);
    /// Call when the link of an agent is up, or its hello has changed. Agents are registered before
    /// they receive starts.
    void agent_linked(wire::agent const& agent, base::steady_time now);
    void agent_unlinked(model::process_id const& agent, base::steady_time now);
    /// Records the promise of an agent. Ignored unless it is for the view that
    /// pending_promise_request() names.
    void promise_received(wire::promise const& promise);
    /// Starts the departure of this entry: decide() appends a record that marks it as leaving.
    void start_leaving();
    /// Finishes the departure: decide() appends a record that removes this entry from the view.
    /// Call after all its jobs and results have been handed over.
    void finish_leaving();

    /// Sets whether the current view is stable; see entry_confirmation::is_view_stable(). True
    /// until it is set. While the view is not stable, this entry casts no votes, appends no
    /// snapshot, and does not join under a new name, unless no traffic from any member has arrived
    /// within majority_timeout. Whenever
    /// partitioned entries may still be in outage mode, two views thus differ by at most one
    /// member, and their majorities have a member in common.
    void set_view_stable(bool stable);

    /// Returns the records to append now. Call at least every 200 ms and after each record read. A
    /// gap of more than 1 s counts as a pause of this process: the timeouts of members and unlinked
    /// agents start again, and the promises received so far are discarded. `log_confirmed` is true
    /// while the log reads of this entry succeed.
    [[nodiscard]] std::vector<wire::control_record> decide(control_state const& state,
                                                           bool log_confirmed,
                                                           base::steady_time now,
                                                           base::system_time wall);

    /// The promises to request from agents; empty if none are needed.
    [[nodiscard]] std::optional<wire::promise_request> pending_promise_request() const;

private:
    /// An agent that is registered or linked to this entry.
    struct tracked_agent
    {
        wire::agent registration;
        bool linked = false;
        /// The state contains this incarnation and, while it is linked, this zone and service.
        bool registered = false;
        /// The state contains this name with a newer incarnation.
        bool superseded = false;
        /// The state contains this name.
        bool name_known = false;
        /// When `linked` last changed, or when the agent became known. For an unlinked agent, not
        /// earlier than the end of the last pause of this process.
        base::steady_time since;
        /// This entry appended the removal of the agent.
        bool removal_appended = false;
        /// That removal was read back from the log.
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
    bool handover_finished = false;
    bool view_stable = true;
    std::map<model::process_id, base::steady_time> last_contact;
    std::map<model::process_id, tracked_agent> agents;
    /// When a record was appended whose effect has not been read back, by a name of the effect.
    std::map<std::string, base::steady_time> pending_appends;
    /// Version of the state with which `agents` was last compared; empty after an agent changed.
    std::optional<std::uint64_t> agents_version;
    std::optional<base::steady_time> last_round;
    std::optional<base::steady_time> snapshot_due_since;
    std::optional<base::steady_time> last_batch;
    std::optional<wire::promise_request> pending_request;
    /// View to which `promises` belongs.
    std::uint64_t promised_view = 0;
    /// Members that each agent promised to refuse.
    std::map<model::process_id, std::set<model::process_id>> promises;
};

} // namespace filbertroad::control

#endif

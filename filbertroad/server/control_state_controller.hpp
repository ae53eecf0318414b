#ifndef FILBERTROAD_SERVER_CONTROL_STATE_CONTROLLER_HPP
#define FILBERTROAD_SERVER_CONTROL_STATE_CONTROLLER_HPP

/// Holds the control state of an entry: follows the control log, appends membership records and
/// operators' changes, and tracks whether the state is confirmed as the newest.
///
///     control_state_controller control(io, clock, log, self, options, callbacks);
///     control.start();
///     auto state = control.state();          // immutable snapshot of the newest state
///     control.publish(record, "id-1", 5s, [](publish_result result) { ... });
///
/// Thread-safe: work runs on one strand, and the state is shared as immutable snapshots.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/control/confirmation.hpp"
#include "filbertroad/control/control_state.hpp"
#include "filbertroad/control/membership.hpp"
#include "filbertroad/net/log_client.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::server
{

using state_ptr = std::shared_ptr<control::control_state const>;

enum class publish_error
{
    /// Another change was accepted first; `detail` gives the current version.
    conflict,
    invalid,
    /// The change was not read back before the timeout; it may still take effect.
    outcome_unknown,
};

/// The version of the accepted change, or the error.
using publish_result = base::result<std::uint64_t, base::error<publish_error>>;

/// Called on the strand, without a lock held.
struct control_state_callbacks
{
    /// The state changed; the second argument says which parts of it.
    std::function<void(state_ptr const&, control::apply_result const&)> state_changed;
    /// A record was read from the log; for the event log.
    std::function<void(wire::control_record const&, std::uint64_t offset,
                       control::apply_result const&)>
        record_applied;
    std::function<void(control::confirmation_source)> confirmation_changed;
    /// Sends a probe to all linked members.
    std::function<void()> send_probes;
    /// Requests the complete state of a member.
    std::function<void(model::process_id const&)> fetch_state;
    std::function<void(wire::promise_request const&)> request_promises;
};

class control_state_controller
{
public:
    static constexpr std::chrono::milliseconds tick_interval{50};
    static constexpr std::chrono::milliseconds long_poll_timeout{250};
    /// While a read is in flight, the next one is sent after this long, so that a slow log does
    /// not let the confirmation expire.
    static constexpr std::chrono::milliseconds slow_read_retry_interval{400};
    static constexpr std::chrono::milliseconds probe_interval{250};
    static constexpr int max_reads_in_flight = 8;

    control_state_controller(boost::asio::io_context& io, base::clock const& clock,
                             net::log_client& log, wire::member self,
                             control::membership_options options,
                             control_state_callbacks callbacks);

    /// Begins to follow the log.
    void start();
    /// Stops reading and appending.
    void stop();

    [[nodiscard]] state_ptr state() const;
    /// Wall-clock time at which this entry last applied a change of the tables.
    [[nodiscard]] base::system_time tables_changed_at() const;
    /// Whether this process may act on its state at this moment.
    [[nodiscard]] bool is_confirmed() const;
    /// The reply to a ping: the state's offset, whether it is confirmed, and the confirmation's
    /// age.
    [[nodiscard]] wire::pong pong() const;
    /// The reply to a peer's probe.
    [[nodiscard]] wire::probe_reply probe_reply() const;
    /// What confirms the state at present: the log, a peer, outage mode, or nothing.
    [[nodiscard]] control::confirmation_source source() const;

    /// Appends a change. `handler` gets the outcome when the change has been read back from the
    /// log, or outcome_unknown after `timeout`.
    void publish(wire::control_record record, std::string const& change_id,
                 std::chrono::milliseconds timeout, std::function<void(publish_result)> handler);

    /// Any message of another entry counts as its heartbeat.
    void record_traffic_from(model::process_id const& entry);
    /// Another entry reported the offset of its state in a pong.
    void peer_offset_seen(model::process_id const& entry, std::uint64_t state_offset);
    /// An agent with a target is linked to this entry and has to be registered.
    void agent_linked(wire::agent const& agent);
    void agent_unlinked(model::process_id const& agent);
    /// Sets the agents that are linked to this entry, of which only the registered ones count; see
    /// entry_confirmation::set_linked_agents(). While the log can be read, the list may be empty.
    void set_linked_agents(std::vector<model::process_id> linked);
    /// An agent has replied to request_promises.
    void promise_received(wire::promise const& promise);
    /// A peer has replied to a probe that was sent at `sent_at`; fetches its state if it is newer.
    void probe_answered(model::process_id const& peer, wire::probe_reply const& reply,
                        base::steady_time sent_at);
    /// Replaces the state with a peer's snapshot if the snapshot is newer.
    void state_received(wire::control_snapshot const& snapshot);

    /// An agent has refused this entry as removed. Agents keep that promise even if the view was
    /// never replaced, so this entry has to rejoin as a new incarnation.
    void fenced_by_agent() { this->removed = true; }

    /// Appends that this entry is leaving; it stays a member.
    void start_leaving();
    /// Appends that this entry has left. Call when its jobs have ended and were handed over.
    void finish_leaving();
    /// Whether this entry has to rejoin as a new incarnation: it was removed from the view while it
    /// was running, or an agent has fenced it.
    [[nodiscard]] bool was_removed() const { return this->removed.load(); }
    /// Whether this entry has joined the view at any time.
    [[nodiscard]] bool was_member() const { return this->joined.load(); }

private:
    struct pending_change
    {
        base::steady_time deadline;
        std::function<void(publish_result)> handler;
    };

    void schedule_tick();
    void tick();
    void read_if_due(base::steady_time now);
    void read_finished(base::steady_time sent_at, net::read_result const& result);
    void apply_page(net::log_page const& page);
    bool restore_from_page(net::log_page const& page);
    /// Replaces the current state if `state` has read further in the log; returns whether it did.
    bool replace_state(control::control_state state);
    void apply_record(std::uint64_t offset, wire::control_record const& record,
                      control::apply_result& combined,
                      std::vector<std::function<void()>>& completions);
    void run_membership(base::steady_time now);
    void append(wire::control_record const& record);
    void expire_changes(base::steady_time now);
    void publish_state(control::apply_result const& apply_result);
    void update_own_membership();
    void refresh_confirmation(base::steady_time now);

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::steady_timer timer;
    base::clock const& clock;
    net::log_client& log;
    wire::member self;
    control_state_callbacks callbacks;

    // Accessed on the strand only.
    control::control_state current;
    control::entry_confirmation confirmation;
    control::membership membership;
    std::map<std::string, pending_change> pending_changes;
    int reads_in_flight = 0;
    base::steady_time last_read_sent_at{};
    base::steady_time last_probe_sent_at{};
    /// When the newest read was sent after which the state had caught up with the log.
    std::optional<base::steady_time> last_caught_up_read_sent_at;
    bool stopped = false;
    control::confirmation_source last_source = control::confirmation_source::none;

    std::atomic<bool> removed{false};
    std::atomic<bool> joined{false};
    mutable std::mutex shared_lock;
    state_ptr shared_state;
    base::system_time shared_tables_changed;
    wire::probe_reply shared_probe_reply;
    base::steady_time shared_probe_reply_at{};
    control::confirmation_source shared_source = control::confirmation_source::none;
    std::atomic<std::int64_t> confirmed_at_ns{0};
};

} // namespace filbertroad::server

#endif

#ifndef FILBERTROAD_SERVER_CONTROL_STATE_REPLICA_HPP
#define FILBERTROAD_SERVER_CONTROL_STATE_REPLICA_HPP

/// Keeps the control state of an entry: reads the control log, appends membership records and
/// operators' changes, and knows whether the state is confirmed as the newest.
///
///     control_controller control(io, clock, log, self, options, events);
///     control.start();
///     auto state = control.state();          // immutable copy of the newest state
///     control.publish(record, "id-1", 5s, [](publish_result result) { ... });
///
/// Safe for several threads: work runs on one strand, the state is shared as immutable copies.

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
    /// Another change came first; `detail` gives the current version.
    conflict,
    invalid,
    /// The log did not answer in time; the change may still come into force.
    outcome_unknown,
};

/// Version of the accepted change.
using publish_result = base::result<std::uint64_t, base::error<publish_error>>;

struct control_state_callbacks
{
    /// The state changed. Called on the strand.
    std::function<void(state_ptr const&, control::applied const&)> state_changed;
    /// A record was read: for the event log.
    std::function<void(wire::control_record const&, std::uint64_t offset, control::applied const&)>
        record_applied;
    std::function<void(control::confirmation_source)> confirmation_changed;
    /// Sends a probe or a state request to all linked members.
    std::function<void()> send_probes;
    std::function<void(model::process_id const&)> fetch_state;
    std::function<void(wire::promise_request const&)> request_promises;
};

class control_state_replica
{
public:
    static constexpr std::chrono::milliseconds tick_interval{50};
    static constexpr std::chrono::milliseconds long_poll_timeout{250};
    /// A slow log is asked again after this long, so that its age stays known.
    static constexpr std::chrono::milliseconds slow_read_retry_interval{400};
    static constexpr std::chrono::milliseconds probe_interval{250};
    static constexpr int max_reads_in_flight = 8;

    control_state_replica(boost::asio::io_context& io, base::clock const& clock,
                          net::log_client& log, wire::member self,
                          control::membership_options options, control_state_callbacks callbacks);

    void start();
    /// Stops reading and appending.
    void stop();

    [[nodiscard]] state_ptr state() const;
    /// Wall clock time at which the tables last changed here.
    [[nodiscard]] base::system_time tables_changed_at() const;
    /// Whether this process may act on its state now.
    [[nodiscard]] bool is_confirmed() const;
    [[nodiscard]] wire::pong pong() const;
    /// The answer to a peer's probe.
    [[nodiscard]] wire::probe_reply probe_reply() const;
    [[nodiscard]] control::confirmation_source source() const;

    /// Appends a change and waits until it was read back.
    void publish(wire::control_record record, std::string const& change_id,
                 std::chrono::milliseconds timeout, std::function<void(publish_result)> handler);

    void record_traffic_from(model::process_id const& entry);
    /// A pong of another entry named the offset of its state.
    void peer_offset_seen(model::process_id const& entry, std::uint64_t state_offset);
    void agent_linked(wire::agent const& agent);
    void agent_unlinked(model::process_id const& agent);
    void set_linked_agents(std::size_t count);
    void promise_received(wire::promise const& promise);
    void probe_answered(model::process_id const& peer, wire::probe_reply const& reply,
                        base::steady_time sent_at);
    /// A peer's whole state, taken if it is newer.
    void state_received(wire::control_snapshot const& snapshot);

    /// An agent refuses this entry as removed. Agents keep such a promise even if the view was
    /// never replaced, so this entry has to join again as a new incarnation.
    void fenced_by_agent() { this->removed = true; }

    void start_leaving();
    void finish_leaving();
    /// This entry was removed from the view while it was alive.
    [[nodiscard]] bool was_removed() const { return this->removed.load(); }
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
    bool restart_from_page(net::log_page const& page);
    /// Takes a state that has read further than the current one.
    bool replace_state(control::control_state state);
    void apply_record(std::uint64_t offset, wire::control_record const& record,
                      control::applied& combined, std::vector<std::function<void()>>& completions);
    void run_membership(base::steady_time now);
    void append(wire::control_record const& record);
    void expire_changes(base::steady_time now);
    void publish_state(control::applied const& applied);
    void update_own_membership();
    void refresh_confirmation(base::steady_time now);

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::steady_timer timer;
    base::clock const& clock;
    net::log_client& log;
    wire::member self;
    control_state_callbacks callbacks;

    // Touched on the strand only.
    control::control_state current;
    control::entry_confirmation confirmation;
    control::membership membership;
    std::map<std::string, pending_change> pending_changes;
    int reads_in_flight = 0;
    base::steady_time last_read_sent_at{};
    base::steady_time last_probe_sent_at{};
    /// Sending time of the newest read that found no record after the state.
    std::optional<base::steady_time> last_caught_up_read_sent_at;
    bool stopped = false;
    control::confirmation_source last_source = control::confirmation_source::none;

    std::atomic<bool> removed{false};
    std::atomic<bool> joined{false};
    mutable std::mutex shared_lock;
    state_ptr shared_state;
    base::system_time shared_tables_changed;
    wire::probe_reply shared_probe_reply;
    control::confirmation_source shared_source = control::confirmation_source::none;
    std::atomic<std::int64_t> confirmed_at_ns{0};
};

} // namespace filbertroad::server

#endif

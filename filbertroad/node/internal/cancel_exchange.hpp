#ifndef FILBERTROAD_NODE_INTERNAL_CANCEL_EXCHANGE_HPP
#define FILBERTROAD_NODE_INTERNAL_CANCEL_EXCHANGE_HPP

/// Links between entries for cancels of jobs, and the frames on them. Connects the decision logic
/// (dispatch::cancel_coordinator) to the network; makes no decisions of its own.
///
///     internal::cancel_exchange cancels(io, clock, log, metrics, "entry-1", callbacks);
///     cancels.add_entry({"entry-2", "10.0.0.2:7720"});
///     cancels.cancel("4f3c", [](dispatch::cancel_result result) { ... });
///
/// Not thread-safe: all calls and callbacks are made on the one thread that runs the io_context.

#include "filbertroad/dispatch/cancel_coordinator.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/node/frame.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace filbertroad::node::internal
{

using cancel_handler = std::function<void(dispatch::cancel_result)>;

class cancel_exchange
{
public:
    struct handlers
    {
        /// Hello of this entry, for the entry at the other end of a link.
        std::function<frame()> make_hello;
        /// The hello of another entry has arrived.
        std::function<void(frame&)> on_hello;
        /// Cancels a job if this entry holds it. Returns whether it did.
        std::function<bool(std::string const& key)> cancel_here;
    };

    cancel_exchange(boost::asio::io_context& io, base::clock const& clock,
                    telemetry::event_log& log, telemetry::metrics_registry& metrics,
                    std::string own_name, net::link_limits link_limits, handlers callbacks);

    void add_entry(dispatch::entry_address const& entry);
    void add_seed(std::string const& address);
    void agent_lists(std::string const& agent, std::vector<std::string> const& entries);
    void agent_lost(std::string const& agent);
    void observe_budget(dispatch::milliseconds time) { this->decision.observe_budget(time); }

    /// Asks all entries for a job that this entry does not hold; `handler` is called once.
    void cancel(std::string const& key, cancel_handler handler);
    /// Tells all entries about the cancel of a job that this entry held.
    void notify(std::string const& key);
    /// Answers all cancels because the process is about to exit; all handlers are called before
    /// this returns.
    void abandon_all();
    /// Handles the questions of another entry on a link that it has opened.
    void answer_queries(std::shared_ptr<net::link> const& link, frame const& content);
    /// A link that another entry has opened is closed.
    void incoming_closed(net::link const& link) { this->incoming.erase(link.number()); }
    /// Applies timeouts.
    void tick();

private:
    struct incoming_link
    {
        std::shared_ptr<net::link> link;
        base::steady_time last_received{};
    };

    void schedule_run();
    void run();
    void execute(dispatch::open_peer_link const& action);
    void execute(dispatch::close_peer_link const& action);
    void execute(dispatch::send_cancel_query const& action);
    void execute(dispatch::answer_cancel const& action);
    void send_frames();
    void handle_message(std::string const& address, net::link const& link,
                        wire::link_message const& message);
    [[nodiscard]] bool is_current(std::string const& address, net::link const& link) const;
    void log_answer(dispatch::answer_cancel const& action);
    telemetry::counter& counter_for(dispatch::cancel_result result);

    boost::asio::io_context& io;
    base::clock const& clock;
    telemetry::event_log& log;
    telemetry::metrics_registry& metrics;
    net::link_limits link_limits;
    handlers callbacks;
    dispatch::cancel_coordinator decision;
    /// Links that this entry has opened, by address.
    std::map<std::string, std::shared_ptr<net::link>> links;
    /// Links that other entries have opened, by number.
    std::map<std::uint64_t, incoming_link> incoming;
    /// Frames to send, by address.
    std::map<std::string, frame> outgoing;
    std::map<std::uint64_t, cancel_handler> cancel_handlers;
    std::uint64_t last_caller = 0;
    bool is_run_scheduled = false;
    base::steady_time log_window_started{};
    std::size_t lines_in_window = 0;
    std::size_t left_out = 0;
    telemetry::histogram& latency;
};

} // namespace filbertroad::node::internal

#endif

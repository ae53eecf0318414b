#ifndef FILBERTROAD_SERVER_ENTRY_CORE_HPP
#define FILBERTROAD_SERVER_ENTRY_CORE_HPP

/// An entry without its HTTP API: connects the control state, the links, the shards and the router
/// through their callbacks.
///
///     entry_core core(io, settings, clock, log, spans);
///     core.listen();
///     core.start();
///     core.router().handle(request, respond);
///
/// Thread-safe after start().

#include "filbertroad/base/clock.hpp"
#include "filbertroad/limits/limit_reporter.hpp"
#include "filbertroad/server/control_state_controller.hpp"
#include "filbertroad/server/entry_links.hpp"
#include "filbertroad/server/peer_limits.hpp"
#include "filbertroad/server/peer_requests.hpp"
#include "filbertroad/server/request_router.hpp"
#include "filbertroad/server/shard_registry.hpp"
#include "filbertroad/server/span_recorder.hpp"
#include "filbertroad/settings/settings.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/metrics.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace filbertroad::server
{

class entry_core
{
public:
    entry_core(boost::asio::io_context& io, settings::entry_settings const& settings,
               base::clock const& clock, telemetry::event_log& log, telemetry::span_writer& spans);

    /// Binds the address for links.
    base::result<void, base::error<net::net_error>> listen();
    /// Begins to connect to the seeds and to follow the control log.
    void start();
    /// Stops following the control log and closes all links.
    void stop();
    /// Runs the time-dependent work. Call every 20 ms.
    void tick();

    [[nodiscard]] control_state_controller& control() { return this->state_controller; }
    [[nodiscard]] shard_registry& shards() { return this->local_shards; }
    [[nodiscard]] request_router& router() { return this->job_router; }
    [[nodiscard]] span_recorder& spans() { return this->recorder; }
    [[nodiscard]] telemetry::metrics_registry& metrics() { return this->metric_registry; }
    [[nodiscard]] entry_limits const& peer_limits() const { return this->limits_of_peers; }
    [[nodiscard]] base::clock const& time() const { return this->clock; }
    [[nodiscard]] wire::member const& self() const { return this->self_member; }

    /// The status of this entry.
    [[nodiscard]] wire::status_reply status() const;
    /// Calls `handler` once with the status of this entry, followed by those of the linked members
    /// that respond within 500 ms.
    void collect_status(std::function<void(std::vector<wire::status_reply>)> handler);

    [[nodiscard]] bool is_member() const;
    /// Whether the control state lists this entry as leaving.
    [[nodiscard]] bool is_leaving() const;
    /// Sends the retained results of all shards to the new owners of the shards.
    void start_handover();
    /// Whether every part of the handover was acknowledged or has failed.
    [[nodiscard]] bool is_handover_done() const { return this->handovers_in_flight == 0; }

private:
    entry_link_callbacks make_link_callbacks();
    control_state_callbacks make_control_callbacks();
    shard_callbacks make_shard_callbacks();

    void agent_linked(linked_agent const& agent);
    void agent_unlinked(model::process_id const& agent, std::uint64_t link);
    void agent_message_received(model::process_id const& agent, std::uint64_t link,
                                wire::link_message& message);
    void entry_request_received(model::process_id const& entry, wire::request const& request);
    /// Handles a submission that another entry forwarded, and records a span for this hop.
    void handle_forwarded_submit(model::process_id const& entry, wire::request request);
    void respond(model::process_id const& entry, std::uint64_t id, wire::response response);
    void state_changed(state_ptr const& state, control::apply_result const& apply_result);
    void send_probes();
    void fetch_state(model::process_id const& entry);
    void send_lookup_to_peer(shard_id const& id, model::process_id const& member,
                             wire::lookup const& lookup);
    void send_handover(model::process_id const& owner, wire::handover part);
    void log_record(wire::control_record const& record, std::uint64_t offset,
                    control::apply_result const& apply_result);
    void log_confirmation_change(control::confirmation_source source);
    void update_metrics();

    boost::asio::io_context& io;
    settings::entry_settings settings;
    base::clock const& clock;
    telemetry::event_log& log;
    wire::member self_member;
    model::process_id self_id;
    telemetry::metrics_registry metric_registry;
    limits::limit_reporter limit_reporter;
    entry_limits limits_of_peers;
    span_recorder recorder;
    net::http_log_client control_log;
    entry_links links;
    peer_requests peers;
    shard_registry local_shards;
    control_state_controller state_controller;
    request_router job_router;
    std::atomic<int> handovers_in_flight{0};
    std::atomic<std::int64_t> next_slow_tick_ns{0};
};

} // namespace filbertroad::server

#endif

#include "filbertroad/server/entry_core.hpp"

#include "filbertroad/limits/machine_limits.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <memory>
#include <mutex>
#include <utility>

namespace filbertroad::server
{
namespace
{

constexpr std::chrono::milliseconds slow_tick_interval{100};
constexpr std::chrono::milliseconds lookup_timeout{1000};
constexpr std::chrono::milliseconds probe_timeout{1000};
constexpr std::chrono::milliseconds handover_timeout{3000};

wire::member make_self_member(settings::entry_settings const& settings, base::clock const& clock)
{
    wire::member self;
    self.mutable_id()->set_name(settings.name);
    self.mutable_id()->set_incarnation(base::to_unix_ms(clock.system_now()));
    self.set_zone(settings.zone);
    self.set_link_address(settings.advertise_link);
    self.set_http_address(settings.advertise_http);
    return self;
}

submission::owner_options make_owner_options(entry_limits const& limits)
{
    submission::owner_options options;
    options.max_bytes = limits.max_held_bytes;
    return options;
}

} // namespace

entry_core::entry_core(boost::asio::io_context& io, settings::entry_settings const& settings,
                       base::clock const& clock, telemetry::event_log& log,
                       telemetry::span_writer& spans)
    : io(io), settings(settings), clock(clock), log(log),
      self_member(make_self_member(settings, clock)),
      self_id(wire::to_model(this->self_member.id())),
      limit_reporter(clock, log, this->metric_registry),
      limits_of_peers(make_entry_limits(settings, limits::open_descriptor_limit(),
                                        this->limit_reporter.handler())),
      recorder(clock, spans, this->self_id.incarnation),
      control_log(io, settings.log_address, settings.log_stream),
      links(io, clock, this->self_member, this->make_link_callbacks()),
      peers(clock, [this](model::process_id const& peer, wire::link_message const& message)
            { return this->links.send_to_entry(peer, message); }),
      local_shards(clock, this->self_id, make_owner_options(this->limits_of_peers),
                   static_cast<std::uint32_t>(settings.max_queued_tasks),
                   this->make_shard_callbacks()),
      state_controller(io, clock, this->control_log, this->self_member, {},
                       this->make_control_callbacks()),
      job_router(io, clock, this->state_controller, this->local_shards, this->peers, this->self_id)
{
    this->links.set_limits(this->limits_of_peers.links);
}

base::result<void, base::error<net::net_error>> entry_core::listen()
{
    return this->links.listen(this->settings.listen_link);
}

void entry_core::start()
{
    this->links.connect_seeds(this->settings.peers);
    this->state_controller.start();
}

void entry_core::stop()
{
    this->state_controller.stop();
    this->links.stop();
}

void entry_core::tick()
{
    this->local_shards.tick();
    auto const now = this->clock.steady_now().time_since_epoch().count();
    auto due = this->next_slow_tick_ns.load();
    auto const next = now + std::chrono::nanoseconds(slow_tick_interval).count();
    if (now < due || !this->next_slow_tick_ns.compare_exchange_strong(due, next))
    {
        return;
    }
    this->links.tick();
    this->peers.tick();
    // Only an outage of the log needs the agents, and to compare thousands takes milliseconds.
    this->state_controller.set_linked_agents(
        this->state_controller.probe_reply().log_readable()
            ? std::vector<model::process_id>()
            : this->links.active_agents(control::agent_link_max_age));
    this->update_metrics();
}

entry_link_callbacks entry_core::make_link_callbacks()
{
    entry_link_callbacks callbacks;
    callbacks.agent_linked = [this](linked_agent const& agent) { this->agent_linked(agent); };
    callbacks.agent_unlinked = [this](model::process_id const& agent, std::uint64_t link)
    { this->agent_unlinked(agent, link); };
    callbacks.agent_message_received =
        [this](model::process_id const& agent, std::uint64_t link, wire::link_message& message)
    { this->agent_message_received(agent, link, message); };
    callbacks.entry_linked = [this](wire::member const& entry)
    {
        // An immediate pong reports the offset of this entry's state to the peer, before the peer's
        // first ping. The peer does the same.
        wire::link_message pong;
        *pong.mutable_pong() = this->state_controller.pong();
        this->links.send_to_entry(wire::to_model(entry.id()), pong);
    };
    callbacks.entry_unlinked = [this](model::process_id const& entry)
    { this->peers.link_closed(entry); };
    callbacks.entry_traffic_received = [this](model::process_id const& entry)
    { this->state_controller.record_traffic_from(entry); };
    callbacks.entry_pong_received = [this](model::process_id const& entry, wire::pong const& pong)
    { this->state_controller.peer_offset_seen(entry, pong.state_offset()); };
    callbacks.entry_request_received =
        [this](model::process_id const& entry, wire::request const& request)
    { this->entry_request_received(entry, request); };
    callbacks.entry_response_received =
        [this](model::process_id const& entry, wire::response& response)
    { this->peers.response_received(entry, response); };
    callbacks.make_pong = [this] { return this->state_controller.pong(); };
    callbacks.make_agent_pong = [this]
    {
        auto pong = this->state_controller.pong();
        pong.set_state_offset(this->state_controller.state()->agent_offset());
        return pong;
    };
    callbacks.make_agent_state = [this] { return this->state_controller.state()->agent_state(); };
    callbacks.link_error = [this](std::string const& detail) {
        this->log.write(telemetry::events::link_error, {{"reason", detail}});
    };
    return callbacks;
}

control_state_callbacks entry_core::make_control_callbacks()
{
    control_state_callbacks callbacks;
    callbacks.state_changed =
        [this](state_ptr const& state, control::apply_result const& apply_result)
    { this->state_changed(state, apply_result); };
    callbacks.record_applied = [this](wire::control_record const& record, std::uint64_t offset,
                                      control::apply_result const& apply_result)
    { this->log_record(record, offset, apply_result); };
    callbacks.confirmation_changed = [this](control::confirmation_source source)
    { this->log_confirmation_change(source); };
    callbacks.send_probes = [this] { this->send_probes(); };
    callbacks.fetch_state = [this](model::process_id const& entry) { this->fetch_state(entry); };
    callbacks.request_promises = [this](wire::promise_request const& request)
    {
        wire::link_message message;
        *message.mutable_promise_request() = request;
        this->links.send_to_all_agents(message);
    };
    return callbacks;
}

shard_callbacks entry_core::make_shard_callbacks()
{
    shard_callbacks result;
    result.to_agent = [this](model::process_id const& agent, std::uint64_t link,
                             wire::link_message const& message)
    { return this->links.send_to_agent(agent, link, message); };
    result.lookup =
        [this](shard_id const& id, model::process_id const& member, wire::lookup const& lookup)
    { this->send_lookup_to_peer(id, member, lookup); };
    result.is_confirmed = [this] { return this->state_controller.is_confirmed(); };
    return result;
}

void entry_core::agent_linked(linked_agent const& agent)
{
    auto const& hello = agent.hello;
    this->log.write(telemetry::events::agent_linked,
                    {{"agent", hello.id().name()}, {"zone", hello.zone()}});
    if (!hello.target().service().empty())
    {
        wire::agent registration;
        *registration.mutable_id() = hello.id();
        registration.set_zone(hello.zone());
        registration.set_service(hello.target().service());
        this->state_controller.agent_linked(registration);
        this->local_shards.agent_linked(*this->state_controller.state(), agent);
    }
}

void entry_core::agent_unlinked(model::process_id const& agent, std::uint64_t link)
{
    this->log.write(telemetry::events::agent_lost, {{"agent", agent.name}});
    this->state_controller.agent_unlinked(agent);
    this->local_shards.agent_unlinked(agent, link);
}

void entry_core::agent_message_received(model::process_id const& agent, std::uint64_t link,
                                        wire::link_message& message)
{
    if (message.has_promise())
    {
        this->state_controller.promise_received(message.promise());
        return;
    }
    if (message.has_refused() && message.refused().reason() == wire::refusal_fenced)
    {
        this->state_controller.fenced_by_agent();
    }
    this->local_shards.agent_message_received(agent, link, message);
}

void entry_core::respond(model::process_id const& entry, std::uint64_t id, wire::response response)
{
    response.set_id(id);
    wire::link_message message;
    *message.mutable_response() = std::move(response);
    this->links.send_to_entry(entry, message);
}

void entry_core::handle_forwarded_submit(model::process_id const& entry, wire::request request)
{
    auto& job = *request.mutable_submit()->mutable_job();
    auto span = this->recorder.begin("own_submit", telemetry::span_kind::server, job.traceparent());
    job.set_traceparent(span.traceparent());
    auto const id = request.id();
    this->job_router.handle_peer(request,
                                 [this, entry, id, span = std::move(span)](wire::response answer)
                                 {
                                     this->recorder.end(span, answer.has_error());
                                     this->respond(entry, id, std::move(answer));
                                 });
}

void entry_core::entry_request_received(model::process_id const& entry,
                                        wire::request const& request)
{
    wire::response response;
    switch (request.body_case())
    {
    case wire::request::kSubmit:
        this->handle_forwarded_submit(entry, request);
        return;
    case wire::request::kQuery:
    case wire::request::kCancel:
    case wire::request::kAcknowledge:
        this->job_router.handle_peer(request,
                                     [this, entry, id = request.id()](wire::response answer)
                                     { this->respond(entry, id, std::move(answer)); });
        return;
    case wire::request::kLookup:
        *response.mutable_lookup() = this->local_shards.answer_lookup(request.lookup());
        break;
    case wire::request::kProbe:
        *response.mutable_probe() = this->state_controller.probe_reply();
        break;
    case wire::request::kState:
        *response.mutable_state()->mutable_state() = this->state_controller.state()->snapshot();
        break;
    case wire::request::kHandover:
        this->local_shards.accept_handover(*this->state_controller.state(), request.handover());
        response.mutable_handover();
        break;
    case wire::request::kStatus:
        *response.mutable_status() = this->status();
        break;
    case wire::request::BODY_NOT_SET:
        response.mutable_error()->set_code("unknown_request");
        break;
    }
    this->respond(entry, request.id(), std::move(response));
}

void entry_core::state_changed(state_ptr const& state, control::apply_result const& apply_result)
{
    if (apply_result.view_changed)
    {
        this->links.connect_members(state->members());
        // The other members confirm their state only once more than half of the members have
        // reported, in pongs or replies to probes, that they have applied this view. Until then
        // they start no task.
        wire::link_message pong;
        *pong.mutable_pong() = this->state_controller.pong();
        this->links.send_to_all_entries(pong);
    }
    this->local_shards.apply_state(*state, this->links.linked_agents());
    if (apply_result.view_changed || apply_result.service_changed)
    {
        wire::link_message message;
        *message.mutable_state() = state->agent_state();
        this->links.send_to_all_agents(message);
    }
}

void entry_core::send_probes()
{
    // The replies must not be evaluated with a count of agents from before a pause of this
    // process.
    this->state_controller.set_linked_agents(
        this->links.active_agents(control::agent_link_max_age));
    auto const sent_at = this->clock.steady_now();
    wire::request request;
    request.mutable_probe();
    for (auto const& member : this->links.linked_entries())
    {
        this->peers.send(member, request, probe_timeout,
                         [this, member, sent_at](peer_result const& result)
                         {
                             if (result && result.value().has_probe())
                             {
                                 this->state_controller.probe_answered(
                                     member, result.value().probe(), sent_at);
                             }
                         });
    }
}

void entry_core::fetch_state(model::process_id const& entry)
{
    wire::request request;
    request.mutable_state();
    this->peers.send(
        entry, request, probe_timeout,
        [this, entry](peer_result const& result)
        {
            if (result && result.value().has_state())
            {
                this->log.write(telemetry::events::state_transferred, {{"from", entry.name}});
                this->state_controller.state_received(result.value().state().state());
            }
        });
}

void entry_core::send_lookup_to_peer(shard_id const& id, model::process_id const& member,
                                     wire::lookup const& lookup)
{
    wire::request request;
    *request.mutable_lookup() = lookup;
    this->peers.send(member, request, lookup_timeout,
                     [this, id, member, lookup](peer_result const& result)
                     {
                         std::optional<wire::lookup_reply> reply;
                         if (result && result.value().has_lookup())
                         {
                             reply = result.value().lookup();
                         }
                         this->local_shards.lookup_answered(id, member, lookup, reply);
                     });
}

bool entry_core::is_member() const
{
    return this->state_controller.state()->is_member(this->self_id);
}

bool entry_core::is_leaving() const
{
    auto const state = this->state_controller.state();
    auto const members = state->members();
    return std::any_of(members.begin(), members.end(),
                       [this](wire::member const& member) {
                           return wire::to_model(member.id()) == this->self_id && member.leaving();
                       });
}

void entry_core::start_handover()
{
    auto const state = this->state_controller.state();
    for (auto const& id : this->local_shards.shards())
    {
        auto const owner = state->owner_of(id.service, id.shard);
        if (!owner || wire::to_model(owner->id()) == this->self_id)
        {
            // No other entry can take over the results.
            continue;
        }
        auto const receiver = wire::to_model(owner->id());
        for (auto part = this->local_shards.take_handover(id); part.jobs_size() > 0;
             part = this->local_shards.take_handover(id))
        {
            this->send_handover(receiver, std::move(part));
        }
    }
}

void entry_core::send_handover(model::process_id const& owner, wire::handover part)
{
    ++this->handovers_in_flight;
    wire::request request;
    *request.mutable_handover() = std::move(part);
    this->peers.send(owner, std::move(request), handover_timeout,
                     [this](peer_result const&) { --this->handovers_in_flight; });
}

} // namespace filbertroad::server

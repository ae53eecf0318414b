#include "filbertroad/server/entry_core.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <memory>
#include <mutex>
#include <utility>

namespace filbertroad::server
{
namespace
{

constexpr std::chrono::milliseconds slow_tick{100};
constexpr std::chrono::milliseconds lookup_timeout{1000};
constexpr std::chrono::milliseconds probe_timeout{1000};
constexpr std::chrono::milliseconds handover_timeout{3000};

wire::member make_self(settings::entry_settings const& settings, base::clock const& clock)
{
    wire::member self;
    self.mutable_id()->set_name(settings.name);
    self.mutable_id()->set_incarnation(base::to_unix_ms(clock.system_now()));
    self.set_zone(settings.zone);
    self.set_link_address(settings.advertise_link);
    self.set_http_address(settings.advertise_http);
    return self;
}

submission::owner_options make_owner_options(settings::entry_settings const& settings)
{
    submission::owner_options options;
    options.max_bytes = settings.max_held_bytes;
    return options;
}

} // namespace

entry_core::entry_core(boost::asio::io_context& io, settings::entry_settings const& settings,
                       base::clock const& clock, telemetry::event_log& log,
                       telemetry::span_writer& spans)
    : io(io), settings(settings), clock(clock), log(log), self_member(make_self(settings, clock)),
      self_id(wire::to_model(this->self_member.id())),
      recorder(clock, spans, this->self_id.incarnation),
      log_service(io, settings.log_address, settings.log_stream),
      links(io, clock, this->self_member, this->link_events()),
      peers(clock, [this](model::process_id const& peer, wire::link_message const& message)
            { return this->links.send_to_entry(peer, message); }),
      shard_objects(clock, this->self_id, make_owner_options(settings),
                    static_cast<std::uint32_t>(settings.max_queued_tasks), this->senders()),
      control_state(io, clock, this->log_service, this->self_member, {}, this->state_events()),
      requests(io, clock, this->control_state, this->shard_objects, this->peers, this->self_id)
{
}

base::result<void, base::error<net::net_error>> entry_core::listen()
{
    return this->links.listen(this->settings.listen_link);
}

void entry_core::start()
{
    this->links.connect_seeds(this->settings.peers);
    this->control_state.start();
}

void entry_core::stop()
{
    this->control_state.stop();
    this->links.stop();
}

void entry_core::tick()
{
    this->shard_objects.tick();
    auto const now = this->clock.steady_now().time_since_epoch().count();
    auto due = this->next_slow_tick_ns.load();
    auto const next = now + std::chrono::nanoseconds(slow_tick).count();
    if (now < due || !this->next_slow_tick_ns.compare_exchange_strong(due, next))
    {
        return;
    }
    this->links.tick();
    this->peers.tick();
    this->control_state.set_linked_agents(this->links.linked_agent_count(control::agent_link_age));
    this->update_metrics();
}

entry_link_events entry_core::link_events()
{
    entry_link_events events;
    events.agent_linked = [this](linked_agent const& agent) { this->agent_linked(agent); };
    events.agent_unlinked = [this](model::process_id const& agent, std::uint64_t link)
    { this->agent_unlinked(agent, link); };
    events.agent_message =
        [this](model::process_id const& agent, std::uint64_t link, wire::link_message& message)
    { this->agent_message(agent, link, message); };
    events.entry_linked = [this](wire::member const& entry)
    {
        // Both sides learn at once how far the other has read.
        wire::link_message pong;
        *pong.mutable_pong() = this->control_state.pong();
        this->links.send_to_entry(wire::to_model(entry.id()), pong);
    };
    events.entry_unlinked = [this](model::process_id const& entry)
    { this->peers.link_closed(entry); };
    events.entry_heard = [this](model::process_id const& entry)
    { this->control_state.heard_from(entry); };
    events.entry_pong = [this](model::process_id const& entry, wire::pong const& pong)
    { this->control_state.peer_offset_seen(entry, pong.state_offset()); };
    events.entry_request = [this](model::process_id const& entry, wire::request const& request)
    { this->entry_request(entry, request); };
    events.entry_response = [this](model::process_id const& entry, wire::response& response)
    { this->peers.response_received(entry, response); };
    events.make_pong = [this] { return this->control_state.pong(); };
    events.make_agent_pong = [this]
    {
        auto pong = this->control_state.pong();
        pong.set_state_offset(this->control_state.state()->agent_offset());
        return pong;
    };
    events.make_agent_state = [this] { return this->control_state.state()->agent_state(); };
    events.link_error = [this](std::string const& detail) {
        this->log.write(telemetry::events::link_error, {{"reason", detail}});
    };
    return events;
}

control_events entry_core::state_events()
{
    control_events events;
    events.state_changed = [this](state_ptr const& state, control::applied const& applied)
    { this->state_changed(state, applied); };
    events.record_applied = [this](wire::control_record const& record, std::uint64_t offset,
                                   control::applied const& applied)
    { this->log_record(record, offset, applied); };
    events.confirmation_changed = [this](control::confirmation_source source)
    { this->log_confirmation(source); };
    events.probe_members = [this] { this->probe_members(); };
    events.fetch_state = [this](model::process_id const& entry) { this->fetch_state(entry); };
    events.ask_promises = [this](wire::promise_request const& request)
    {
        wire::link_message message;
        *message.mutable_promise_request() = request;
        this->links.send_to_all_agents(message);
    };
    return events;
}

shard_senders entry_core::senders()
{
    shard_senders result;
    result.to_agent = [this](model::process_id const& agent, wire::link_message const& message)
    { return this->links.send_to_agent(agent, message); };
    result.lookup = [this](shard_id const& id, model::process_id const& member,
                           wire::lookup const& lookup) { this->ask_lookup(id, member, lookup); };
    result.is_confirmed = [this] { return this->control_state.is_confirmed(); };
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
        this->control_state.agent_linked(registration);
        this->shard_objects.agent_linked(*this->control_state.state(), agent);
    }
}

void entry_core::agent_unlinked(model::process_id const& agent, std::uint64_t link)
{
    this->log.write(telemetry::events::agent_lost, {{"agent", agent.name}});
    this->control_state.agent_unlinked(agent);
    this->shard_objects.agent_unlinked(agent, link);
}

void entry_core::agent_message(model::process_id const& agent, std::uint64_t link,
                               wire::link_message& message)
{
    if (message.has_promise())
    {
        this->control_state.promise_received(message.promise());
        return;
    }
    if (message.has_refused() && message.refused().reason() == wire::refusal_fenced)
    {
        this->control_state.fenced_by_agent();
    }
    this->shard_objects.agent_message(agent, link, message);
}

void entry_core::respond(model::process_id const& entry, std::uint64_t id, wire::response response)
{
    response.set_id(id);
    wire::link_message message;
    *message.mutable_response() = std::move(response);
    this->links.send_to_entry(entry, message);
}

void entry_core::submit_from_peer(model::process_id const& entry, wire::request request)
{
    auto& job = *request.mutable_submit()->mutable_job();
    auto span = this->recorder.begin("own_submit", telemetry::span_kind::server, job.traceparent());
    job.set_traceparent(span.traceparent());
    auto const id = request.id();
    this->requests.handle_peer(request,
                               [this, entry, id, span = std::move(span)](wire::response answer)
                               {
                                   this->recorder.end(span, answer.has_error());
                                   this->respond(entry, id, std::move(answer));
                               });
}

void entry_core::entry_request(model::process_id const& entry, wire::request const& request)
{
    wire::response response;
    switch (request.body_case())
    {
    case wire::request::kSubmit:
        this->submit_from_peer(entry, request);
        return;
    case wire::request::kQuery:
    case wire::request::kCancel:
    case wire::request::kAcknowledge:
        this->requests.handle_peer(request, [this, entry, id = request.id()](wire::response answer)
                                   { this->respond(entry, id, std::move(answer)); });
        return;
    case wire::request::kLookup:
        *response.mutable_lookup() = this->shard_objects.answer_lookup(request.lookup());
        break;
    case wire::request::kProbe:
        *response.mutable_probe() = this->control_state.probe_reply();
        break;
    case wire::request::kState:
        *response.mutable_state()->mutable_state() = this->control_state.state()->snapshot();
        break;
    case wire::request::kHandover:
        this->shard_objects.accept_handover(*this->control_state.state(), request.handover());
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

void entry_core::state_changed(state_ptr const& state, control::applied const& applied)
{
    if (applied.view_changed)
    {
        this->links.connect_members(state->members());
        // The others confirm their state only once they know that most members have this view, and
        // no task starts until then.
        wire::link_message pong;
        *pong.mutable_pong() = this->control_state.pong();
        this->links.send_to_all_entries(pong);
    }
    this->shard_objects.apply_state(*state, this->links.linked_agents());
    if (applied.view_changed || applied.service_changed)
    {
        wire::link_message message;
        *message.mutable_state() = state->agent_state();
        this->links.send_to_all_agents(message);
    }
}

void entry_core::probe_members()
{
    // A count from before a pause of this process must not be used for the answers.
    this->control_state.set_linked_agents(this->links.linked_agent_count(control::agent_link_age));
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
                                 this->control_state.probe_answered(member, result.value().probe(),
                                                                    sent_at);
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
                this->control_state.state_received(result.value().state().state());
            }
        });
}

void entry_core::ask_lookup(shard_id const& id, model::process_id const& member,
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
                         this->shard_objects.lookup_answered(id, member, lookup, reply);
                     });
}

bool entry_core::is_member() const
{
    return this->control_state.state()->is_member(this->self_id);
}

bool entry_core::is_leaving() const
{
    auto const state = this->control_state.state();
    auto const members = state->members();
    return std::any_of(members.begin(), members.end(),
                       [this](wire::member const& member) {
                           return wire::to_model(member.id()) == this->self_id && member.leaving();
                       });
}

void entry_core::start_handover()
{
    auto const state = this->control_state.state();
    for (auto const& id : this->shard_objects.shards())
    {
        auto const owner = state->owner_of(id.service, id.shard);
        if (!owner || wire::to_model(owner->id()) == this->self_id)
        {
            // There is nobody to take the answers.
            continue;
        }
        auto const receiver = wire::to_model(owner->id());
        for (auto part = this->shard_objects.take_handover(id); part.jobs_size() > 0;
             part = this->shard_objects.take_handover(id))
        {
            this->send_handover(receiver, std::move(part));
        }
    }
}

void entry_core::send_handover(model::process_id const& owner, wire::handover part)
{
    ++this->handovers_open;
    wire::request request;
    *request.mutable_handover() = std::move(part);
    this->peers.send(owner, std::move(request), handover_timeout,
                     [this](peer_result const&) { --this->handovers_open; });
}

} // namespace filbertroad::server

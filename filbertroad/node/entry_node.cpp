#include "filbertroad/node/entry_node.hpp"

#include "filbertroad/dispatch/snapshot_fetcher.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/node/frame.hpp"
#include "filbertroad/node/internal/admission_metrics.hpp"
#include "filbertroad/node/internal/cancel_exchange.hpp"
#include "filbertroad/node/internal/control_metrics.hpp"
#include "filbertroad/node/internal/job_metrics.hpp"
#include "filbertroad/node/internal/loop_delay_monitor.hpp"
#include "filbertroad/node/internal/usable_address.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>

namespace filbertroad::node
{
namespace asio = boost::asio;
namespace events = telemetry::events;
using dispatch::milliseconds;

namespace
{

/// Period of the checks of deadlines; far below the shortest time budget of a job.
constexpr milliseconds tick_period{25};

/// Least time between two heartbeats to the same agent. It is a fraction of the entry lease, so
/// that the loss of one heartbeat does not end the lease.
constexpr milliseconds min_heartbeat_interval{50};

/// The link of an agent on which nothing was received for this long is closed, and the agent
/// connects again. A connection can stop delivering data without ever being reset.
constexpr milliseconds link_idle_timeout{700};

/// Time between two hellos to the seeds, sent until one of them has responded.
constexpr milliseconds hello_interval{1'000};

/// Time for which this entry waits to read a change from the platform, like its peers, before it
/// asks one of them.
constexpr milliseconds snapshot_grace{150};

/// Longest IP:PORT.
constexpr std::size_t max_address_bytes = 64;

/// Reason of an answer to a caller with a long time budget.
constexpr std::string_view too_many_callers = "too many callers wait for long jobs";

/// Source of snapshots that were not received from a peer.
constexpr std::string_view platform_source = "platform";

struct agent_link
{
    std::shared_ptr<net::link> link;
    /// Version of the link protocol of the agent.
    std::uint32_t protocol = 0;
    frame pending_frame;
    bool has_pending_frame = false;
    /// Whether the frame is sent with the next flush. Others are sent with the next tick.
    bool is_urgent = false;
    /// Newest status that had its details.
    dispatch::target_status details;
    base::steady_time last_received{};
    base::steady_time last_heartbeat_sent{};
    std::uint64_t newest_status_stamp_ms = 0;
    std::uint64_t sent_snapshot_offset = 0;
};

class entry_node_impl final : public entry_node
{
public:
    entry_node_impl(asio::io_context& io, base::clock const& clock, telemetry::event_log& log,
                    telemetry::metrics_registry& metrics, std::string name, std::string address,
                    std::vector<std::string> seeds, dispatch::dispatch_limits limits,
                    std::vector<dispatch::caller_bound> caller_bounds, net::link_limits link_limits)
        : io(io), clock(clock), log(log), address(std::move(address)),
          link_limits(std::move(link_limits)),
          seeds(std::move(seeds)), identity{std::move(name), base::to_unix_ms(clock.system_now())},
          dispatcher(clock, limits), callers(std::move(caller_bounds)), tick_timer(io),
          hello_timer(io), job_metrics(metrics),
          cancels(io, clock, log, metrics, this->identity.name, this->link_limits,
                  {.make_hello = [this] { return this->make_hello(); },
                   .on_hello = [this](frame& content) { this->learn(content); },
                   .cancel_here = [this](std::string const& key) { return this->cancel(key); }}),
          admission_metrics(metrics, log), control_metrics(metrics), loop_delay(metrics, log),
          snapshots(this->identity.name, snapshot_grace)
    {
    }

    bool open() override
    {
        auto server =
            net::link_server::listen(this->io, this->address,
                                     {.on_open = [](std::shared_ptr<net::link> const&) {},
                                      .on_message = [this](std::shared_ptr<net::link> const& link,
                                                           wire::link_message& message)
                                      { this->handle_message(link, message); },
                                      .on_closed = [this](std::shared_ptr<net::link> const& link,
                                                          base::error<net::net_error> const& error)
                                      { this->handle_link_closed(link, error); }},
                                     nullptr, this->link_limits);
        if (!server)
        {
            this->log.write(events::address_unusable,
                            {{"address", this->address}, {"reason", server.error().detail}});
            return false;
        }
        this->link_listener = std::move(server).value();
        this->add_entry({this->identity.name, this->address});
        for (auto const& seed : this->seeds)
        {
            if (seed != this->address)
            {
                this->cancels.add_seed(seed);
            }
        }
        this->send_hello_to_seeds();
        this->schedule_tick();
        return true;
    }

    [[nodiscard]] std::uint16_t link_port() const override { return this->link_listener->port(); }

    std::uint64_t submit(dispatch::job_request request, answer_handler handler) override
    {
        auto const submission = ++this->last_submission;
        auto const [found, is_new] = this->open_submissions.try_emplace(request.key);
        auto& open = found->second;
        if (is_new)
        {
            open.time_budget = request.time_budget;
        }
        bool const has_room = this->callers.has_room(open.time_budget);
        if (!is_new && !has_room)
        {
            // The job may run for its other callers.
            handler({.key = request.key,
                     .outcome = dispatch::job_outcome::given_up,
                     .reason = std::string(too_many_callers)});
            return submission;
        }
        open.handlers.emplace(submission, std::move(handler));
        this->callers.add(open.time_budget);
        if (is_new && has_room)
        {
            this->cancels.observe_budget(request.time_budget);
            this->dispatcher.submit(std::move(request));
        }
        else if (is_new)
        {
            this->dispatcher.refuse(request, too_many_callers);
        }
        this->schedule_flush();
        return submission;
    }

    void withdraw(std::string const& key, std::uint64_t submission) override
    {
        auto const found = this->open_submissions.find(key);
        if (found == this->open_submissions.end() || !found->second.handlers.contains(submission))
        {
            return;
        }
        auto& open = found->second;
        if (open.handlers.size() == 1)
        {
            this->cancel(key);
            return;
        }
        open.handlers.erase(submission);
        this->callers.remove(open.time_budget);
    }

    bool cancel(std::string const& key) override
    {
        bool const was_present = this->dispatcher.cancel(key);
        this->schedule_flush();
        return was_present;
    }

    void cancel_everywhere(std::string const& key, cancel_handler handler) override
    {
        if (!this->cancel(key))
        {
            this->cancels.cancel(key, std::move(handler));
            return;
        }
        this->cancels.notify(key);
        handler(dispatch::cancel_result::cancelled);
    }

    void give_up_jobs(std::string const& reason) override
    {
        this->dispatcher.give_up_all(reason);
        this->cancels.abandon_all();
        this->execute_actions();
        this->send_pending(true);
    }

    [[nodiscard]] bool has_job(std::string const& key) const override
    {
        return this->dispatcher.holds(key);
    }

    [[nodiscard]] std::size_t waiting_jobs(std::string const& route) const override
    {
        return this->dispatcher.waiting_jobs(route);
    }

    [[nodiscard]] std::size_t job_count() const override { return this->dispatcher.job_count(); }
    [[nodiscard]] std::size_t task_count() const override { return this->dispatcher.task_count(); }
    [[nodiscard]] std::size_t waiting_callers() const override { return this->callers.count(); }

    [[nodiscard]] dispatch::control_snapshot_store const& control() const override
    {
        return this->control_state;
    }

    void offer_snapshot(dispatch::control_snapshot snapshot) override
    {
        this->apply_snapshot(std::move(snapshot), platform_source);
    }

    void add_entry(dispatch::entry_address const& entry) override
    {
        if (!internal::is_usable(entry, this->log))
        {
            return;
        }
        auto const added_bytes = entry.name.size() + max_address_bytes;
        bool const has_room =
            this->entries.size() < internal::max_known_peers &&
            this->known_entry_bytes + added_bytes <= internal::max_known_entry_bytes;
        if (!has_room && !this->entries.contains(entry.name))
        {
            return;
        }
        auto const [known, is_new] = this->entries.try_emplace(entry.name);
        this->known_entry_bytes += is_new ? added_bytes : 0;
        auto& known_link = known->second;
        // Records of other writers may name another address for this entry.
        bool const is_wrong = entry.name == this->identity.name && entry.link != this->address;
        if (is_wrong || known_link == entry.link)
        {
            return;
        }
        known_link = entry.link;
        this->dispatcher.set_entry_count(this->entries.size());
        this->cancels.add_entry(entry);
        this->changed_entries.insert(entry.name);
        this->schedule_flush();
    }

    [[nodiscard]] std::size_t accepting_agents() const override
    {
        return this->dispatcher.accepting_agents();
    }

    [[nodiscard]] bool is_ready() const override
    {
        return this->control_state.current().version != 0 &&
               this->dispatcher.accepting_agents() != 0;
    }

private:
    void handle_message(std::shared_ptr<net::link> const& link, wire::link_message const& message)
    {
        auto content = decode_frame(message, frame_receiver::entry);
        if (!content)
        {
            this->log.write(events::bad_input,
                            {{"reason", "link message without a dispatch frame"}});
            return;
        }
        this->cancels.answer_queries(link, *content);
        if (content->sender_entry)
        {
            this->handle_entry_hello(link, *content);
            return;
        }
        if (content->sender_agent && !this->agent_by_link.contains(link->number()))
        {
            this->register_agent(link, *content->sender_agent, content->sender_protocol);
        }
        auto const found = this->agent_by_link.find(link->number());
        if (found != this->agent_by_link.end())
        {
            this->process_frame(found->second, *content);
        }
    }

    /// Takes over what the hello of another entry says.
    void learn(frame& content)
    {
        this->add_entries(content.entries);
        if (content.snapshot)
        {
            this->apply_snapshot(std::move(*content.snapshot), content.sender_entry->name);
        }
    }

    void add_entries(std::span<dispatch::entry_address const> added)
    {
        // No process knows more.
        for (auto const& entry : added.first(std::min(added.size(), internal::max_known_peers)))
        {
            this->add_entry(entry);
        }
    }

    /// Handles the hello of another entry, or the response of a seed to the hello of this entry.
    void handle_entry_hello(std::shared_ptr<net::link> const& link, frame& content)
    {
        this->learn(content);
        if (this->pending_hellos.erase(link->number()) != 0)
        {
            this->has_seed_responded = true;
            link->close();
            return;
        }
        if (!this->greeted_links.insert(link->number()).second)
        {
            // An entry sends one hello on a link.
            link->close();
            return;
        }
        auto hello = this->make_hello();
        if (content.for_cancels)
        {
            hello.snapshot.reset();
        }
        link->send(encode_frame(hello));
    }

    [[nodiscard]] frame make_hello() const
    {
        frame hello;
        hello.sender_entry = this->identity;
        for (auto const& [name, link] : this->entries)
        {
            hello.entries.push_back({name, link});
        }
        if (this->control_state.current().offset != 0)
        {
            hello.snapshot = this->control_state.current();
        }
        return hello;
    }

    void register_agent(std::shared_ptr<net::link> const& link, dispatch::process_id const& agent,
                        std::uint32_t protocol)
    {
        bool const has_room = agent.name.size() <= internal::max_peer_name_bytes &&
                              (this->agents.contains(agent.name) || this->make_room_for_agent());
        if (!has_room)
        {
            link->close();
            return;
        }
        auto& state = this->agents[agent.name];
        if (state.link)
        {
            this->agent_by_link.erase(state.link->number());
            state.link->close();
        }
        std::erase(this->pending_links, &state);
        state = {};
        state.link = link;
        state.protocol = protocol;
        state.last_received = this->clock.steady_now();
        auto hello = this->make_hello();
        hello.snapshot.reset();
        this->urgent_frame(state) = std::move(hello);
        if (protocol < snapshot_request_protocol)
        {
            this->send_snapshot_if_stale(state, 0);
        }
        this->agent_by_link[link->number()] = agent.name;
        this->cancels.agent_lost(agent.name);
        this->dispatcher.agent_connected(agent);
        this->log.write(events::agent_linked, {{"agent", agent.name}});
    }

    /// Forgets the agent that has been gone for longest if there are too many. Returns false if
    /// each is linked or may have runs.
    bool make_room_for_agent()
    {
        if (this->agents.size() < internal::max_known_peers)
        {
            return true;
        }
        auto oldest = this->agents.end();
        for (auto next = this->agents.begin(); next != this->agents.end(); ++next)
        {
            bool const is_older = oldest == this->agents.end() ||
                                  next->second.last_received < oldest->second.last_received;
            if (!next->second.link && is_older && this->dispatcher.can_forget(next->first))
            {
                oldest = next;
            }
        }
        if (oldest == this->agents.end())
        {
            return false;
        }
        std::erase(this->pending_links, &oldest->second);
        this->dispatcher.forget_agent(oldest->first);
        this->agents.erase(oldest);
        return true;
    }

    void process_frame(std::string const& agent, frame& content)
    {
        auto& state = this->agents[agent];
        state.last_received = this->clock.steady_now();
        // The status comes first: a task that the agent returned is placed by the load it reports.
        if (content.status)
        {
            this->complete_details(state, content);
            state.newest_status_stamp_ms = content.status->stamp_ms;
            this->dispatcher.status_received(agent, *content.status);
            this->send_heartbeat_if_due(state);
            this->control_metrics.peer_announced(content.status->snapshot_offset,
                                                 this->control_state.current().offset,
                                                 state.last_received);
            this->snapshot_announced(agent, state, content.status->snapshot_offset);
        }
        if (content.wants_snapshot)
        {
            this->send_snapshot_if_stale(state, 0);
        }
        if (content.linked_entries)
        {
            this->cancels.agent_lists(agent, *content.linked_entries);
        }
        for (auto const& report : content.reports)
        {
            this->dispatcher.run_ended(agent, report);
        }
        if (content.snapshot)
        {
            this->snapshots.received(agent);
            this->apply_snapshot(std::move(*content.snapshot), agent);
        }
        this->add_entries(content.entries);
        this->schedule_flush();
    }

    /// Adds the details of an earlier status on the link to a status that was sent without them.
    static void complete_details(agent_link& state, frame& content)
    {
        auto& status = *content.status;
        if (content.has_status_details)
        {
            state.details = status;
            return;
        }
        status.service = state.details.service;
        status.zone = state.details.zone;
        status.capacity = state.details.capacity;
        status.class_load = state.details.class_load;
        status.crash_count = state.details.crash_count;
        status.crash_routes = state.details.crash_routes;
        status.progress = state.details.progress;
        status.labels = state.details.labels;
    }

    void send_heartbeat_if_due(agent_link& state)
    {
        auto const now = this->clock.steady_now();
        if (now - state.last_heartbeat_sent >= min_heartbeat_interval)
        {
            state.last_heartbeat_sent = now;
            this->pending_frame(state).heartbeat = {state.newest_status_stamp_ms,
                                                    this->control_state.current().offset};
        }
    }

    /// An agent has a snapshot of `offset`. It asks for a newer one by itself, unless it is of an
    /// earlier version.
    void snapshot_announced(std::string const& agent, agent_link& state, std::uint64_t offset)
    {
        if (state.protocol < snapshot_request_protocol)
        {
            this->send_snapshot_if_stale(state, offset);
            return;
        }
        this->snapshots.peer_announced(agent, offset);
    }

    void request_snapshot(base::steady_time now)
    {
        auto const peer = this->snapshots.next_request(this->control_state.current().offset, now);
        if (peer)
        {
            this->urgent_frame(this->agents[*peer]).wants_snapshot = true;
        }
    }

    void send_snapshot_if_stale(agent_link& state, std::uint64_t offset)
    {
        auto const& current = this->control_state.current();
        if (offset < current.offset && state.sent_snapshot_offset < current.offset)
        {
            state.sent_snapshot_offset = current.offset;
            this->urgent_frame(state).snapshot = current;
            this->control_metrics.snapshot_sent();
        }
    }

    void apply_snapshot(dispatch::control_snapshot snapshot, std::string_view source)
    {
        bool const is_newer = this->control_state.update_if_newer(std::move(snapshot));
        if (source != platform_source)
        {
            this->control_metrics.snapshot_received(is_newer);
        }
        if (!is_newer)
        {
            return;
        }
        auto const& current = this->control_state.current();
        auto const behind = this->control_metrics.applied(current, this->clock.steady_now());
        this->log.write(events::control_applied,
                        {{"offset", std::to_string(current.offset)},
                         {"version", std::to_string(current.version)},
                         {"zones_out", std::to_string(current.zones_out.size())},
                         {"source", std::string(source)},
                         {"behind_ms", std::to_string(behind.count())}});
        for (auto& [name, agent] : this->agents)
        {
            if (agent.protocol < snapshot_request_protocol)
            {
                this->send_snapshot_if_stale(agent, 0);
            }
        }
        this->schedule_flush();
    }

    void handle_link_closed(std::shared_ptr<net::link> const& link,
                            base::error<net::net_error> const& error)
    {
        this->pending_hellos.erase(link->number());
        this->greeted_links.erase(link->number());
        this->cancels.incoming_closed(*link);
        auto const found = this->agent_by_link.find(link->number());
        if (found == this->agent_by_link.end())
        {
            return;
        }
        this->disconnect_agent(found->second, error.detail);
    }

    void disconnect_agent(std::string const& name, std::string_view reason)
    {
        auto const agent = std::string(name);
        auto& state = this->agents[agent];
        if (state.link)
        {
            this->agent_by_link.erase(state.link->number());
            state.link->close();
            state.link = nullptr;
        }
        this->dispatcher.agent_disconnected(agent);
        this->snapshots.peer_lost(agent);
        this->cancels.agent_lost(agent);
        this->log.write(events::agent_lost, {{"agent", agent}, {"reason", std::string(reason)}});
        this->schedule_flush();
    }

    void schedule_tick()
    {
        this->tick_timer.expires_after(tick_period);
        this->loop_delay.scheduled(this->clock.steady_now() + tick_period);
        this->tick_timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                {
                    this->loop_delay.ran(this->clock.steady_now());
                    this->schedule_tick();
                    this->tick();
                }
            });
    }

    void tick()
    {
        auto const now = this->clock.steady_now();
        for (auto& [name, agent] : this->agents)
        {
            if (agent.link && now - agent.last_received > link_idle_timeout)
            {
                this->disconnect_agent(name, "silent");
            }
        }
        this->dispatcher.tick();
        this->cancels.tick();
        this->request_snapshot(now);
        this->admission_metrics.update(this->dispatcher.admissions(), now);
        this->execute_actions();
        this->send_pending(true);
    }

    void send_hello_to_seeds()
    {
        if (this->has_seed_responded)
        {
            return;
        }
        for (auto const& seed : this->seeds)
        {
            if (seed == this->address)
            {
                continue;
            }
            auto link = net::link::connect(
                this->io, seed,
                {.on_open = [this](std::shared_ptr<net::link> const& opened_link)
                 { opened_link->send(encode_frame(this->make_hello())); },
                 .on_message = [this](std::shared_ptr<net::link> const& peer_link,
                                      wire::link_message& message)
                 { this->handle_message(peer_link, message); },
                 .on_closed = [this](std::shared_ptr<net::link> const& closed_link,
                                     base::error<net::net_error> const&)
                 { this->pending_hellos.erase(closed_link->number()); }},
                nullptr, this->link_limits);
            this->pending_hellos[link->number()] = link;
        }
        this->hello_timer.expires_after(hello_interval);
        this->hello_timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                {
                    this->send_hello_to_seeds();
                }
            });
    }

    /// Schedules flush() after the current handler, so that all output that one event causes goes
    /// into one message per link.
    void schedule_flush()
    {
        if (!std::exchange(this->is_flush_scheduled, true))
        {
            asio::post(this->io, [this] { this->flush(); });
        }
    }

    void flush()
    {
        this->is_flush_scheduled = false;
        this->announce_entries();
        this->execute_actions();
        this->send_pending(false);
    }

    /// Sends the addresses that have changed to all agents, which connect to them.
    void announce_entries()
    {
        for (auto const& name : std::exchange(this->changed_entries, {}))
        {
            auto const& address = this->entries[name];
            this->log.write(events::entry_known, {{"entry", name}, {"link", address}});
            for (auto& [agent_name, agent] : this->agents)
            {
                if (agent.link)
                {
                    this->urgent_frame(agent).entries.push_back({name, address});
                }
            }
        }
    }

    void execute_actions()
    {
        for (auto& action : this->dispatcher.take_actions())
        {
            std::visit([this](auto& item) { this->execute(item); }, action);
        }
    }

    /// Sends the pending frames; only the urgent ones unless `all`.
    void send_pending(bool all)
    {
        std::erase_if(this->pending_links,
                      [all](agent_link* agent)
                      {
                          if (!all && !agent->is_urgent)
                          {
                              return false;
                          }
                          if (agent->link)
                          {
                              agent->link->send(
                                  encode_frame(agent->pending_frame, agent->protocol));
                          }
                          agent->pending_frame = {};
                          agent->has_pending_frame = false;
                          agent->is_urgent = false;
                          return true;
                      });
    }

    /// Frame to the agent that is sent with the next tick at the latest. Acknowledgements and
    /// heartbeats wait for it, so that they share a message.
    frame& pending_frame(agent_link& state)
    {
        if (!std::exchange(state.has_pending_frame, true))
        {
            this->pending_links.push_back(&state);
        }
        return state.pending_frame;
    }

    /// Like pending_frame(), but the frame is sent with the next flush.
    frame& urgent_frame(agent_link& state)
    {
        state.is_urgent = true;
        return this->pending_frame(state);
    }

    void execute(dispatch::send_start& action)
    {
        this->job_metrics.record_run_sent(action);
        this->log.write_for(action.key, events::run_sent,
                            {{"task", action.order.id.task},
                             {"run", std::to_string(action.order.id.run)},
                             {"agent", action.agent},
                             {"wait_ms", std::to_string(action.wait.count())},
                             {"run_ms", std::to_string(action.run.count())},
                             {"moved", std::string(to_string(action.previous_run))},
                             {"place", std::string(to_string(action.place))}});
        this->urgent_frame(this->agents[action.agent]).starts.push_back(std::move(action.order));
    }

    void execute(dispatch::send_cancel& action)
    {
        this->job_metrics.record_cancel(action);
        this->urgent_frame(this->agents[action.agent]).cancels.push_back(std::move(action.id));
    }

    void execute(dispatch::send_acknowledgement& action)
    {
        this->pending_frame(this->agents[action.agent])
            .acknowledged.push_back(std::move(action.id));
    }

    void execute(dispatch::send_resume& action)
    {
        this->urgent_frame(this->agents[action.agent]).resume = std::move(action.orders);
    }

    void execute(dispatch::answer_job& action)
    {
        this->job_metrics.record_answer(action);
        this->log.write_for(action.key, events::job_answered,
                            {{"key", action.key},
                             {"outcome", std::string(to_string(action.outcome))},
                             {"reason", action.reason},
                             {"held_ms", std::to_string(action.latency.count())},
                             {"runs", std::to_string(action.runs)}});
        bool const is_dropped = action.outcome == dispatch::job_outcome::not_run ||
                                action.reason == dispatch::cancelled_reason;
        this->log.end_request(action.key,
                              is_dropped ? telemetry::request_end::dropped
                                         : telemetry::request_end::served,
                              action.reason);
        auto const node = this->open_submissions.extract(action.key);
        if (!node)
        {
            return;
        }
        for (auto const& [submission, handler] : node.mapped().handlers)
        {
            this->callers.remove(node.mapped().time_budget);
            handler(action);
        }
    }

    asio::io_context& io;
    base::clock const& clock;
    telemetry::event_log& log;
    std::string address;
    net::link_limits link_limits;
    std::vector<std::string> seeds;
    dispatch::process_id identity;
    dispatch::job_dispatcher dispatcher;
    dispatch::waiting_callers callers;
    dispatch::control_snapshot_store control_state;
    std::unique_ptr<net::link_server> link_listener;
    std::map<std::string, agent_link> agents;
    std::map<std::uint64_t, std::string> agent_by_link;
    /// Agents with a pending frame.
    std::vector<agent_link*> pending_links;
    std::map<std::string, std::string> entries;
    std::size_t known_entry_bytes = 0;
    /// Entries whose addresses have changed since the last flush.
    std::set<std::string> changed_entries;
    /// Links on which the hello of an entry has been answered.
    std::set<std::uint64_t> greeted_links;
    std::map<std::uint64_t, std::shared_ptr<net::link>> pending_hellos;
    bool has_seed_responded = false;
    struct open_submission
    {
        /// Time budget of the job, and so of every caller that waits for its answer.
        milliseconds time_budget{};
        /// By number of the submission.
        std::map<std::uint64_t, answer_handler> handlers;
    };
    /// Submissions of open jobs, by key.
    std::map<std::string, open_submission> open_submissions;
    std::uint64_t last_submission = 0;
    asio::steady_timer tick_timer;
    asio::steady_timer hello_timer;
    bool is_flush_scheduled = false;
    internal::job_metrics job_metrics;
    internal::cancel_exchange cancels;
    internal::admission_metrics admission_metrics;
    internal::control_metrics control_metrics;
    internal::loop_delay_monitor loop_delay;
    dispatch::snapshot_fetcher snapshots;
};

} // namespace

std::unique_ptr<entry_node> entry_node::builder::build(asio::io_context& io,
                                                       base::clock const& clock,
                                                       telemetry::event_log& log,
                                                       telemetry::metrics_registry& metrics) const
{
    return std::make_unique<entry_node_impl>(
        io, clock, log, metrics, this->own_name, this->link_address, this->seed_links,
        this->dispatch_limits, this->bounds_of_callers, this->limits_of_links);
}

} // namespace filbertroad::node

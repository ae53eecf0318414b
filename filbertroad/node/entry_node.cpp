#include "filbertroad/node/entry_node.hpp"

#include "filbertroad/net/link.hpp"
#include "filbertroad/node/frame.hpp"
#include "filbertroad/node/internal/job_metrics.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace filbertroad::node
{
namespace asio = boost::asio;
namespace events = telemetry::events;
using dispatch::milliseconds;

namespace
{

/// Period of the checks of deadlines; far below the shortest time budget.
constexpr milliseconds tick_period{25};

/// Least time between two echoes to one agent; a fraction of the agent's authority time, so that a
/// lost echo does not end the authority.
constexpr milliseconds echo_period{50};

/// Silence after which the link of an agent is closed. The agent makes a new one; a connection may
/// go silent for good without a reset.
constexpr milliseconds link_silence_limit{700};

/// Pause between two greetings to the seeds until one has answered.
constexpr milliseconds greeting_period{1'000};

struct agent_link
{
    std::shared_ptr<net::link> link;
    frame out;
    bool has_output = false;
    base::steady_time last_contact_time{};
    base::steady_time echo_sent{};
    std::uint64_t newest_stamp = 0;
    std::uint64_t sent_offset = 0;
};

class linked_entry final : public entry_node
{
public:
    linked_entry(asio::io_context& io, base::clock const& clock, telemetry::event_log& log,
                 telemetry::metrics_registry& metrics, std::string name, std::string address,
                 std::vector<std::string> seeds, dispatch::dispatch_limits limits)
        : io(io), clock(clock), log(log), address(std::move(address)),
          seeds(std::move(seeds)), identity{std::move(name), base::to_unix_ms(clock.system_now())},
          dispatcher(clock, limits), tick_timer(io), greeting_timer(io), job_metrics(metrics)
    {
    }

    bool open() override
    {
        auto server = net::link_server::listen(
            this->io, this->address,
            {.on_open = [](std::shared_ptr<net::link> const&) {},
             .on_message = [this](std::shared_ptr<net::link> const& link,
                                  wire::link_message& message) { this->received(link, message); },
             .on_closed = [this](std::shared_ptr<net::link> const& link,
                                 base::error<net::net_error> const& error)
             { this->closed(link, error); }});
        if (!server)
        {
            this->log.write(events::address_unusable,
                            {{"address", this->address}, {"reason", server.error().detail}});
            return false;
        }
        this->links = std::move(server).value();
        this->add_entry({this->identity.name, this->address});
        this->greet_seeds();
        this->tick_later();
        return true;
    }

    [[nodiscard]] std::uint16_t link_port() const override { return this->links->port(); }

    void submit(dispatch::job_request request, answer_handler handler) override
    {
        auto& present = this->handlers[request.key];
        if (present)
        {
            auto earlier = std::move(present);
            present = [earlier = std::move(earlier),
                       handler = std::move(handler)](dispatch::answer_job const& answer)
            {
                earlier(answer);
                handler(answer);
            };
            return;
        }
        present = std::move(handler);
        this->dispatcher.submit(std::move(request));
        this->flush_later();
    }

    bool cancel(std::string const& key) override
    {
        bool const was_present = this->dispatcher.cancel(key);
        this->flush_later();
        return was_present;
    }

    [[nodiscard]] bool holds(std::string const& key) const override
    {
        return this->dispatcher.holds(key);
    }

    [[nodiscard]] std::size_t waiting_jobs(std::string const& route) const override
    {
        return this->dispatcher.waiting_jobs(route);
    }

    [[nodiscard]] std::size_t job_count() const override { return this->dispatcher.job_count(); }

    [[nodiscard]] dispatch::control_snapshot_store const& control() const override
    {
        return this->holder;
    }

    void offer_control(dispatch::control_snapshot snapshot) override
    {
        this->take_snapshot(std::move(snapshot), "platform");
    }

    void add_entry(dispatch::entry_address const& entry) override
    {
        auto& known = this->entries[entry.name];
        if (known == entry.link)
        {
            return;
        }
        known = entry.link;
        this->log.write(events::entry_known, {{"entry", entry.name}, {"link", entry.link}});
        for (auto& [name, agent] : this->agents)
        {
            agent.out.entries.push_back(entry);
            agent.has_output = true;
        }
        this->flush_later();
    }

    [[nodiscard]] std::size_t open_agents() const override
    {
        return this->dispatcher.open_agents();
    }

    [[nodiscard]] bool is_ready() const override
    {
        return this->holder.current().version != 0 && this->dispatcher.open_agents() != 0;
    }

private:
    void received(std::shared_ptr<net::link> const& link, wire::link_message const& message)
    {
        auto content = to_frame(message);
        if (!content)
        {
            this->log.write(events::bad_input, {{"reason", "a link message holds no frame"}});
            return;
        }
        if (content->entry)
        {
            this->greeted(link, *content);
            return;
        }
        if (content->agent)
        {
            this->register_agent(link, *content->agent);
        }
        auto const found = this->agent_names.find(link->number());
        if (found != this->agent_names.end())
        {
            this->take_frame(found->second, *content);
        }
    }

    /// Another entry tells of itself, or answers the greeting of this one.
    void greeted(std::shared_ptr<net::link> const& link, frame& content)
    {
        for (auto const& entry : content.entries)
        {
            this->add_entry(entry);
        }
        if (content.snapshot)
        {
            this->take_snapshot(std::move(*content.snapshot), content.entry->name);
        }
        if (this->greeting_links.erase(link->number()) != 0)
        {
            this->is_greeted = true;
            link->close();
            return;
        }
        link->send(to_message(this->make_greeting()));
    }

    [[nodiscard]] frame make_greeting() const
    {
        frame greeting;
        greeting.entry = this->identity;
        for (auto const& [name, link] : this->entries)
        {
            greeting.entries.push_back({name, link});
        }
        if (this->holder.current().offset != 0)
        {
            greeting.snapshot = this->holder.current();
        }
        return greeting;
    }

    void register_agent(std::shared_ptr<net::link> const& link,
                        dispatch::process_identity const& agent)
    {
        auto& known = this->agents[agent.name];
        if (known.link)
        {
            this->agent_names.erase(known.link->number());
            known.link->close();
        }
        known = {};
        known.link = link;
        known.last_contact_time = this->clock.steady_now();
        known.out = this->make_greeting();
        known.has_output = true;
        known.sent_offset = this->holder.current().offset;
        this->agent_names[link->number()] = agent.name;
        this->dispatcher.agent_connected(agent);
        this->log.write(events::agent_linked, {{"agent", agent.name}});
    }

    void take_frame(std::string const& agent, frame& content)
    {
        auto& known = this->agents[agent];
        known.last_contact_time = this->clock.steady_now();
        for (auto const& report : content.reports)
        {
            this->dispatcher.run_ended(agent, report);
        }
        if (content.load)
        {
            known.newest_stamp = content.load->stamp_ms;
            this->dispatcher.status_received(agent, *content.load);
            this->echo_if_due(known);
            this->send_snapshot_if_older(known, content.load->snapshot_offset);
        }
        if (content.snapshot)
        {
            this->take_snapshot(std::move(*content.snapshot), agent);
        }
        this->flush_later();
    }

    void echo_if_due(agent_link& known)
    {
        auto const now = this->clock.steady_now();
        if (now - known.echo_sent >= echo_period)
        {
            known.echo_sent = now;
            known.out.echo = {known.newest_stamp, this->holder.current().offset};
            known.has_output = true;
        }
    }

    void send_snapshot_if_older(agent_link& known, std::uint64_t offset)
    {
        auto const& current = this->holder.current();
        if (offset < current.offset && known.sent_offset < current.offset)
        {
            known.sent_offset = current.offset;
            known.out.snapshot = current;
            known.has_output = true;
        }
    }

    void take_snapshot(dispatch::control_snapshot snapshot, std::string_view source)
    {
        if (!this->holder.update_if_newer(std::move(snapshot)))
        {
            return;
        }
        auto const& current = this->holder.current();
        this->log.write(events::control_applied,
                        {{"offset", std::to_string(current.offset)},
                         {"version", std::to_string(current.version)},
                         {"zones_out", std::to_string(current.zones_out.size())},
                         {"source", std::string(source)}});
        for (auto& [name, agent] : this->agents)
        {
            this->send_snapshot_if_older(agent, 0);
        }
        this->flush_later();
    }

    void closed(std::shared_ptr<net::link> const& link, base::error<net::net_error> const& error)
    {
        this->greeting_links.erase(link->number());
        auto const found = this->agent_names.find(link->number());
        if (found == this->agent_names.end())
        {
            return;
        }
        this->drop_agent(found->second, error.detail);
    }

    void drop_agent(std::string const& name, std::string_view reason)
    {
        auto const agent = std::string(name);
        auto& known = this->agents[agent];
        if (known.link)
        {
            this->agent_names.erase(known.link->number());
            known.link->close();
            known.link = nullptr;
        }
        this->dispatcher.agent_disconnected(agent);
        this->log.write(events::agent_lost, {{"agent", agent}, {"reason", std::string(reason)}});
        this->flush_later();
    }

    void tick_later()
    {
        this->tick_timer.expires_after(tick_period);
        this->tick_timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                {
                    this->tick();
                    this->tick_later();
                }
            });
    }

    void tick()
    {
        auto const now = this->clock.steady_now();
        for (auto& [name, agent] : this->agents)
        {
            if (agent.link && now - agent.last_contact_time > link_silence_limit)
            {
                this->drop_agent(name, "silent");
            }
        }
        this->dispatcher.tick();
        this->flush();
    }

    void greet_seeds()
    {
        if (this->is_greeted)
        {
            return;
        }
        for (auto const& seed : this->seeds)
        {
            if (seed == this->address)
            {
                continue;
            }
            auto link =
                net::link::connect(this->io, seed,
                                   {.on_open = [this](std::shared_ptr<net::link> const& opened)
                                    { opened->send(to_message(this->make_greeting())); },
                                    .on_message = [this](std::shared_ptr<net::link> const& from,
                                                         wire::link_message& message)
                                    { this->received(from, message); },
                                    .on_closed = [this](std::shared_ptr<net::link> const& gone,
                                                        base::error<net::net_error> const&)
                                    { this->greeting_links.erase(gone->number()); }});
            this->greeting_links[link->number()] = link;
        }
        this->greeting_timer.expires_after(greeting_period);
        this->greeting_timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                {
                    this->greet_seeds();
                }
            });
    }

    /// Sends what the present event caused in one message per link, after its handler.
    void flush_later()
    {
        if (!std::exchange(this->is_flush_posted, true))
        {
            asio::post(this->io, [this] { this->flush(); });
        }
    }

    void flush()
    {
        this->is_flush_posted = false;
        for (auto& action : this->dispatcher.take_actions())
        {
            std::visit([this](auto& item) { this->carry_out(item); }, action);
        }
        for (auto& [name, agent] : this->agents)
        {
            if (std::exchange(agent.has_output, false) && agent.link)
            {
                agent.link->send(to_message(agent.out));
            }
            agent.out = {};
        }
    }

    frame& output(std::string const& agent)
    {
        auto& known = this->agents[agent];
        known.has_output = true;
        return known.out;
    }

    void carry_out(dispatch::send_start& action)
    {
        this->job_metrics.count_run();
        this->log.write(events::run_sent, {{"task", action.order.id.task},
                                           {"run", std::to_string(action.order.id.run)},
                                           {"agent", action.agent},
                                           {"wait_ms", std::to_string(action.wait.count())},
                                           {"run_ms", std::to_string(action.run.count())}});
        this->output(action.agent).starts.push_back(std::move(action.order));
    }

    void carry_out(dispatch::send_cancel& action)
    {
        this->output(action.agent).cancels.push_back(std::move(action.id));
    }

    void carry_out(dispatch::send_acknowledgement& action)
    {
        this->output(action.agent).acknowledged.push_back(std::move(action.id));
    }

    void carry_out(dispatch::send_resume& action)
    {
        this->output(action.agent).resume = std::move(action.orders);
    }

    void carry_out(dispatch::answer_job& action)
    {
        this->job_metrics.count(action);
        this->log.write(events::job_answered, {{"key", action.key},
                                               {"outcome", std::string(to_string(action.outcome))},
                                               {"reason", action.reason},
                                               {"held_ms", std::to_string(action.latency.count())},
                                               {"runs", std::to_string(action.runs)}});
        auto const found = this->handlers.find(action.key);
        if (found != this->handlers.end())
        {
            auto const handler = std::move(found->second);
            this->handlers.erase(found);
            handler(action);
        }
    }

    asio::io_context& io;
    base::clock const& clock;
    telemetry::event_log& log;
    std::string address;
    std::vector<std::string> seeds;
    dispatch::process_identity identity;
    dispatch::job_dispatcher dispatcher;
    dispatch::control_snapshot_store holder;
    std::unique_ptr<net::link_server> links;
    std::map<std::string, agent_link> agents;
    std::map<std::uint64_t, std::string> agent_names;
    std::map<std::string, std::string> entries;
    std::map<std::uint64_t, std::shared_ptr<net::link>> greeting_links;
    bool is_greeted = false;
    std::map<std::string, answer_handler> handlers;
    asio::steady_timer tick_timer;
    asio::steady_timer greeting_timer;
    bool is_flush_posted = false;
    internal::job_metrics job_metrics;
};

} // namespace

std::unique_ptr<entry_node> entry_node::builder::build(asio::io_context& io,
                                                       base::clock const& clock,
                                                       telemetry::event_log& log,
                                                       telemetry::metrics_registry& metrics) const
{
    return std::make_unique<linked_entry>(io, clock, log, metrics, this->own_name,
                                          this->link_address, this->seed_links,
                                          this->dispatch_limits);
}

} // namespace filbertroad::node

#include "filbertroad/node/agent_node.hpp"

#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/node/frame.hpp"
#include "filbertroad/node/internal/renewal_loop.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>

namespace filbertroad::node
{
namespace asio = boost::asio;
namespace events = telemetry::events;
using dispatch::milliseconds;

namespace
{

/// Period of the checks of deadlines, entry leases and target leases.
constexpr milliseconds tick_period{25};

/// Longest time between two status messages to an entry. An entry lease spans several of them, so
/// that the loss of one does not end the lease.
constexpr milliseconds max_status_interval{150};

/// Changes of load within this time are sent in one status message.
constexpr milliseconds status_coalescing_delay{5};

/// A link on which nothing was received for this long is closed and opened again.
constexpr milliseconds link_idle_timeout{400};

/// Time for a link to open, and then for the entry's hello to arrive. An entry whose VM is without
/// power does not answer at all. The limit is short so that a new attempt follows soon after the VM
/// is back, since the entry needs all agents then.
constexpr milliseconds connect_timeout{150};

/// Delay between attempts to connect to an entry: doubles from the initial value to the maximum.
constexpr milliseconds initial_reconnect_backoff{25};
constexpr milliseconds max_reconnect_backoff{400};

struct entry_link
{
    std::shared_ptr<net::link> link;
    /// Name of the entry; empty until its hello has arrived on this link.
    std::string name;
    base::steady_time last_received{};
    base::steady_time next_attempt{};
    milliseconds backoff = initial_reconnect_backoff;
    base::steady_time last_status_sent{};
    std::uint64_t sent_snapshot_offset = 0;
    std::vector<dispatch::run_report> reports;
};

class agent_node_impl final : public agent_node
{
public:
    agent_node_impl(asio::io_context& io, base::clock const& clock, target_client& target,
                    telemetry::event_log& log, telemetry::metrics_registry& metrics,
                    std::string name, std::string zone, std::vector<std::string> const& seeds,
                    dispatch::agent_limits limits)
        : io(io), clock(clock), log(log), zone(zone),
          incarnation(base::to_unix_ms(clock.system_now())), identity{std::move(name), incarnation},
          target(target), agent(clock, std::move(zone), limits, incarnation),
          renewals(io, agent, target,
                   [this]
                   {
                       this->log_reachability_change();
                       this->flush();
                   }),
          tick_timer(io), status_timer(io),
          runs_ended(metrics.add_counter("filbertroad_runs_ended_total", "Runs that ended.")),
          run_time(metrics.add_histogram("filbertroad_run_seconds",
                                         "Time from the start of a run to its end."))
    {
        for (auto const& seed : seeds)
        {
            this->entries[seed];
        }
    }

    void open() override
    {
        this->renewals.start();
        this->schedule_tick();
    }

    void target_announced(dispatch::target_announcement const& announcement) override
    {
        this->agent.target_announced(announcement);
        this->schedule_flush();
    }

    void target_removed(std::string const& name) override
    {
        this->agent.target_removed(name);
        this->schedule_flush();
    }

    void add_entry(dispatch::entry_address const& entry) override
    {
        if (!this->entries.contains(entry.link))
        {
            this->entries[entry.link];
            this->log.write(events::entry_known, {{"entry", entry.name}, {"link", entry.link}});
        }
    }

    void stop(std::function<void()> handler) override
    {
        this->on_stopped = std::move(handler);
        this->agent.begin_shutdown();
        this->schedule_flush();
    }

    [[nodiscard]] bool has_connected_entry() const override
    {
        for (auto const& [address, entry] : this->entries)
        {
            if (!entry.name.empty())
            {
                return true;
            }
        }
        return false;
    }

private:
    void log_reachability_change()
    {
        bool const is_reachable = this->agent.is_reachable();
        if (std::exchange(this->was_reachable, is_reachable) != is_reachable)
        {
            this->log.write(is_reachable ? events::target_reachable : events::target_unreachable);
        }
    }

    void log_admission_change()
    {
        auto const reason = this->agent.unavailable_reason();
        if (reason == this->last_unavailable_reason)
        {
            return;
        }
        this->last_unavailable_reason = reason;
        if (reason.empty())
        {
            this->log.write(events::starts_open);
            return;
        }
        this->log.write(events::starts_closed, {{"reason", std::string(reason)}});
    }

    void schedule_tick()
    {
        this->tick_timer.expires_after(tick_period);
        this->tick_timer.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                {
                    this->tick();
                    this->schedule_tick();
                }
            });
    }

    void tick()
    {
        this->agent.tick();
        auto const now = this->clock.steady_now();
        for (auto& [address, entry] : this->entries)
        {
            this->check_connection(address, entry, now);
            bool const is_status_due =
                !entry.name.empty() && now - entry.last_status_sent >= max_status_interval;
            if (is_status_due)
            {
                this->send_status(entry);
            }
        }
        this->flush();
        if (this->on_stopped && this->agent.is_idle())
        {
            std::exchange(this->on_stopped, nullptr)();
        }
    }

    void check_connection(std::string const& address, entry_link& entry, base::steady_time now)
    {
        auto const limit = entry.name.empty() ? connect_timeout : link_idle_timeout;
        if (entry.link && now - entry.last_received > limit)
        {
            this->disconnect(entry, "silent");
        }
        // When a new agent process connects, the entry concludes that all runs of the earlier
        // process have ended. The agent therefore connects only once they have.
        if (!entry.link && now >= entry.next_attempt && this->agent.is_recovered())
        {
            this->connect(address, entry, now);
        }
    }

    void connect(std::string const& address, entry_link& entry, base::steady_time now)
    {
        entry.last_received = now;
        entry.link = net::link::connect(
            this->io, address,
            {.on_open = [this, address](std::shared_ptr<net::link> const& link)
             { this->handle_link_open(address, link); },
             .on_message = [this, address](std::shared_ptr<net::link> const& link,
                                           wire::link_message& message)
             { this->handle_message(address, link, message); },
             .on_closed =
                 [this, address](std::shared_ptr<net::link> const& link,
                                 base::error<net::net_error> const& error)
             {
                 auto& connection = this->entries[address];
                 if (connection.link == link)
                 {
                     this->disconnect(connection, error.detail);
                 }
             }});
    }

    void handle_link_open(std::string const& address, std::shared_ptr<net::link> const& link)
    {
        auto& entry = this->entries[address];
        if (entry.link != link)
        {
            return;
        }
        entry.last_received = this->clock.steady_now();
        frame hello;
        hello.sender_agent = this->identity;
        link->send(encode_frame(hello));
    }

    void disconnect(entry_link& entry, std::string_view reason)
    {
        auto const link = std::exchange(entry.link, nullptr);
        link->close();
        if (!entry.name.empty())
        {
            this->log.write(events::entry_lost,
                            {{"entry", entry.name}, {"reason", std::string(reason)}});
            entry.name.clear();
            entry.backoff = initial_reconnect_backoff;
        }
        entry.next_attempt = this->clock.steady_now() + entry.backoff;
        entry.backoff = std::min(entry.backoff * 2, max_reconnect_backoff);
        entry.reports.clear();
    }

    void handle_message(std::string const& address, std::shared_ptr<net::link> const& link,
                        wire::link_message const& message)
    {
        auto& entry = this->entries[address];
        auto content = decode_frame(message);
        if (entry.link != link)
        {
            return;
        }
        if (!content)
        {
            this->log.write(events::bad_input,
                            {{"reason", "link message without a dispatch frame"}});
            return;
        }
        entry.last_received = this->clock.steady_now();
        if (content->sender_entry)
        {
            this->handle_entry_hello(entry, *content->sender_entry);
        }
        if (!entry.name.empty())
        {
            this->process_frame(entry, *content);
        }
        this->schedule_flush();
    }

    void handle_entry_hello(entry_link& entry, dispatch::process_id const& from)
    {
        entry.name = from.name;
        entry.sent_snapshot_offset = 0;
        entry.backoff = initial_reconnect_backoff;
        this->agent.entry_connected(from);
        this->send_status(entry);
        this->log.write(events::entry_linked, {{"entry", from.name}});
    }

    void process_frame(entry_link& entry, frame& content)
    {
        if (content.snapshot)
        {
            this->apply_snapshot(std::move(*content.snapshot), entry.name);
        }
        for (auto const& known_entry : content.entries)
        {
            this->add_entry(known_entry);
        }
        for (auto const& id : content.acknowledged)
        {
            this->agent.report_acknowledged(entry.name, id);
        }
        if (content.heartbeat)
        {
            this->agent.entry_heartbeat_received(entry.name, content.heartbeat->echoed_stamp_ms);
            this->send_snapshot_if_stale(entry, content.heartbeat->snapshot_offset);
        }
        if (content.resume)
        {
            this->agent.runs_resumed(entry.name, std::move(*content.resume));
        }
        for (auto const& id : content.cancels)
        {
            this->agent.cancel_ordered(entry.name, id);
        }
        for (auto& order : content.starts)
        {
            this->agent.start_ordered(entry.name, std::move(order));
        }
    }

    void apply_snapshot(dispatch::control_snapshot snapshot, std::string_view source)
    {
        if (!this->control_state.update_if_newer(std::move(snapshot)))
        {
            return;
        }
        auto const& current = this->control_state.current();
        bool const is_zone_out = current.zones_out.contains(this->zone);
        this->log.write(events::control_applied,
                        {{"offset", std::to_string(current.offset)},
                         {"version", std::to_string(current.version)},
                         {"zone_in_service", is_zone_out ? "false" : "true"},
                         {"source", std::string(source)}});
        this->agent.set_zone_out_of_service(is_zone_out);
    }

    void send_snapshot_if_stale(entry_link& entry, std::uint64_t offset)
    {
        auto const& current = this->control_state.current();
        if (offset < current.offset && entry.sent_snapshot_offset < current.offset)
        {
            entry.sent_snapshot_offset = current.offset;
            frame out;
            out.snapshot = current;
            entry.link->send(encode_frame(out));
        }
    }

    void schedule_flush()
    {
        if (!std::exchange(this->is_flush_scheduled, true))
        {
            asio::post(this->io, [this] { this->flush(); });
        }
    }

    void flush()
    {
        this->log_admission_change();
        this->is_flush_scheduled = false;
        for (auto& action : this->agent.take_actions())
        {
            std::visit([this](auto& item) { this->execute(item); }, action);
        }
        for (auto& [address, entry] : this->entries)
        {
            if (!entry.reports.empty())
            {
                this->send_status(entry);
            }
        }
    }

    void send_status(entry_link& entry)
    {
        frame out;
        out.reports = std::exchange(entry.reports, {});
        out.status = this->agent.make_status(entry.name);
        out.status->snapshot_offset = this->control_state.current().offset;
        entry.last_status_sent = this->clock.steady_now();
        entry.link->send(encode_frame(out));
    }

    void execute(dispatch::start_run& action)
    {
        this->target.start(action,
                           [this, id = action.id](dispatch::start_answer answer)
                           {
                               this->agent.start_answered(id, answer);
                               this->schedule_flush();
                           });
    }

    void execute(dispatch::stop_run& action)
    {
        this->target.stop(action,
                          [this, id = action.id](bool answered)
                          {
                              this->agent.stop_answered(id, answered);
                              this->schedule_flush();
                          });
    }

    void execute(dispatch::send_report& action)
    {
        this->runs_ended.increment();
        this->run_time.observe(std::chrono::duration<double>(action.report.elapsed).count());
        this->log.write(events::run_ended,
                        {{"task", action.report.id.task},
                         {"run", std::to_string(action.report.id.run)},
                         {"entry", action.entry},
                         {"end", std::string(to_string(action.report.end))},
                         {"reason", action.report.reason},
                         {"queued_ms", std::to_string(action.report.queued.count())},
                         {"elapsed_ms", std::to_string(action.report.elapsed.count())}});
        for (auto& [address, entry] : this->entries)
        {
            if (entry.name == action.entry)
            {
                entry.reports.push_back(std::move(action.report));
                return;
            }
        }
    }

    void execute(dispatch::poll_runs& /*action*/) { this->renewals.renew_now(); }

    void execute(dispatch::publish_status& /*action*/)
    {
        if (std::exchange(this->is_status_scheduled, true))
        {
            return;
        }
        this->status_timer.expires_after(status_coalescing_delay);
        this->status_timer.async_wait(
            [this](boost::system::error_code code)
            {
                this->is_status_scheduled = false;
                if (code)
                {
                    return;
                }
                for (auto& [address, entry] : this->entries)
                {
                    if (!entry.name.empty())
                    {
                        this->send_status(entry);
                    }
                }
            });
    }

    asio::io_context& io;
    base::clock const& clock;
    telemetry::event_log& log;
    std::string zone;
    std::uint64_t incarnation;
    dispatch::process_id identity;
    target_client& target;
    dispatch::run_agent agent;
    internal::renewal_loop renewals;
    dispatch::control_snapshot_store control_state;
    std::map<std::string, entry_link> entries;
    asio::steady_timer tick_timer;
    asio::steady_timer status_timer;
    bool is_flush_scheduled = false;
    bool is_status_scheduled = false;
    bool was_reachable = true;
    std::string last_unavailable_reason;
    std::function<void()> on_stopped;
    telemetry::counter& runs_ended;
    telemetry::histogram& run_time;
};

} // namespace

std::unique_ptr<agent_node>
agent_node::builder::build(asio::io_context& io, base::clock const& clock, target_client& target,
                           telemetry::event_log& log, telemetry::metrics_registry& metrics) const
{
    return std::make_unique<agent_node_impl>(io, clock, target, log, metrics, this->own_name,
                                             this->own_zone, this->seed_links, this->agent_limits);
}

} // namespace filbertroad::node

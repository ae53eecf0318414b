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

/// Period of the checks of deadlines, authority and leases.
constexpr milliseconds tick_period{25};

/// Longest time between two statuses to an entry; several fit into the authority time.
constexpr milliseconds status_period{150};

/// Time in which changes of load are gathered before they are told.
constexpr milliseconds status_delay{5};

/// Silence after which an open link is made anew.
constexpr milliseconds link_silence_limit{400};

/// Time for a link to open. An entry without power does not answer; the attempt after its return
/// must come soon, since all agents are needed then.
constexpr milliseconds link_open_limit{150};

/// Pauses between attempts to link to an entry: the first, and the longest after doubling.
constexpr milliseconds first_link_pause{25};
constexpr milliseconds max_link_pause{400};

struct entry_link
{
    std::shared_ptr<net::link> link;
    /// Empty until the entry has greeted on this link.
    std::string entry;
    base::steady_time last_contact_time{};
    base::steady_time next_attempt{};
    milliseconds pause = first_link_pause;
    base::steady_time status_sent{};
    std::uint64_t sent_offset = 0;
    std::vector<dispatch::run_report> reports;
};

class linked_agent final : public agent_node
{
public:
    linked_agent(asio::io_context& io, base::clock const& clock, target_port& target,
                 telemetry::event_log& log, telemetry::metrics_registry& metrics, std::string name,
                 std::string zone, std::vector<std::string> const& seeds,
                 dispatch::agent_limits limits)
        : io(io), clock(clock), log(log), zone(zone),
          incarnation(base::to_unix_ms(clock.system_now())), identity{std::move(name), incarnation},
          target(target), agent(clock, std::move(zone), limits, incarnation),
          renewals(io, agent, target,
                   [this]
                   {
                       this->note_reachable();
                       this->flush();
                   }),
          tick_timer(io), status_timer(io),
          ended(metrics.add_counter("filbertroad_runs_ended_total", "Runs that ended.")),
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
        this->tick_later();
    }

    void target_announced(dispatch::target_announcement const& announcement) override
    {
        this->agent.target_announced(announcement);
        this->flush_later();
    }

    void target_removed(std::string const& name) override
    {
        this->agent.target_removed(name);
        this->flush_later();
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
        this->flush_later();
    }

    [[nodiscard]] bool has_entry() const override
    {
        for (auto const& [address, entry] : this->entries)
        {
            if (!entry.entry.empty())
            {
                return true;
            }
        }
        return false;
    }

private:
    void note_reachable()
    {
        bool const is_reachable = this->agent.is_reachable();
        if (std::exchange(this->was_reachable, is_reachable) != is_reachable)
        {
            this->log.write(is_reachable ? events::target_reachable : events::target_unreachable);
        }
    }

    void note_closed()
    {
        auto const reason = this->agent.unavailable_reason();
        if (reason == this->last_closed_reason)
        {
            return;
        }
        this->last_closed_reason = reason;
        if (reason.empty())
        {
            this->log.write(events::starts_open);
            return;
        }
        this->log.write(events::starts_closed, {{"reason", std::string(reason)}});
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
        this->agent.tick();
        auto const now = this->clock.steady_now();
        for (auto& [address, entry] : this->entries)
        {
            this->check_link(address, entry, now);
            bool const is_status_due =
                !entry.entry.empty() && now - entry.status_sent >= status_period;
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

    void check_link(std::string const& address, entry_link& entry, base::steady_time now)
    {
        auto const limit = entry.entry.empty() ? link_open_limit : link_silence_limit;
        if (entry.link && now - entry.last_contact_time > limit)
        {
            this->drop_link(entry, "silent");
        }
        // Entries take an agent that links to them as proof that all earlier runs are over.
        if (!entry.link && now >= entry.next_attempt && this->agent.is_recovered())
        {
            this->connect(address, entry, now);
        }
    }

    void connect(std::string const& address, entry_link& entry, base::steady_time now)
    {
        entry.last_contact_time = now;
        entry.link = net::link::connect(
            this->io, address,
            {.on_open = [this, address](std::shared_ptr<net::link> const& link)
             { this->opened(address, link); },
             .on_message = [this, address](std::shared_ptr<net::link> const& link,
                                           wire::link_message& message)
             { this->received(address, link, message); },
             .on_closed =
                 [this, address](std::shared_ptr<net::link> const& link,
                                 base::error<net::net_error> const& error)
             {
                 auto& known = this->entries[address];
                 if (known.link == link)
                 {
                     this->drop_link(known, error.detail);
                 }
             }});
    }

    void opened(std::string const& address, std::shared_ptr<net::link> const& link)
    {
        auto& entry = this->entries[address];
        if (entry.link != link)
        {
            return;
        }
        entry.last_contact_time = this->clock.steady_now();
        frame hello;
        hello.agent = this->identity;
        link->send(to_message(hello));
    }

    void drop_link(entry_link& entry, std::string_view reason)
    {
        auto const link = std::exchange(entry.link, nullptr);
        link->close();
        if (!entry.entry.empty())
        {
            this->log.write(events::entry_lost,
                            {{"entry", entry.entry}, {"reason", std::string(reason)}});
            entry.entry.clear();
            entry.pause = first_link_pause;
        }
        entry.next_attempt = this->clock.steady_now() + entry.pause;
        entry.pause = std::min(entry.pause * 2, max_link_pause);
        entry.reports.clear();
    }

    void received(std::string const& address, std::shared_ptr<net::link> const& link,
                  wire::link_message const& message)
    {
        auto& entry = this->entries[address];
        auto content = to_frame(message);
        if (entry.link != link)
        {
            return;
        }
        if (!content)
        {
            this->log.write(events::bad_input, {{"reason", "a link message holds no frame"}});
            return;
        }
        entry.last_contact_time = this->clock.steady_now();
        if (content->entry)
        {
            this->greeted(entry, *content->entry);
        }
        if (!entry.entry.empty())
        {
            this->take_frame(entry, *content);
        }
        this->flush_later();
    }

    void greeted(entry_link& entry, dispatch::process_identity const& from)
    {
        entry.entry = from.name;
        entry.sent_offset = 0;
        entry.pause = first_link_pause;
        this->agent.entry_connected(from);
        this->send_status(entry);
        this->log.write(events::entry_linked, {{"entry", from.name}});
    }

    void take_frame(entry_link& entry, frame& content)
    {
        if (content.snapshot)
        {
            this->take_snapshot(std::move(*content.snapshot), entry.entry);
        }
        for (auto const& known : content.entries)
        {
            this->add_entry(known);
        }
        for (auto const& id : content.acknowledged)
        {
            this->agent.report_acknowledged(entry.entry, id);
        }
        if (content.echo)
        {
            this->agent.entry_heartbeat_received(entry.entry, content.echo->echoed_stamp_ms);
            this->send_snapshot_if_older(entry, content.echo->snapshot_offset);
        }
        if (content.resume)
        {
            this->agent.runs_resumed(entry.entry, std::move(*content.resume));
        }
        for (auto const& id : content.cancels)
        {
            this->agent.cancel_ordered(entry.entry, id);
        }
        for (auto& order : content.starts)
        {
            this->agent.start_ordered(entry.entry, std::move(order));
        }
    }

    void take_snapshot(dispatch::control_snapshot snapshot, std::string_view source)
    {
        if (!this->holder.update_if_newer(std::move(snapshot)))
        {
            return;
        }
        auto const& current = this->holder.current();
        bool const is_out = current.zones_out.contains(this->zone);
        this->log.write(events::control_applied, {{"offset", std::to_string(current.offset)},
                                                  {"version", std::to_string(current.version)},
                                                  {"zone_in_service", is_out ? "false" : "true"},
                                                  {"source", std::string(source)}});
        this->agent.set_zone_out_of_service(is_out);
    }

    void send_snapshot_if_older(entry_link& entry, std::uint64_t offset)
    {
        auto const& current = this->holder.current();
        if (offset < current.offset && entry.sent_offset < current.offset)
        {
            entry.sent_offset = current.offset;
            frame out;
            out.snapshot = current;
            entry.link->send(to_message(out));
        }
    }

    void flush_later()
    {
        if (!std::exchange(this->is_flush_posted, true))
        {
            asio::post(this->io, [this] { this->flush(); });
        }
    }

    void flush()
    {
        this->note_closed();
        this->is_flush_posted = false;
        for (auto& action : this->agent.take_actions())
        {
            std::visit([this](auto& item) { this->carry_out(item); }, action);
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
        out.load = this->agent.make_status(entry.entry);
        out.load->snapshot_offset = this->holder.current().offset;
        entry.status_sent = this->clock.steady_now();
        entry.link->send(to_message(out));
    }

    void carry_out(dispatch::start_run& action)
    {
        this->target.start(action,
                           [this, id = action.id](dispatch::start_answer answer)
                           {
                               this->agent.start_answered(id, answer);
                               this->flush_later();
                           });
    }

    void carry_out(dispatch::stop_run& action)
    {
        this->target.stop(action,
                          [this, id = action.id](bool answered)
                          {
                              this->agent.stop_answered(id, answered);
                              this->flush_later();
                          });
    }

    void carry_out(dispatch::send_report& action)
    {
        this->ended.increment();
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
            if (entry.entry == action.entry)
            {
                entry.reports.push_back(std::move(action.report));
                return;
            }
        }
    }

    void carry_out(dispatch::poll_runs& /*action*/) { this->renewals.look(); }

    void carry_out(dispatch::publish_status& /*action*/)
    {
        if (std::exchange(this->is_status_planned, true))
        {
            return;
        }
        this->status_timer.expires_after(status_delay);
        this->status_timer.async_wait(
            [this](boost::system::error_code code)
            {
                this->is_status_planned = false;
                if (code)
                {
                    return;
                }
                for (auto& [address, entry] : this->entries)
                {
                    if (!entry.entry.empty())
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
    dispatch::process_identity identity;
    target_port& target;
    dispatch::run_agent agent;
    internal::renewal_loop renewals;
    dispatch::control_snapshot_store holder;
    std::map<std::string, entry_link> entries;
    asio::steady_timer tick_timer;
    asio::steady_timer status_timer;
    bool is_flush_posted = false;
    bool is_status_planned = false;
    bool was_reachable = true;
    std::string last_closed_reason;
    std::function<void()> on_stopped;
    telemetry::counter& ended;
    telemetry::histogram& run_time;
};

} // namespace

std::unique_ptr<agent_node>
agent_node::builder::build(asio::io_context& io, base::clock const& clock, target_port& target,
                           telemetry::event_log& log, telemetry::metrics_registry& metrics) const
{
    return std::make_unique<linked_agent>(io, clock, target, log, metrics, this->own_name,
                                          this->own_zone, this->seed_links, this->agent_limits);
}

} // namespace filbertroad::node

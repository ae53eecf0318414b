#include "filbertroad/node/agent_node.hpp"

#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/dispatch/snapshot_fetcher.hpp"
#include "filbertroad/dispatch/status_pacing.hpp"
#include "filbertroad/node/frame.hpp"
#include "filbertroad/node/internal/control_metrics.hpp"
#include "filbertroad/node/internal/entry_connections.hpp"
#include "filbertroad/node/internal/loop_delay_monitor.hpp"
#include "filbertroad/node/internal/renewal_loop.hpp"
#include "filbertroad/node/internal/usable_address.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace filbertroad::node
{
namespace asio = boost::asio;
namespace events = telemetry::events;
using dispatch::milliseconds;
using internal::entry_link;

namespace
{

/// Period of the checks of deadlines, entry leases and target leases.
constexpr milliseconds tick_period{25};

/// Longest time between two status messages to an entry. An entry lease spans several of them, so
/// that the loss of one does not end the lease.
constexpr milliseconds max_status_interval{150};

/// Time for which more entries may announce a change before the agent asks one of them.
constexpr milliseconds snapshot_grace{50};

class agent_node_impl final : public agent_node
{
public:
    agent_node_impl(asio::io_context& io, base::clock const& clock, target_client& target,
                    telemetry::event_log& log, telemetry::metrics_registry& metrics,
                    std::string name, std::string zone, std::vector<std::string> const& seeds,
                    dispatch::agent_limits limits, std::size_t max_entry_links,
                    net::link_limits link_limits)
        : io(io), clock(clock), log(log), zone(zone),
          incarnation(base::to_unix_ms(clock.system_now())), target(target),
          agent(clock, std::move(zone), limits, incarnation), snapshots(name, snapshot_grace),
          connections(io, clock, log, {std::move(name), incarnation}, max_entry_links,
                      std::move(link_limits), this->make_connection_handlers()),
          renewals(io, agent, target,
                   [this]
                   {
                       this->log_reachability_change();
                       this->flush();
                   }),
          tick_timer(io), status_timer(io),
          runs_ended(metrics.add_counter("filbertroad_runs_ended_total", "Runs that ended.")),
          run_time(metrics.add_histogram("filbertroad_run_seconds",
                                         "Time from the start of a run to its end.")),
          control_metrics(metrics), loop_delay(metrics, log)
    {
        for (auto const& seed : seeds)
        {
            this->connections.add({"seed", seed});
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
        ++this->details_version;
        this->schedule_flush();
    }

    void target_removed(std::string const& name) override
    {
        this->agent.target_removed(name);
        this->schedule_flush();
    }

    void add_entry(dispatch::entry_address const& entry) override
    {
        if (!internal::is_usable(entry, this->log) || !this->connections.add(entry))
        {
            return;
        }
        // Only a few agents are linked to the entry that announced this one.
        this->connections.for_each_linked([&](entry_link& linked)
                                          { linked.new_entries.push_back(entry); });
    }

    void stop(std::function<void()> handler) override
    {
        this->on_stopped = std::move(handler);
        this->agent.begin_shutdown();
        this->schedule_flush();
    }

    [[nodiscard]] bool has_connected_entry() const override
    {
        return this->connections.has_linked_entry();
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
        this->agent.tick();
        // When a new agent process connects, the entry concludes that all runs of the earlier
        // process have ended. The agent therefore connects only once they have.
        this->connections.tick(this->agent.is_recovered());
        auto const now = this->clock.steady_now();
        this->request_snapshot(now);
        this->connections.for_each_linked(
            [&](entry_link& entry)
            {
                if (now - entry.last_status_sent >= max_status_interval)
                {
                    this->send_status(entry);
                }
            });
        this->flush();
        if (this->on_stopped && this->agent.is_idle())
        {
            std::exchange(this->on_stopped, nullptr)();
        }
    }

    internal::entry_connections::handlers make_connection_handlers()
    {
        return {.on_linked =
                    [this](entry_link& entry, dispatch::process_id const& from)
                {
                    this->agent.entry_connected(from);
                    this->send_status(entry);
                },
                .on_frame =
                    [this](entry_link& entry, frame& content)
                {
                    this->process_frame(entry, content);
                    this->schedule_flush();
                },
                .on_lost = [this](std::string const& entry) { this->snapshots.peer_lost(entry); },
                .is_in_use = [this](std::string const& entry)
                { return this->agent.has_work_for(entry); },
                .on_release_changed = [this](entry_link& entry) { this->send_status(entry); }};
    }

    void process_frame(entry_link& entry, frame& content)
    {
        if (content.snapshot)
        {
            this->snapshots.received(entry.name);
            this->apply_snapshot(std::move(*content.snapshot), entry.name);
        }
        if (content.wants_snapshot)
        {
            this->send_snapshot_if_stale(entry, 0);
        }
        for (auto const& known_entry : content.entries)
        {
            this->add_entry(known_entry);
        }
        if (content.resume)
        {
            this->agent.runs_resumed(entry.name, std::move(*content.resume));
        }
        this->cancel_runs(entry, content);
        // The heartbeat can start queued runs, so the runs that the entry no longer needs are
        // removed before.
        if (content.heartbeat)
        {
            this->agent.entry_heartbeat_received(entry.name, content.heartbeat->echoed_stamp_ms);
            this->control_metrics.peer_announced(content.heartbeat->snapshot_offset,
                                                 this->control_state.current().offset,
                                                 entry.last_received);
            this->snapshot_announced(entry, content.heartbeat->snapshot_offset);
        }
        for (auto& order : content.starts)
        {
            this->agent.start_ordered(entry.name, std::move(order));
        }
        // An entry may cancel a run in the frame that starts it.
        this->cancel_runs(entry, content);
        // Last, so that a start whose run number the entry already takes for ended gets the report
        // again and has no other effect.
        for (auto const& id : content.acknowledged)
        {
            this->agent.report_acknowledged(entry.name, id);
        }
    }

    void cancel_runs(entry_link const& entry, frame const& content)
    {
        for (auto const& id : content.cancels)
        {
            this->agent.cancel_ordered(entry.name, id);
        }
    }

    void apply_snapshot(dispatch::control_snapshot snapshot, std::string_view source)
    {
        bool const is_newer = this->control_state.update_if_newer(std::move(snapshot));
        this->control_metrics.snapshot_received(is_newer);
        if (!is_newer)
        {
            return;
        }
        auto const& current = this->control_state.current();
        auto const behind = this->control_metrics.applied(current, this->clock.steady_now());
        bool const is_zone_out = current.zones_out.contains(this->zone);
        this->log.write(events::control_applied,
                        {{"offset", std::to_string(current.offset)},
                         {"version", std::to_string(current.version)},
                         {"zone_in_service", is_zone_out ? "false" : "true"},
                         {"source", std::string(source)},
                         {"behind_ms", std::to_string(behind.count())}});
        this->agent.set_zone_out_of_service(is_zone_out);
    }

    /// An entry has a snapshot of `offset`. It asks for a newer one by itself, unless it is of an
    /// earlier version.
    void snapshot_announced(entry_link& entry, std::uint64_t offset)
    {
        if (entry.protocol < snapshot_request_protocol)
        {
            this->send_snapshot_if_stale(entry, offset);
            return;
        }
        this->snapshots.peer_announced(entry.name, offset);
    }

    void request_snapshot(base::steady_time now)
    {
        auto const peer = this->snapshots.next_request(this->control_state.current().offset, now);
        auto* const entry = peer ? this->connections.find(*peer) : nullptr;
        if (entry != nullptr)
        {
            frame out;
            out.wants_snapshot = true;
            entry->link->send(encode_frame(out, entry->protocol));
        }
    }

    void send_snapshot_if_stale(entry_link& entry, std::uint64_t offset)
    {
        auto const& current = this->control_state.current();
        if (offset < current.offset && entry.sent_snapshot_offset < current.offset)
        {
            entry.sent_snapshot_offset = current.offset;
            frame out;
            out.snapshot = current;
            this->control_metrics.snapshot_sent();
            entry.link->send(encode_frame(out, entry.protocol));
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
        this->connections.for_each_linked(
            [this](entry_link& entry)
            {
                if (!entry.reports.empty())
                {
                    this->send_status(entry);
                }
            });
    }

    void send_status(entry_link& entry)
    {
        auto const now = this->clock.steady_now();
        frame out;
        out.reports = std::exchange(entry.reports, {});
        out.entries = std::exchange(entry.new_entries, {});
        out.status = this->agent.make_status(entry.name);
        out.status->accepting = out.status->accepting && !entry.released_at;
        out.status->snapshot_offset = this->control_state.current().offset;
        if (std::exchange(this->crash_count, out.status->crash_count) != out.status->crash_count)
        {
            ++this->details_version;
        }
        // Entries that have an overdue run on the target wait for this.
        if (std::exchange(this->progress, out.status->progress) != out.status->progress)
        {
            ++this->details_version;
        }
        if (this->labels != out.status->labels)
        {
            this->labels = out.status->labels;
            ++this->details_version;
        }
        auto const names = this->connections.linked_version();
        if (std::exchange(entry.sent_names, names) != names)
        {
            out.linked_entries = this->connections.linked_names();
        }
        out.has_status_details = now - entry.last_details_sent >= max_status_interval ||
                                 entry.sent_details != this->details_version;
        if (out.has_status_details)
        {
            entry.last_details_sent = now;
            entry.sent_details = this->details_version;
        }
        entry.last_status_sent = now;
        entry.sent_load = this->load_version;
        entry.link->send(encode_frame(out, entry.protocol));
    }

    void execute(dispatch::start_run& action)
    {
        this->target.start(action,
                           [this, id = action.id,
                            order_number = action.order_number](dispatch::start_answer answer)
                           {
                               this->agent.start_answered(id, order_number, answer);
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
        auto const& task = action.report.id.task;
        this->log.begin_request(task);
        this->log.write_for(task, events::run_ended,
                            {{"task", task},
                             {"run", std::to_string(action.report.id.run)},
                             {"entry", action.entry},
                             {"end", std::string(to_string(action.report.end))},
                             {"reason", action.report.reason},
                             {"target_lost", action.report.target_lost ? "true" : "false"},
                             {"queued_ms", std::to_string(action.report.queued.count())},
                             {"elapsed_ms", std::to_string(action.report.elapsed.count())}});
        bool const is_dropped = action.report.end == dispatch::run_end::not_started ||
                                action.report.reason == dispatch::cancelled_reason;
        this->log.end_request(
            task, is_dropped ? telemetry::request_end::dropped : telemetry::request_end::served,
            action.report.reason);
        if (auto* const entry = this->connections.find(action.entry); entry != nullptr)
        {
            entry->reports.push_back(std::move(action.report));
        }
    }

    void execute(dispatch::poll_runs& /*action*/) { this->renewals.renew_now(); }

    void execute(dispatch::publish_status& /*action*/)
    {
        ++this->load_version;
        if (std::exchange(this->is_status_scheduled, true))
        {
            return;
        }
        this->status_timer.expires_after(
            dispatch::status_interval(this->connections.linked_count()));
        this->status_timer.async_wait(
            [this](boost::system::error_code code)
            {
                this->is_status_scheduled = false;
                if (!code)
                {
                    this->publish_load();
                }
            });
    }

    /// Sends a status to the entries that have not received the present load with a report.
    void publish_load()
    {
        this->connections.for_each_linked(
            [this](entry_link& entry)
            {
                if (entry.sent_load != this->load_version)
                {
                    this->send_status(entry);
                }
            });
    }

    asio::io_context& io;
    base::clock const& clock;
    telemetry::event_log& log;
    std::string zone;
    std::uint64_t incarnation;
    target_client& target;
    dispatch::run_agent agent;
    dispatch::snapshot_fetcher snapshots;
    internal::entry_connections connections;
    internal::renewal_loop renewals;
    dispatch::control_snapshot_store control_state;
    asio::steady_timer tick_timer;
    asio::steady_timer status_timer;
    bool is_flush_scheduled = false;
    bool is_status_scheduled = false;
    /// Number of changes of load, and of announcements of the target.
    std::uint64_t load_version = 0;
    std::uint64_t details_version = 0;
    /// Labels in the newest status.
    dispatch::target_labels labels;
    std::uint64_t crash_count = 0;
    dispatch::target_progress_state progress = dispatch::target_progress_state::unknown;
    bool was_reachable = true;
    std::string last_unavailable_reason;
    std::function<void()> on_stopped;
    telemetry::counter& runs_ended;
    telemetry::histogram& run_time;
    internal::control_metrics control_metrics;
    internal::loop_delay_monitor loop_delay;
};

} // namespace

std::unique_ptr<agent_node>
agent_node::builder::build(asio::io_context& io, base::clock const& clock, target_client& target,
                           telemetry::event_log& log, telemetry::metrics_registry& metrics) const
{
    return std::make_unique<agent_node_impl>(io, clock, target, log, metrics, this->own_name,
                                             this->own_zone, this->seed_links, this->agent_limits,
                                             this->max_links, this->limits_of_links);
}

} // namespace filbertroad::node

#include "filbertroad/server/agent_process.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/limits/limit_reporter.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/server/agent_http_api.hpp"
#include "filbertroad/server/agent_links.hpp"
#include "filbertroad/server/agent_target.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <optional>
#include <random>
#include <utility>

namespace filbertroad::server
{
namespace
{

constexpr std::chrono::milliseconds tick_interval{100};
/// Minimum time of a drain. An owner that sent a start before it read that the target is leaving
/// still gets a refusal, and need not treat the start as lost.
constexpr std::chrono::milliseconds min_drain_time{1000};
/// How long the process waits at its end for queued messages to be sent: the minimum if no HTTP
/// request is open, the maximum while open HTTP requests are being answered.
constexpr std::chrono::milliseconds min_connection_linger{200};
constexpr std::chrono::milliseconds max_connection_linger{1000};

struct agent_metrics
{
    explicit agent_metrics(telemetry::metrics_registry& registry)
        : running(registry.add_gauge("filbertroad_agent_running", "Tasks on the target.")),
          ledger(registry.add_gauge("filbertroad_agent_ledger_entries", "Entries of the ledger.")),
          unacknowledged(registry.add_gauge("filbertroad_agent_unacknowledged",
                                            "Starts whose answer is not acknowledged.")),
          links(registry.add_gauge("filbertroad_agent_links", "Links to entries.")),
          gate_open(registry.add_gauge("filbertroad_agent_gate_open", "1 if starts are accepted.")),
          refused(registry.add_counter("filbertroad_agent_refused_total", "Starts refused.")),
          sent(registry.add_counter("filbertroad_agent_messages_total", "Messages to entries."))
    {
    }

    telemetry::gauge& running;
    telemetry::gauge& ledger;
    telemetry::gauge& unacknowledged;
    telemetry::gauge& links;
    telemetry::gauge& gate_open;
    telemetry::counter& refused;
    telemetry::counter& sent;
};

/// A visitor that is made of one lambda for each kind of action.
template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

class agent_process::implementation
{
public:
    implementation(agent_process_options options, base::clock const& clock,
                   telemetry::event_log& log, telemetry::span_writer& spans);

    bool open();
    agent_exit_reason run();
    void request_stop()
    {
        boost::asio::post(this->io, [this] { this->start_drain(); });
    }
    [[nodiscard]] std::uint16_t port() const { return this->http_listener->port(); }

private:
    agent_link_callbacks make_link_callbacks();
    net::link_limits make_link_limits();
    agent_http_callbacks make_http_callbacks();
    void execute_actions();
    void target_replied(wire::task_ref const& task, target_reply reply,
                        std::chrono::microseconds run_time);
    bool announcement_received(wire::target_description const& target);
    void target_leaving();
    void schedule_tick();
    void tick();
    void check_announcement_timeout();
    void start_drain();
    void advance_drain(base::steady_time now);

    agent_process_options options;
    base::clock const& clock;
    telemetry::event_log& log;
    boost::asio::io_context io{1};
    boost::asio::signal_set signals{io};
    boost::asio::steady_timer timer{io};
    model::process_id self;
    telemetry::metrics_registry registry;
    agent_metrics metrics{registry};
    limits::limit_reporter limit_reporter{this->clock, this->log, this->registry};
    span_recorder recorder;
    execution::agent_core core;
    agent_target target;
    agent_links links;
    agent_http_callbacks http_callbacks;
    std::unique_ptr<net::http_server> http_listener;
    std::string target_name;
    std::optional<base::steady_time> announced_at;
    std::optional<base::steady_time> drain_started_at;
    std::optional<base::steady_time> closing_started_at;
    agent_exit_reason exit_reason = agent_exit_reason::drained;
};

agent_process::implementation::implementation(agent_process_options process_options,
                                              base::clock const& clock, telemetry::event_log& log,
                                              telemetry::span_writer& spans)
    : options(std::move(process_options)), clock(clock),
      log(log), self{this->options.name, base::to_unix_ms(clock.system_now())},
      recorder(clock, spans, base::hash64(this->self.name, this->self.incarnation)),
      core(this->self, this->options.zone, this->options.core),
      target(
          this->io, clock, this->recorder, this->registry,
          [this](wire::task_ref const& task, target_reply reply, std::chrono::microseconds run_time)
          { this->target_replied(task, std::move(reply), run_time); }),
      links(this->io, clock, this->core, this->options.entries,
            std::mt19937_64(base::hash64(this->self.name, this->self.incarnation)),
            this->make_link_callbacks(), this->make_link_limits()),
      http_callbacks(this->make_http_callbacks())
{
}

net::link_limits agent_process::implementation::make_link_limits()
{
    auto limits = this->options.limits.links;
    limits.on_limit = this->limit_reporter.handler();
    return limits;
}

agent_link_callbacks agent_process::implementation::make_link_callbacks()
{
    return {
        .core_changed = [this] { this->execute_actions(); },
        .link_established =
            [this](model::process_id const& entry, std::string const& address)
        {
            this->log.write(telemetry::events::agent_linked,
                            {{"entry", entry.name}, {"address", address}});
        },
        .link_lost =
            [this](std::string const& address, std::string const& reason) {
                this->log.write(telemetry::events::link_error,
                                {{"address", address}, {"reason", reason}});
            },
    };
}

agent_http_callbacks agent_process::implementation::make_http_callbacks()
{
    return {
        .announcement_received = [this](wire::target_description const& target)
        { return this->announcement_received(target); },
        .leaving_received = [this] { this->target_leaving(); },
        .running_tasks = [this] { return this->core.running(); },
        .metrics = [this] { return this->registry.to_prometheus(); },
    };
}

bool agent_process::implementation::open()
{
    auto limits = this->options.limits.http;
    limits.on_limit = this->limit_reporter.handler();
    auto server = net::http_server::listen(
        this->io, this->options.listen, std::move(limits),
        [this](net::http_request const& request, net::http_responder const& respond)
        { respond(handle_agent_request(request, this->http_callbacks)); });
    if (!server)
    {
        this->log.write(telemetry::events::address_unusable,
                        {{"address", this->options.listen}, {"reason", server.error().detail}});
        return false;
    }
    this->http_listener = std::move(server).value();
    return true;
}

agent_exit_reason agent_process::implementation::run()
{
    if (!this->http_listener && !this->open())
    {
        return agent_exit_reason::failed;
    }
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        [this](boost::system::error_code const& code, int)
        {
            if (!code)
            {
                this->start_drain();
            }
        });
    this->schedule_tick();
    this->io.run();
    return this->exit_reason;
}

void agent_process::implementation::execute_actions()
{
    for (auto const& action : this->core.take_actions())
    {
        std::visit(
            overloaded{
                [this](execution::send_to_entry const& send)
                {
                    this->metrics.sent.increment();
                    this->metrics.refused.increment(send.message.has_refused() ? 1 : 0);
                    this->links.send(send.entry, send.message);
                },
                [this](execution::run_task const& run) { this->target.run(run); },
                [this](execution::cancel_on_target const& cancel)
                { this->target.cancel(cancel.task); },
            },
            action);
    }
}

void agent_process::implementation::target_replied(wire::task_ref const& task, target_reply reply,
                                                   std::chrono::microseconds run_time)
{
    this->core.execution_ended(task, reply.outcome, std::move(reply.body), std::move(reply.reason),
                               run_time, this->clock.steady_now());
    this->execute_actions();
}

bool agent_process::implementation::announcement_received(wire::target_description const& target)
{
    auto const now = this->clock.steady_now();
    bool const has_live_target =
        this->announced_at && now - *this->announced_at < this->options.core.announcement_timeout;
    if (has_live_target && target.name() != this->target_name)
    {
        this->log.write(telemetry::events::bad_input,
                        {{"request", "announce"}, {"target", target.name()}});
        return false;
    }
    if (!has_live_target)
    {
        this->log.write(telemetry::events::target_announced,
                        {{"target", target.name()}, {"address", target.address()}});
    }
    this->target_name = target.name();
    this->announced_at = now;
    this->target.set_address(target.address(), target.slots());
    this->core.target_announced(target, now);
    this->execute_actions();
    return true;
}

void agent_process::implementation::target_leaving()
{
    this->log.write(telemetry::events::target_leaving, {{"target", this->target_name}});
    this->core.target_leaving(this->clock.steady_now());
    this->execute_actions();
}

void agent_process::implementation::schedule_tick()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](boost::system::error_code const& code)
        {
            if (!code)
            {
                this->schedule_tick();
                this->tick();
            }
        });
}

void agent_process::implementation::tick()
{
    auto const now = this->clock.steady_now();
    this->check_announcement_timeout();
    this->core.tick(now);
    this->execute_actions();
    this->links.tick();
    this->metrics.running.set(static_cast<double>(this->core.running()));
    this->metrics.ledger.set(static_cast<double>(this->core.ledger_entries()));
    this->metrics.unacknowledged.set(static_cast<double>(this->core.unacknowledged()));
    this->metrics.links.set(static_cast<double>(this->links.linked_entry_count()));
    this->metrics.gate_open.set(this->core.accepts_starts(now) ? 1 : 0);
    this->advance_drain(now);
}

void agent_process::implementation::check_announcement_timeout()
{
    auto const now = this->clock.steady_now();
    if (this->announced_at && now - *this->announced_at >= this->options.core.announcement_timeout)
    {
        this->announced_at.reset();
        this->log.write(telemetry::events::target_silent, {{"target", this->target_name}});
    }
}

void agent_process::implementation::start_drain()
{
    if (this->drain_started_at)
    {
        return;
    }
    this->log.write(telemetry::events::process_stopping);
    this->drain_started_at = this->clock.steady_now();
    this->core.start_draining(*this->drain_started_at);
    this->execute_actions();
}

void agent_process::implementation::advance_drain(base::steady_time now)
{
    if (!this->drain_started_at)
    {
        return;
    }
    if (this->closing_started_at)
    {
        auto const waited = now - *this->closing_started_at;
        if (waited >=
            (this->http_listener->is_idle() ? min_connection_linger : max_connection_linger))
        {
            this->io.stop();
        }
        return;
    }
    bool const timed_out = now - *this->drain_started_at >= this->options.drain_timeout;
    if (timed_out || (this->core.is_drained() && now - *this->drain_started_at >= min_drain_time))
    {
        this->exit_reason = this->core.is_drained() ? agent_exit_reason::drained
                                                    : agent_exit_reason::drain_timed_out;
        this->closing_started_at = now;
        this->links.stop();
        this->http_listener->stop();
    }
}

agent_process::agent_process(std::unique_ptr<implementation> impl) : impl(std::move(impl)) {}

agent_process::agent_process(agent_process&&) noexcept = default;
agent_process& agent_process::operator=(agent_process&&) noexcept = default;
agent_process::~agent_process() = default;

bool agent_process::open()
{
    return this->impl->open();
}

std::uint16_t agent_process::port() const
{
    return this->impl->port();
}

agent_exit_reason agent_process::run()
{
    return this->impl->run();
}

void agent_process::request_stop()
{
    this->impl->request_stop();
}

agent_process::builder&
agent_process::builder::settings(filbertroad::settings::agent_settings const& value)
{
    this->process_options.name = value.name;
    this->process_options.zone = value.zone;
    this->process_options.listen = value.listen;
    this->process_options.entries = value.entries;
    this->process_options.drain_timeout = value.drain_time;
    this->process_options.core.max_ledger_entries = value.max_ledger_entries;
    this->process_options.limits = make_agent_limits(value, {});
    this->process_options.core.max_ledger_bytes = this->process_options.limits.max_ledger_bytes;
    return *this;
}

agent_process::builder& agent_process::builder::options(agent_process_options value)
{
    this->process_options = std::move(value);
    return *this;
}

agent_process agent_process::builder::build(base::clock const& clock, telemetry::event_log& log,
                                            telemetry::span_writer& spans) const
{
    return agent_process(
        std::make_unique<implementation>(this->process_options, clock, log, spans));
}

} // namespace filbertroad::server

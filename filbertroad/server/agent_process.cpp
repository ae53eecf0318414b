#include "filbertroad/server/agent_process.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/server/agent_door.hpp"
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
/// Shortest time of a planned stop. Owners that sent a start before they read that the target is
/// leaving get its refusal, and need not take the start as lost.
constexpr std::chrono::milliseconds min_drain{1000};
/// Time for queued messages to be sent and open HTTP requests to be answered at the end.
constexpr std::chrono::milliseconds min_farewell{200};
constexpr std::chrono::milliseconds max_farewell{1000};

struct agent_metrics
{
    explicit agent_metrics(telemetry::metrics_registry& registry)
        : running(registry.add_gauge("filbertroad_agent_running", "Tasks on the target.")),
          ledger(registry.add_gauge("filbertroad_agent_ledger_entries", "Entries of the ledger.")),
          unacknowledged(registry.add_gauge("filbertroad_agent_unacknowledged",
                                            "Starts whose answer is not acknowledged.")),
          links(registry.add_gauge("filbertroad_agent_links", "Links to entries.")),
          open(registry.add_gauge("filbertroad_agent_gate_open", "1 if starts are accepted.")),
          refused(registry.add_counter("filbertroad_agent_refused_total", "Starts refused.")),
          sent(registry.add_counter("filbertroad_agent_messages_total", "Messages to entries."))
    {
    }

    telemetry::gauge& running;
    telemetry::gauge& ledger;
    telemetry::gauge& unacknowledged;
    telemetry::gauge& links;
    telemetry::gauge& open;
    telemetry::counter& refused;
    telemetry::counter& sent;
};

/// Performs each kind of action.
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
    agent_end run();
    void request_stop()
    {
        boost::asio::post(this->io, [this] { this->start_drain(); });
    }
    [[nodiscard]] std::uint16_t port() const { return this->http->port(); }

private:
    agent_link_events link_events();
    agent_door_events door_events();
    void perform_actions();
    void answered(wire::task_ref const& task, target_reply reply,
                  std::chrono::microseconds run_time);
    bool announced(wire::target_description const& target);
    void target_leaving();
    void schedule_tick();
    void tick();
    void note_target();
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
    span_recorder recorder;
    execution::agent_core core;
    agent_target target;
    agent_links links;
    agent_door_events door;
    std::unique_ptr<net::http_server> http;
    std::string target_name;
    std::optional<base::steady_time> announced_at;
    std::optional<base::steady_time> drain_since;
    std::optional<base::steady_time> closing_since;
    agent_end end = agent_end::drained;
};

agent_process::implementation::implementation(agent_process_options chosen,
                                              base::clock const& clock, telemetry::event_log& log,
                                              telemetry::span_writer& spans)
    : options(std::move(chosen)), clock(clock),
      log(log), self{this->options.name, base::to_unix_ms(clock.system_now())},
      recorder(clock, spans, base::hash64(this->self.name, this->self.incarnation)),
      core(this->self, this->options.zone, this->options.core),
      target(
          this->io, clock, this->recorder, this->registry,
          [this](wire::task_ref const& task, target_reply reply, std::chrono::microseconds run_time)
          { this->answered(task, std::move(reply), run_time); }),
      links(this->io, clock, this->core, this->options.entries,
            std::mt19937_64(base::hash64(this->self.name, this->self.incarnation)),
            this->link_events()),
      door(this->door_events())
{
}

agent_link_events agent_process::implementation::link_events()
{
    return {
        .core_changed = [this] { this->perform_actions(); },
        .linked =
            [this](model::process_id const& entry, std::string const& address)
        {
            this->log.write(telemetry::events::agent_linked,
                            {{"entry", entry.name}, {"address", address}});
        },
        .lost =
            [this](std::string const& address, std::string const& reason) {
                this->log.write(telemetry::events::link_error,
                                {{"address", address}, {"reason", reason}});
            },
    };
}

agent_door_events agent_process::implementation::door_events()
{
    return {
        .announced = [this](wire::target_description const& announced)
        { return this->announced(announced); },
        .leaving = [this] { this->target_leaving(); },
        .running = [this] { return this->core.running(); },
        .metrics = [this] { return this->registry.to_prometheus(); },
    };
}

bool agent_process::implementation::open()
{
    net::http_limits limits;
    limits.max_body_bytes = 64UL * 1024;
    limits.max_connections = 64;
    auto server = net::http_server::listen(
        this->io, this->options.listen, limits,
        [this](net::http_request const& request, net::http_responder const& respond)
        { respond(answer_agent_request(request, this->door)); });
    if (!server)
    {
        this->log.write(telemetry::events::address_unusable,
                        {{"address", this->options.listen}, {"reason", server.error().detail}});
        return false;
    }
    this->http = std::move(server).value();
    return true;
}

agent_end agent_process::implementation::run()
{
    if (!this->http && !this->open())
    {
        return agent_end::failed;
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
    return this->end;
}

void agent_process::implementation::perform_actions()
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

void agent_process::implementation::answered(wire::task_ref const& task, target_reply reply,
                                             std::chrono::microseconds run_time)
{
    this->core.execution_ended(task, reply.answer, std::move(reply.body), std::move(reply.reason),
                               run_time, this->clock.steady_now());
    this->perform_actions();
}

bool agent_process::implementation::announced(wire::target_description const& target)
{
    auto const now = this->clock.steady_now();
    bool const live =
        this->announced_at && now - *this->announced_at < this->options.core.announcement_timeout;
    if (live && target.name() != this->target_name)
    {
        this->log.write(telemetry::events::bad_input,
                        {{"request", "announce"}, {"target", target.name()}});
        return false;
    }
    if (!live)
    {
        this->log.write(telemetry::events::target_announced,
                        {{"target", target.name()}, {"address", target.address()}});
    }
    this->target_name = target.name();
    this->announced_at = now;
    this->target.set_address(target.address(), target.slots());
    this->core.target_announced(target, now);
    this->perform_actions();
    return true;
}

void agent_process::implementation::target_leaving()
{
    this->log.write(telemetry::events::target_leaving, {{"target", this->target_name}});
    this->core.target_leaving(this->clock.steady_now());
    this->perform_actions();
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
    this->note_target();
    this->core.tick(now);
    this->perform_actions();
    this->links.tick();
    this->metrics.running.set(static_cast<double>(this->core.running()));
    this->metrics.ledger.set(static_cast<double>(this->core.ledger_entries()));
    this->metrics.unacknowledged.set(static_cast<double>(this->core.unacknowledged()));
    this->metrics.links.set(static_cast<double>(this->links.linked()));
    this->metrics.open.set(this->core.accepts_starts(now) ? 1 : 0);
    this->advance_drain(now);
}

void agent_process::implementation::note_target()
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
    if (this->drain_since)
    {
        return;
    }
    this->log.write(telemetry::events::process_stopping);
    this->drain_since = this->clock.steady_now();
    this->core.start_draining(*this->drain_since);
    this->perform_actions();
}

void agent_process::implementation::advance_drain(base::steady_time now)
{
    if (!this->drain_since)
    {
        return;
    }
    if (this->closing_since)
    {
        auto const waited = now - *this->closing_since;
        if (waited >= (this->http->is_idle() ? min_farewell : max_farewell))
        {
            this->io.stop();
        }
        return;
    }
    bool const late = now - *this->drain_since >= this->options.drain_time;
    if (late || (this->core.is_drained() && now - *this->drain_since >= min_drain))
    {
        this->end = this->core.is_drained() ? agent_end::drained : agent_end::drain_time_over;
        this->closing_since = now;
        this->links.stop();
        this->http->stop();
    }
}

agent_process::agent_process(std::unique_ptr<implementation> content) : content(std::move(content))
{
}

agent_process::agent_process(agent_process&&) noexcept = default;
agent_process& agent_process::operator=(agent_process&&) noexcept = default;
agent_process::~agent_process() = default;

bool agent_process::open()
{
    return this->content->open();
}

std::uint16_t agent_process::port() const
{
    return this->content->port();
}

agent_end agent_process::run()
{
    return this->content->run();
}

void agent_process::request_stop()
{
    this->content->request_stop();
}

agent_process::builder&
agent_process::builder::settings(filbertroad::settings::agent_settings const& value)
{
    this->chosen.name = value.name;
    this->chosen.zone = value.zone;
    this->chosen.listen = value.listen;
    this->chosen.entries = value.entries;
    this->chosen.drain_time = value.drain_time;
    this->chosen.core.max_ledger_entries = value.max_ledger_entries;
    this->chosen.core.max_ledger_bytes = value.max_ledger_bytes;
    return *this;
}

agent_process::builder& agent_process::builder::options(agent_process_options value)
{
    this->chosen = std::move(value);
    return *this;
}

agent_process agent_process::builder::build(base::clock const& clock, telemetry::event_log& log,
                                            telemetry::span_writer& spans) const
{
    return agent_process(std::make_unique<implementation>(this->chosen, clock, log, spans));
}

} // namespace filbertroad::server

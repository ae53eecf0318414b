#include "filbertroad/server/entry_process.hpp"

#include "filbertroad/api/http_api.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/server/entry_api_service.hpp"
#include "filbertroad/server/entry_core.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace filbertroad::server
{
namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds shutdown_poll_interval{50};
/// Jobs that have not ended after this time no longer delay a graceful shutdown.
constexpr std::chrono::seconds drain_timeout{60};
/// Timeout of each later step of a shutdown: the handover, reading back the record that this entry
/// has left, and responding to open HTTP requests.
constexpr std::chrono::seconds shutdown_step_timeout{5};

api::api_options make_api_options(settings::entry_settings const& settings,
                                  wire::member const& self)
{
    api::api_options options;
    options.operator_token = settings.operator_token;
    options.change_id_prefix = self.id().name() + "-" + std::to_string(self.id().incarnation());
    options.max_body_bytes = settings.max_body_bytes;
    return options;
}

enum class shutdown_phase
{
    running,
    /// The jobs that this entry holds are being finished.
    draining,
    /// Retained results are being sent to the new owners.
    handing_over,
    /// The record that this entry has left is being appended and read back.
    leaving,
    /// Open HTTP requests are being answered.
    closing,
};

} // namespace

class entry_process::implementation
{
public:
    implementation(settings::entry_settings const& settings, base::clock const& clock,
                   telemetry::event_log& log, telemetry::span_writer& spans)
        : settings(settings), clock(clock), log(log), io(static_cast<int>(settings.threads)),
          strand(boost::asio::make_strand(io)), signals(io), tick_timer(io), shutdown_timer(io),
          core(io, settings, clock, log, spans), service(core, settings.region),
          api_handler(service, core.metrics(), log, clock, make_api_options(settings, core.self()))
    {
    }

    entry_exit_reason run();

private:
    bool open();
    void wait_for_signal();
    void schedule_tick();
    void schedule_shutdown_poll();
    void begin_shutdown();
    void advance_shutdown();
    void enter_phase(shutdown_phase next);
    [[nodiscard]] bool phase_timed_out(std::chrono::nanoseconds limit) const;
    void finish(entry_exit_reason exit_reason);

    settings::entry_settings settings;
    base::clock const& clock;
    telemetry::event_log& log;
    boost::asio::io_context io;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer shutdown_timer;
    entry_core core;
    telemetry::gauge& connections = this->core.metrics().add_gauge(
        "filbertroad_http_connections", "Connections of the server for callers.");
    telemetry::gauge& buffered_bytes = this->core.metrics().add_gauge(
        "filbertroad_http_buffered_bytes", "Bytes held for these connections.");
    entry_api_service service;
    api::http_api api_handler;
    std::unique_ptr<net::http_server> http_listener;
    shutdown_phase phase = shutdown_phase::running;
    base::steady_time phase_started_at{};
    entry_exit_reason exit_reason = entry_exit_reason::stopped;
};

bool entry_process::implementation::open()
{
    if (auto const listening = this->core.listen(); !listening)
    {
        this->log.write(
            telemetry::events::address_unusable,
            {{"address", this->settings.listen_link}, {"reason", listening.error().detail}});
        return false;
    }
    auto server = net::http_server::listen(
        this->io, this->settings.listen_http, this->core.peer_limits().http,
        [this](net::http_request request, net::http_responder respond)
        { this->api_handler.handle(std::move(request), std::move(respond)); });
    if (!server)
    {
        this->log.write(
            telemetry::events::address_unusable,
            {{"address", this->settings.listen_http}, {"reason", server.error().detail}});
        return false;
    }
    this->http_listener = std::move(server).value();
    return true;
}

entry_exit_reason entry_process::implementation::run()
{
    if (!this->open())
    {
        return entry_exit_reason::failed;
    }
    this->core.start();
    this->wait_for_signal();
    this->schedule_tick();
    this->schedule_shutdown_poll();
    std::vector<std::thread> threads;
    for (std::uint64_t i = 1; i < this->settings.threads; ++i)
    {
        threads.emplace_back([this] { this->io.run(); });
    }
    this->io.run();
    for (auto& thread : threads)
    {
        thread.join();
    }
    return this->exit_reason;
}

void entry_process::implementation::wait_for_signal()
{
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.async_wait(
        boost::asio::bind_executor(this->strand,
                                   [this](boost::system::error_code const& code, int)
                                   {
                                       if (!code)
                                       {
                                           this->begin_shutdown();
                                       }
                                   }));
}

void entry_process::implementation::schedule_tick()
{
    this->tick_timer.expires_after(tick_interval);
    this->tick_timer.async_wait(
        [this](boost::system::error_code const& code)
        {
            if (!code)
            {
                this->core.tick();
                auto const usage = this->http_listener->usage();
                this->connections.set(static_cast<double>(usage.connections));
                this->buffered_bytes.set(static_cast<double>(usage.buffered_bytes));
                this->schedule_tick();
            }
        });
}

void entry_process::implementation::schedule_shutdown_poll()
{
    this->shutdown_timer.expires_after(shutdown_poll_interval);
    this->shutdown_timer.async_wait(
        boost::asio::bind_executor(this->strand,
                                   [this](boost::system::error_code const& code)
                                   {
                                       if (!code)
                                       {
                                           this->schedule_shutdown_poll();
                                           this->advance_shutdown();
                                       }
                                   }));
}

void entry_process::implementation::begin_shutdown()
{
    this->log.write(telemetry::events::process_stopping);
    this->core.control().start_leaving();
    this->enter_phase(shutdown_phase::draining);
}

void entry_process::implementation::enter_phase(shutdown_phase next)
{
    this->phase = next;
    this->phase_started_at = this->clock.steady_now();
}

bool entry_process::implementation::phase_timed_out(std::chrono::nanoseconds limit) const
{
    return this->clock.steady_now() - this->phase_started_at >= limit;
}

void entry_process::implementation::advance_shutdown()
{
    if (this->core.control().was_removed() && this->phase != shutdown_phase::leaving &&
        this->phase != shutdown_phase::closing)
    {
        this->finish(this->phase == shutdown_phase::running ? entry_exit_reason::removed
                                                            : entry_exit_reason::stopped);
        return;
    }
    switch (this->phase)
    {
    case shutdown_phase::running:
        break;
    case shutdown_phase::draining:
        if ((this->core.is_leaving() && this->core.shards().is_idle()) ||
            this->phase_timed_out(drain_timeout))
        {
            this->core.start_handover();
            this->enter_phase(shutdown_phase::handing_over);
        }
        break;
    case shutdown_phase::handing_over:
        if (this->core.is_handover_done() || this->phase_timed_out(shutdown_step_timeout))
        {
            this->core.control().finish_leaving();
            this->enter_phase(shutdown_phase::leaving);
        }
        break;
    case shutdown_phase::leaving:
        if (!this->core.is_member() || this->phase_timed_out(shutdown_step_timeout))
        {
            this->http_listener->stop();
            this->enter_phase(shutdown_phase::closing);
        }
        break;
    case shutdown_phase::closing:
        if (this->http_listener->is_idle() || this->phase_timed_out(shutdown_step_timeout))
        {
            this->finish(entry_exit_reason::stopped);
        }
        break;
    }
}

void entry_process::implementation::finish(entry_exit_reason reason)
{
    this->exit_reason = reason;
    this->core.stop();
    this->tick_timer.cancel();
    this->shutdown_timer.cancel();
    this->io.stop();
}

entry_process::entry_process(settings::entry_settings const& settings, base::clock const& clock,
                             telemetry::event_log& log, telemetry::span_writer& spans)
    : impl(std::make_unique<implementation>(settings, clock, log, spans))
{
}

entry_process::~entry_process() = default;

entry_exit_reason entry_process::run()
{
    return this->impl->run();
}

} // namespace filbertroad::server

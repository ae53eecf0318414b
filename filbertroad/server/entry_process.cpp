#include "filbertroad/server/entry_process.hpp"

#include "filbertroad/api/http_api.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/server/entry_backend.hpp"
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

constexpr std::chrono::milliseconds shard_tick{20};
constexpr std::chrono::milliseconds stop_poll{50};
/// Jobs that have not ended after this long no longer hold up a planned stop.
constexpr std::chrono::seconds drain_limit{60};
/// Time for the record of leaving to be read back, and for open HTTP requests to be answered.
constexpr std::chrono::seconds farewell_limit{5};

api::api_options make_api_options(settings::entry_settings const& settings,
                                  wire::member const& self)
{
    api::api_options options;
    options.operator_token = settings.operator_token;
    options.change_id_prefix = self.id().name() + "-" + std::to_string(self.id().incarnation());
    options.max_body_bytes = settings.max_body_bytes;
    return options;
}

enum class stop_phase
{
    running,
    /// Jobs that this entry holds are finished.
    draining,
    /// Kept answers are on their way to the new owners.
    handing_over,
    /// The record that this entry left is being read back.
    leaving,
    /// Open HTTP requests are answered.
    closing,
};

} // namespace

class entry_process::implementation
{
public:
    implementation(settings::entry_settings const& settings, base::clock const& clock,
                   telemetry::event_log& log, telemetry::span_writer& spans)
        : settings(settings), clock(clock), log(log), io(static_cast<int>(settings.threads)),
          strand(boost::asio::make_strand(io)), signals(io), shard_timer(io), stop_timer(io),
          core(io, settings, clock, log, spans), backend(core, settings.region),
          front(backend, core.metrics(), log, clock, make_api_options(settings, core.self()))
    {
    }

    entry_end run();

private:
    bool open();
    void wait_for_signal();
    void schedule_shard_tick();
    void schedule_stop_poll();
    void start_stop();
    void advance_stop();
    void enter(stop_phase next);
    [[nodiscard]] bool phase_is_over(std::chrono::nanoseconds limit) const;
    void finish(entry_end end);

    settings::entry_settings settings;
    base::clock const& clock;
    telemetry::event_log& log;
    boost::asio::io_context io;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::signal_set signals;
    boost::asio::steady_timer shard_timer;
    boost::asio::steady_timer stop_timer;
    entry_core core;
    entry_backend backend;
    api::http_api front;
    std::unique_ptr<net::http_server> http;
    stop_phase phase = stop_phase::running;
    base::steady_time phase_since{};
    entry_end end = entry_end::stopped;
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
    net::http_limits limits;
    limits.max_body_bytes = this->settings.max_body_bytes;
    limits.max_connections = this->settings.max_connections;
    auto server =
        net::http_server::listen(this->io, this->settings.listen_http, limits,
                                 [this](net::http_request request, net::http_responder respond)
                                 { this->front.handle(std::move(request), std::move(respond)); });
    if (!server)
    {
        this->log.write(
            telemetry::events::address_unusable,
            {{"address", this->settings.listen_http}, {"reason", server.error().detail}});
        return false;
    }
    this->http = std::move(server).value();
    return true;
}

entry_end entry_process::implementation::run()
{
    if (!this->open())
    {
        return entry_end::failed;
    }
    this->core.start();
    this->wait_for_signal();
    this->schedule_shard_tick();
    this->schedule_stop_poll();
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
    return this->end;
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
                                           this->start_stop();
                                       }
                                   }));
}

void entry_process::implementation::schedule_shard_tick()
{
    this->shard_timer.expires_after(shard_tick);
    this->shard_timer.async_wait(
        [this](boost::system::error_code const& code)
        {
            if (!code)
            {
                this->core.tick();
                this->schedule_shard_tick();
            }
        });
}

void entry_process::implementation::schedule_stop_poll()
{
    this->stop_timer.expires_after(stop_poll);
    this->stop_timer.async_wait(
        boost::asio::bind_executor(this->strand,
                                   [this](boost::system::error_code const& code)
                                   {
                                       if (!code)
                                       {
                                           this->schedule_stop_poll();
                                           this->advance_stop();
                                       }
                                   }));
}

void entry_process::implementation::start_stop()
{
    this->log.write(telemetry::events::process_stopping);
    this->core.control().start_leaving();
    this->enter(stop_phase::draining);
}

void entry_process::implementation::enter(stop_phase next)
{
    this->phase = next;
    this->phase_since = this->clock.steady_now();
}

bool entry_process::implementation::phase_is_over(std::chrono::nanoseconds limit) const
{
    return this->clock.steady_now() - this->phase_since >= limit;
}

void entry_process::implementation::advance_stop()
{
    if (this->core.control().was_removed() && this->phase != stop_phase::leaving &&
        this->phase != stop_phase::closing)
    {
        this->finish(this->phase == stop_phase::running ? entry_end::removed : entry_end::stopped);
        return;
    }
    switch (this->phase)
    {
    case stop_phase::running:
        break;
    case stop_phase::draining:
        if ((this->core.is_leaving() && this->core.shards().is_idle()) ||
            this->phase_is_over(drain_limit))
        {
            this->core.start_handover();
            this->enter(stop_phase::handing_over);
        }
        break;
    case stop_phase::handing_over:
        if (this->core.is_handover_done() || this->phase_is_over(farewell_limit))
        {
            this->core.control().finish_leaving();
            this->enter(stop_phase::leaving);
        }
        break;
    case stop_phase::leaving:
        if (!this->core.is_member() || this->phase_is_over(farewell_limit))
        {
            this->http->stop();
            this->enter(stop_phase::closing);
        }
        break;
    case stop_phase::closing:
        if (this->http->is_idle() || this->phase_is_over(farewell_limit))
        {
            this->finish(entry_end::stopped);
        }
        break;
    }
}

void entry_process::implementation::finish(entry_end how)
{
    this->end = how;
    this->core.stop();
    this->shard_timer.cancel();
    this->stop_timer.cancel();
    this->io.stop();
}

entry_process::entry_process(settings::entry_settings const& settings, base::clock const& clock,
                             telemetry::event_log& log, telemetry::span_writer& spans)
    : content(std::make_unique<implementation>(settings, clock, log, spans))
{
}

entry_process::~entry_process() = default;

entry_end entry_process::run()
{
    return this->content->run();
}

} // namespace filbertroad::server

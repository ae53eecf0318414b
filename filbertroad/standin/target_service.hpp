#ifndef FILBERTROAD_STANDIN_TARGET_SERVICE_HPP
#define FILBERTROAD_STANDIN_TARGET_SERVICE_HPP

/// A stand-in target: runs tasks on timers, writes a journal of starts, and imitates faults.
///
///     standin::start_journal journal("starts.txt");
///     standin::target_service target(io, clock, options, journal);
///     auto server = net::http_server::listen(io, options.address, {}, target.handler());
///     target.announce();
///
/// `POST /v1/start` starts the task of the body (headers x-route, x-key, x-index, x-start-before),
/// `POST /v1/cancel` ends one (same headers), `POST /control` changes target_settings.
/// Answers to a start: 200 succeeded; 422 the payload asks to fail; 409 with x-reason `cancelled`;
/// 500 fail_all; 503 with x-not-started `true` and x-reason `no-slot`, `late` or `leaving`.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/net/http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertroad::standin
{

struct target_options
{
    std::string name;
    std::string service;
    /// Own address, as announced.
    std::string address;
    std::string agent;
    std::vector<std::string> labels{};
    std::uint32_t slots = 8;
    /// Mean of the exponential run time of tasks whose payload has no `run_ms`.
    std::chrono::milliseconds mean_run_time{100};
    std::uint64_t seed = 1;
};

struct target_settings
{
    /// Factor on every run time.
    double slowness = 1;
    /// Started tasks are answered 500 at once.
    bool fail_all = false;
    /// Tasks run, but the connection is closed without an answer.
    bool drop_answers = false;
    /// Time between the end of a task, which frees its slot, and its answer.
    std::uint32_t late_answers_ms = 0;
    /// Answers name another key.
    bool wrong_key = false;
    /// Answers end before the end of their body.
    bool cut_body = false;
    /// Starts are refused as if all slots were busy.
    bool refuse_all = false;
    /// Started tasks do not end until this is false again.
    bool hang = false;
    /// Slots that are announced instead of the real number.
    std::optional<std::uint32_t> announced_slots = std::nullopt;
};

/// File of starts, one line `UNIX_MS KEY INDEX TARGET` each, appended and flushed at once. Several
/// targets and processes may write to one file.
class start_journal
{
public:
    explicit start_journal(std::string const& path);
    [[nodiscard]] bool is_open() const { return this->file.is_open(); }
    void write(std::uint64_t unix_ms, std::string_view key, std::string_view index,
               std::string_view target);

private:
    std::ofstream file;
};

/// Runs on one thread of `io`, which must outlive it.
class target_service
{
public:
    static constexpr std::chrono::milliseconds announce_period{500};

    target_service(boost::asio::io_context& io, base::clock const& clock, target_options options,
                   target_settings settings, start_journal& journal);

    /// Handler for the HTTP server; the service must outlive it.
    [[nodiscard]] net::http_handler handler();

    /// Sets the own address, for a server that has chosen its port.
    void set_address(std::string value) { this->options.address = std::move(value); }

    /// Announces the target to its agent, now and then periodically.
    void announce();

    /// Tells the agent that the target leaves, and refuses further starts. Calls `done` once when
    /// no task runs; tasks that hang do not count.
    void leave(std::function<void()> done);

    [[nodiscard]] std::size_t running_count() const { return this->tasks.size(); }

private:
    struct task_identity
    {
        std::string route;
        std::string key;
        std::string index;
    };

    struct running_task
    {
        task_identity identity;
        net::http_responder respond;
        bool fails = false;
        bool hangs = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    using task_map = std::map<std::uint64_t, running_task>;

    void handle_start(net::http_request const& request, net::http_responder const& respond);
    void handle_cancel(net::http_request const& request, net::http_responder const& respond);
    void handle_control(net::http_request const& request, net::http_responder const& respond);
    [[nodiscard]] std::string_view refusal_reason(net::http_request const& request) const;
    [[nodiscard]] std::chrono::nanoseconds run_time(std::string_view payload);
    void run(running_task task, std::string_view payload);
    void complete_task(std::uint64_t number);
    void complete_hanging_tasks();
    void send_response(running_task const& task, unsigned status, std::string_view result_word);
    void finish_leaving_if_idle();

    boost::asio::io_context& io;
    base::clock const& clock;
    target_options options;
    target_settings settings;
    start_journal& journal;
    net::http_client agent;
    boost::asio::steady_timer announce_timer;
    std::mt19937_64 random;
    task_map tasks;
    std::uint64_t last_task_number = 0;
    bool leaving = false;
    std::function<void()> on_drained;
};

} // namespace filbertroad::standin

#endif

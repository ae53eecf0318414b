#ifndef FILBERTROAD_STANDIN_TARGET_SERVICE_HPP
#define FILBERTROAD_STANDIN_TARGET_SERVICE_HPP

/// Stand-in target: simulates tasks by timers, writes a journal of starts, and injects faults.
///
///     standin::start_journal journal("starts.txt");
///     standin::target_service target(io, clock, options, journal);
///     auto server = net::http_server::listen(io, options.address, {}, target.handler());
///     target.announce();
///
/// `POST /v1/start` starts a task. The body is its payload; the headers x-route, x-key and x-index
/// identify the task, and x-start-before is the latest start time in Unix ms. `POST /v1/cancel`
/// cancels the task with the same headers. `POST /control` changes the target_settings.
/// Responses to a start: 200 if the task succeeded; 422 if its payload requests a failure; 409 with
/// x-reason `cancelled`; 500 while fail_all is set; 503 with x-not-started `true` and x-reason
/// `no-slot`, `late` or `leaving`; 400 with x-not-started `true` for missing headers.

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
    /// Address of this target, as announced to the agent.
    std::string address;
    std::string agent;
    std::vector<std::string> labels{};
    std::uint32_t slots = 8;
    /// Mean of the exponentially distributed run time of tasks without `run_ms` in the payload.
    std::chrono::milliseconds mean_run_time{100};
    std::uint64_t seed = 1;
};

struct target_settings
{
    /// Multiplier for run times.
    double slowness = 1;
    /// Started tasks fail immediately with a 500.
    bool fail_all = false;
    /// Tasks run, but the connection is closed without a response.
    bool drop_answers = false;
    /// Delay between the end of a task, which frees its slot, and the response.
    std::uint32_t late_answers_ms = 0;
    /// Responses carry the key of another job.
    bool wrong_key = false;
    /// Responses are truncated within the body.
    bool cut_body = false;
    /// Starts are refused with `no-slot`.
    bool refuse_all = false;
    /// Tasks that start while this is set do not end until it is cleared.
    bool hang = false;
    /// Number of slots to announce instead of the real one.
    std::optional<std::uint32_t> announced_slots = std::nullopt;
};

/// Journal file of task starts, with one line `UNIX_MS KEY INDEX TARGET` per start. Each line is
/// appended and flushed immediately. Several targets and processes may share one file.
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

/// Serves start and cancel requests and announces the target to its agent. Not thread-safe: `io`
/// must run on one thread and outlive the service.
class target_service
{
public:
    static constexpr std::chrono::milliseconds announce_period{500};

    target_service(boost::asio::io_context& io, base::clock const& clock, target_options options,
                   target_settings settings, start_journal& journal);

    /// Handler for the HTTP server. The service must outlive the handler.
    [[nodiscard]] net::http_handler handler();

    /// Sets the announced address, for a server that listens on an ephemeral port.
    void set_address(std::string value) { this->options.address = std::move(value); }

    /// Announces the target to its agent immediately and then every announce_period.
    void announce();

    /// Notifies the agent that the target is leaving and refuses further starts. Calls `done` once,
    /// when the agent has responded or its timeout has passed, and no task is running except
    /// hanging ones.
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

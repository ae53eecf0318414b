#ifndef FILBERTROAD_SERVER_AGENT_TARGET_HPP
#define FILBERTROAD_SERVER_AGENT_TARGET_HPP

/// The target beside an agent, over HTTP: sends starts and cancellations, and tells what became of
/// each start. A request is sent once; what is not certain is reported as unknown.
///
///     agent_target target(io, clock, spans, metrics, handler);
///     target.set_address("127.0.0.1:9001", 8);
///     target.run(run);
///
/// Use from the thread of the io_context only.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/server/span_recorder.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace filbertroad::server
{

/// What the target answered to one start.
struct target_reply
{
    execution::target_answer answer = execution::target_answer::unknown;
    std::string body;
    std::string reason;
};

/// Reads an answer to a start of `task`. An answer that names another task is unknown: it may have
/// been crossed with another request's.
[[nodiscard]] target_reply interpret_reply(wire::task_ref const& task, net::http_result result);

class agent_target
{
public:
    /// Timeout of a task whose route has none.
    static constexpr std::chrono::milliseconds default_task_timeout{30'000};
    static constexpr std::chrono::milliseconds cancel_timeout{1000};

    using answer_handler = std::function<void(wire::task_ref const&, target_reply,
                                              std::chrono::microseconds run_time)>;

    agent_target(boost::asio::io_context& io, base::clock const& clock, span_recorder& spans,
                 telemetry::metrics_registry& metrics, answer_handler handler);

    /// Where the target listens (IP:PORT). Requests to an earlier address are waited for.
    void set_address(std::string const& address, std::uint32_t slots);
    /// The handler is called once for each start, always later.
    void run(execution::run_task const& run);
    void cancel(wire::task_ref const& task);

private:
    void complete_task(wire::task_ref const& task, open_span const& span, base::steady_time sent_at,
                       target_reply reply);

    boost::asio::io_context& io;
    base::clock const& clock;
    span_recorder& spans;
    answer_handler handler;
    std::string address;
    std::uint32_t slots = 0;
    std::shared_ptr<net::http_client> client;
    /// Separate, so that a cancellation does not wait for a connection that tasks occupy.
    std::shared_ptr<net::http_client> cancel_client;
    std::map<execution::target_answer, telemetry::counter*> answer_counters;
    telemetry::histogram& run_times;
};

} // namespace filbertroad::server

#endif

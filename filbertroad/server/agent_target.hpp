#ifndef FILBERTROAD_SERVER_AGENT_TARGET_HPP
#define FILBERTROAD_SERVER_AGENT_TARGET_HPP

/// HTTP client of an agent for its target: sends starts and cancellations, and reports the outcome
/// of each start. A request is sent at most once; an uncertain outcome is reported as unknown.
///
///     agent_target target(io, clock, spans, metrics, handler);
///     target.set_address("127.0.0.1:9001", 8);
///     target.run(run);
///
/// Not thread-safe: use from the thread of the io_context only.

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

/// The outcome of one start.
struct target_reply
{
    execution::execution_outcome outcome = execution::execution_outcome::unknown;
    std::string body;
    std::string reason;
};

/// Interprets the response to a start of `task`. If the response names another task, the outcome is
/// unknown, since the responses of two requests may have been swapped.
[[nodiscard]] target_reply interpret_reply(wire::task_ref const& task, net::http_result result);

class agent_target
{
public:
    /// Timeout of a task whose route has none.
    static constexpr std::chrono::milliseconds default_task_timeout{30'000};
    static constexpr std::chrono::milliseconds cancel_timeout{1000};

    using reply_handler = std::function<void(wire::task_ref const&, target_reply,
                                             std::chrono::microseconds run_time)>;

    agent_target(boost::asio::io_context& io, base::clock const& clock, span_recorder& spans,
                 telemetry::metrics_registry& metrics, reply_handler handler);

    /// Sets the address (IP:PORT) and the number of slots of the target. Requests in flight to an
    /// earlier address still complete.
    void set_address(std::string const& address, std::uint32_t slots);
    /// Starts a task. The handler is called once for each start, never from within this call.
    void run(execution::run_task const& run);
    /// Asks the target to cancel a task; the response is ignored.
    void cancel(wire::task_ref const& task);

private:
    void complete_task(wire::task_ref const& task, open_span const& span, base::steady_time sent_at,
                       target_reply reply);

    boost::asio::io_context& io;
    base::clock const& clock;
    span_recorder& spans;
    reply_handler handler;
    std::string address;
    std::uint32_t slots = 0;
    std::shared_ptr<net::http_client> client;
    /// A separate client, so that a cancellation does not wait for a connection used by a task.
    std::shared_ptr<net::http_client> cancel_client;
    std::map<execution::execution_outcome, telemetry::counter*> outcome_counters;
    telemetry::histogram& run_times;
};

} // namespace filbertroad::server

#endif

#include "filbertroad/server/agent_target.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace filbertroad::server
{
namespace
{

using execution::execution_outcome;

/// Connections per slot. A target that has freed a slot may get the next start before the
/// connection that carries the last response is idle again.
constexpr std::uint32_t connections_per_slot = 2;
constexpr std::uint32_t min_connections = 16;

std::string_view to_label(execution_outcome outcome)
{
    switch (outcome)
    {
    case execution_outcome::succeeded:
        return "succeeded";
    case execution_outcome::failed:
        return "failed";
    case execution_outcome::refused_no_slot:
        return "refused_no_slot";
    case execution_outcome::refused_late:
        return "refused_late";
    case execution_outcome::not_sent:
        return "not_sent";
    case execution_outcome::unknown:
        return "unknown";
    case execution_outcome::timed_out:
        return "timed_out";
    case execution_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

bool names_task(wire::task_ref const& task, net::http_response const& response)
{
    return response.header("x-route") == task.route() && response.header("x-key") == task.key() &&
           response.header("x-index") == std::to_string(task.index());
}

/// Whether the response names a task other than `task`. Refusals need not name their task.
bool names_other_task(wire::task_ref const& task, net::http_response const& response)
{
    return !response.header("x-key").empty() && !names_task(task, response);
}

target_reply interpret_response(wire::task_ref const& task, net::http_response response)
{
    auto reason = std::string(response.header("x-reason"));
    if (response.status == 200 && names_task(task, response))
    {
        return {execution_outcome::succeeded, std::move(response.body), {}};
    }
    if (response.status == 200 || names_other_task(task, response))
    {
        return {
            execution_outcome::unknown, {}, "the answer does not name the task that was started"};
    }
    if (response.status == 409 && reason == "cancelled")
    {
        return {execution_outcome::cancelled, std::move(response.body), std::move(reason)};
    }
    if (response.status == 422)
    {
        reason = reason.empty() ? "the target reported a failure" : reason;
        return {execution_outcome::failed, std::move(response.body), std::move(reason)};
    }
    if (response.status == 503 && response.header("x-not-started") == "true")
    {
        return {reason == "late" ? execution_outcome::refused_late
                                 : execution_outcome::refused_no_slot,
                {},
                std::move(reason)};
    }
    return {execution_outcome::unknown,
            {},
            "the target answered with status " + std::to_string(response.status)};
}

std::vector<net::http_header> make_headers(wire::task_ref const& task, std::string traceparent)
{
    std::vector<net::http_header> headers{{"x-route", task.route()},
                                          {"x-key", task.key()},
                                          {"x-index", std::to_string(task.index())}};
    if (!traceparent.empty())
    {
        headers.push_back({"traceparent", std::move(traceparent)});
    }
    return headers;
}

} // namespace

target_reply interpret_reply(wire::task_ref const& task, net::http_result result)
{
    if (result)
    {
        return interpret_response(task, std::move(result).value());
    }
    auto& failure = result.error();
    if (!failure.may_have_arrived)
    {
        return {execution_outcome::not_sent, {}, std::move(failure.error.detail)};
    }
    if (failure.error.code == net::net_error::timeout)
    {
        return {execution_outcome::timed_out, {}, "no answer of the target in time"};
    }
    return {execution_outcome::unknown, {}, std::move(failure.error.detail)};
}

agent_target::agent_target(boost::asio::io_context& io, base::clock const& clock,
                           span_recorder& spans, telemetry::metrics_registry& metrics,
                           reply_handler handler)
    : io(io), clock(clock), spans(spans), handler(std::move(handler)),
      run_times(metrics.add_histogram("filbertroad_agent_task_seconds",
                                      "Time from a start to the target's answer."))
{
    for (auto const outcome : {execution_outcome::succeeded, execution_outcome::failed,
                               execution_outcome::refused_no_slot, execution_outcome::refused_late,
                               execution_outcome::not_sent, execution_outcome::unknown,
                               execution_outcome::timed_out, execution_outcome::cancelled})
    {
        this->outcome_counters[outcome] =
            &metrics.add_counter("filbertroad_agent_answers_total", "Answers of the target.",
                                 {{"answer", std::string(to_label(outcome))}});
    }
}

void agent_target::set_address(std::string const& address, std::uint32_t slots)
{
    if (this->client && this->address == address && this->slots == slots)
    {
        return;
    }
    this->address = address;
    this->slots = slots;
    this->client = std::make_shared<net::http_client>(
        this->io, address, std::max(min_connections, slots * connections_per_slot));
    this->cancel_client = std::make_shared<net::http_client>(this->io, address, min_connections);
}

void agent_target::run(execution::run_task const& run)
{
    auto const& start = run.start;
    auto span = this->spans.begin("run_task", telemetry::span_kind::client, start.traceparent());
    auto const sent_at = this->clock.steady_now();
    if (!this->client || this->clock.system_now() >= run.start_before)
    {
        auto const outcome =
            this->client ? execution_outcome::refused_late : execution_outcome::not_sent;
        boost::asio::post(this->io,
                          [this, task = start.task(), span, sent_at, outcome] {
                              this->complete_task(task, span, sent_at, {outcome, {}, "not sent"});
                          });
        return;
    }
    net::http_request request{.method = "POST", .path = "/v1/start"};
    request.headers = make_headers(start.task(), span.traceparent());
    request.headers.push_back(
        {"x-start-before", std::to_string(base::to_unix_ms(run.start_before))});
    request.body = start.payload();
    auto const timeout = start.timeout_ms() == 0 ? default_task_timeout
                                                 : std::chrono::milliseconds(start.timeout_ms());
    // The handler keeps the client alive, because a client drops its requests in flight when it is
    // destroyed.
    this->client->send(std::move(request), timeout,
                       [this, keep_alive = this->client, task = start.task(), span,
                        sent_at](net::http_result result)
                       {
                           auto reply = interpret_reply(task, std::move(result));
                           if (reply.outcome == execution_outcome::timed_out)
                           {
                               this->cancel(task);
                           }
                           this->complete_task(task, span, sent_at, std::move(reply));
                       });
}

void agent_target::complete_task(wire::task_ref const& task, open_span const& span,
                                 base::steady_time sent_at, target_reply reply)
{
    auto const run_time =
        std::chrono::duration_cast<std::chrono::microseconds>(this->clock.steady_now() - sent_at);
    this->outcome_counters.at(reply.outcome)->increment();
    this->run_times.observe(std::chrono::duration<double>(run_time).count());
    this->spans.end(span, reply.outcome != execution_outcome::succeeded);
    this->handler(task, std::move(reply), run_time);
}

void agent_target::cancel(wire::task_ref const& task)
{
    if (!this->cancel_client)
    {
        return;
    }
    net::http_request request{.method = "POST", .path = "/v1/cancel"};
    request.headers = make_headers(task, {});
    this->cancel_client->send(std::move(request), cancel_timeout,
                              [keep_alive = this->cancel_client](net::http_result const&) {});
}

} // namespace filbertroad::server

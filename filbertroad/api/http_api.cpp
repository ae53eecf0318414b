#include "filbertroad/api/http_api.hpp"

#include "filbertroad/api/internal/access_filters.hpp"
#include "filbertroad/api/internal/filter_chain.hpp"
#include "filbertroad/api/internal/parse_filter.hpp"
#include "filbertroad/api/internal/report_json.hpp"
#include "filbertroad/api/internal/status_page.hpp"
#include "filbertroad/api/internal/table_json.hpp"
#include "filbertroad/api/internal/validate_filter.hpp"

#include <array>
#include <mutex>

namespace filbertroad::api
{
namespace
{

using internal::api_error;
using internal::operation;
using internal::request_context;
using internal::tristate;

constexpr std::string_view metrics_content_type = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::string_view page_content_type = "text/html; charset=utf-8";
constexpr std::size_t operation_count = static_cast<std::size_t>(operation::get_page) + 1;
constexpr std::size_t status_class_count = 6;
/// Limits events about rejected input, so that a sender of bad requests cannot flood the event log.
constexpr double max_bad_input_events_per_s = 5;

net::http_response ok(std::string body, std::string_view type = "application/json")
{
    net::http_response response;
    response.content_type = type;
    response.body = std::move(body);
    return response;
}

net::http_response job_response(operation op, wire::response const& reply)
{
    if (reply.has_error())
    {
        return internal::to_response(internal::from_request_error(reply.error()));
    }
    if (!reply.has_job())
    {
        return internal::to_response({.status = 500,
                                      .code = "internal",
                                      .detail = "unexpected response type from the job owner",
                                      .not_run = tristate::unknown});
    }
    bool const is_change = op == operation::submit || op == operation::cancel;
    auto response = ok(internal::to_json(reply.job(), op == operation::explain));
    response.status = is_change && !internal::is_ended(reply.job().state()) ? 202 : 200;
    return response;
}

net::http_response change_response(base::result<std::uint64_t, change_failure> const& result)
{
    if (!result)
    {
        return internal::to_response(internal::from_change_failure(result.error()));
    }
    return ok("{\"version\":" + std::to_string(result.value()) + "}");
}

/// Request counters and latency histograms by operation.
class request_metrics
{
public:
    explicit request_metrics(telemetry::metrics_registry& metrics)
    {
        for (std::size_t i = 0; i < operation_count; ++i)
        {
            std::string const name(internal::to_string(static_cast<operation>(i)));
            this->seconds[i] = &metrics.add_histogram(
                "filbertroad_http_request_seconds", "Time from a whole request to its answer.",
                telemetry::duration_bounds(), {{"operation", name}});
            for (std::size_t digit = 2; digit < status_class_count; ++digit)
            {
                this->requests[i][digit] = &metrics.add_counter(
                    "filbertroad_http_requests_total", "Answered requests.",
                    {{"operation", name}, {"status", std::to_string(digit) + "xx"}});
            }
        }
    }

    void record(operation op, unsigned status, std::chrono::duration<double> time)
    {
        auto const index = static_cast<std::size_t>(op);
        this->seconds[index]->observe(time.count());
        auto* const requests = this->requests[index][status / 100 % status_class_count];
        if (requests != nullptr)
        {
            requests->increment();
        }
    }

private:
    std::array<telemetry::histogram*, operation_count> seconds{};
    std::array<std::array<telemetry::counter*, status_class_count>, operation_count> requests{};
};

} // namespace

class http_api::implementation
{
public:
    implementation(entry_service& service, telemetry::metrics_registry& metrics,
                   telemetry::event_log& events, base::clock const& clock,
                   api_options const& options)
        : service(service), registry(metrics), events(events), clock(clock), metrics(metrics),
          filters(internal::size_filter(options.max_body_bytes), internal::parse_filter(),
                  internal::authenticate_filter(service, options.operator_token),
                  internal::rate_filter(clock, {options.team_rate, options.operator_rate}),
                  internal::validate_filter(options.change_id_prefix)),
          event_rate_limit(max_bad_input_events_per_s, clock.steady_now())
    {
    }

    void handle(net::http_request request, net::http_responder respond)
    {
        auto const begin = this->clock.steady_now();
        request_context context;
        context.request = std::move(request);
        if (auto const error = this->filters.check(context))
        {
            this->reject(context, *error, begin, respond);
            return;
        }
        auto const op = context.op;
        auto const send_response =
            [this, op, begin, respond = std::move(respond)](net::http_response response)
        {
            this->metrics.record(op, response.status, this->clock.steady_now() - begin);
            respond(std::move(response));
        };
        this->execute(context, send_response);
    }

private:
    void reject(request_context const& context, api_error const& error, base::steady_time begin,
                net::http_responder const& respond)
    {
        this->metrics.record(context.op, error.status, this->clock.steady_now() - begin);
        if (this->may_write_bad_input_event())
        {
            this->events.write(
                telemetry::events::bad_input,
                {{"code", error.code},
                 {"field", error.field},
                 {"detail", error.detail},
                 {"path", context.request.path.substr(0, internal::size_filter::max_path_bytes)}});
        }
        auto response = internal::to_response(error);
        if (error.status == 401)
        {
            response.headers.push_back({"WWW-Authenticate", context.op == operation::get_page
                                                                ? "Basic realm=\"filbertroad\""
                                                                : "Bearer realm=\"filbertroad\""});
        }
        respond(std::move(response));
    }

    bool may_write_bad_input_event()
    {
        std::lock_guard const guard(this->event_rate_limit_lock);
        return this->event_rate_limit.take(this->clock.steady_now()).count() == 0;
    }

    void execute(request_context& context, net::http_responder const& send_response)
    {
        if (internal::is_for_callers(context.op))
        {
            this->execute_job(context, send_response);
            return;
        }
        switch (context.op)
        {
        case operation::get_table:
            send_response(ok(internal::to_json(this->service.table(context.table))));
            break;
        case operation::get_metrics:
            send_response(ok(this->registry.to_prometheus(), metrics_content_type));
            break;
        case operation::get_status:
            this->service.status([send_response](region_status const& status)
                                 { send_response(ok(internal::to_json(status))); });
            break;
        case operation::get_page:
            this->service.status(
                [send_response](region_status const& status)
                { send_response(ok(internal::status_page(status), page_content_type)); });
            break;
        default:
            this->execute_change(context, send_response);
        }
    }

    void execute_job(request_context& context, net::http_responder const& send_response)
    {
        auto const op = context.op;
        auto const handler = [op, send_response](wire::response const& response)
        { send_response(job_response(op, response)); };
        if (auto* const submit = std::get_if<wire::submit_request>(&context.command))
        {
            this->service.submit(std::move(*submit), handler);
            return;
        }
        auto query = std::get<wire::job_query>(std::move(context.command));
        switch (op)
        {
        case operation::acknowledge:
            this->service.acknowledge(std::move(query), handler);
            break;
        case operation::cancel:
            this->service.cancel(std::move(query), handler);
            break;
        default:
            this->service.query(std::move(query), handler);
        }
    }

    void execute_change(request_context& context, net::http_responder const& send_response)
    {
        auto const handler =
            [send_response](base::result<std::uint64_t, change_failure> const& result)
        { send_response(change_response(result)); };
        if (auto* const publish = std::get_if<publish_request>(&context.command))
        {
            this->service.publish(std::move(*publish), handler);
            return;
        }
        auto change = std::get<service_state_request>(std::move(context.command));
        if (context.op == operation::set_zone)
        {
            this->service.set_zone(std::move(change), handler);
        }
        else
        {
            this->service.set_target(std::move(change), handler);
        }
    }

    entry_service& service;
    telemetry::metrics_registry& registry;
    telemetry::event_log& events;
    base::clock const& clock;
    request_metrics metrics;
    internal::filter_chain<internal::size_filter, internal::parse_filter,
                           internal::authenticate_filter, internal::rate_filter,
                           internal::validate_filter>
        filters;
    std::mutex event_rate_limit_lock;
    internal::token_bucket event_rate_limit;
};

http_api::http_api(entry_service& service, telemetry::metrics_registry& metrics,
                   telemetry::event_log& events, base::clock const& clock, api_options options)
    : impl(std::make_unique<implementation>(service, metrics, events, clock, options))
{
}

http_api::~http_api() = default;

void http_api::handle(net::http_request request, net::http_responder respond)
{
    this->impl->handle(std::move(request), std::move(respond));
}

} // namespace filbertroad::api

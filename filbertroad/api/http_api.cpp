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
using internal::exchange;
using internal::not_run;
using internal::operation;

constexpr std::string_view metrics_content_type = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::string_view page_content_type = "text/html; charset=utf-8";
constexpr std::size_t operation_count = static_cast<std::size_t>(operation::get_page) + 1;
constexpr std::size_t status_class_count = 6;
/// Events of refused input per second; a sender of bad requests must not fill the event log.
constexpr double bad_input_event_rate = 5;

net::http_response ok(std::string body, std::string_view type = "application/json")
{
    net::http_response response;
    response.content_type = type;
    response.body = std::move(body);
    return response;
}

net::http_response job_response(operation what, wire::response const& answer)
{
    if (answer.has_error())
    {
        return internal::to_response(internal::from_wire(answer.error()));
    }
    if (!answer.has_job())
    {
        return internal::to_response({.status = 500,
                                      .code = "internal",
                                      .detail = "the owner gave an answer of another kind",
                                      .ran = not_run::unknown});
    }
    bool const is_change = what == operation::submit || what == operation::cancel;
    auto response = ok(internal::to_json(answer.job(), what == operation::explain));
    response.status = is_change && !internal::is_ended(answer.job().state()) ? 202 : 200;
    return response;
}

net::http_response change_response(base::result<std::uint64_t, change_fault> const& result)
{
    if (!result)
    {
        return internal::to_response(internal::from_change(result.error()));
    }
    return ok("{\"version\":" + std::to_string(result.value()) + "}");
}

/// Counters and times of the requests, by operation.
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

    void record(operation what, unsigned status, std::chrono::duration<double> time)
    {
        auto const index = static_cast<std::size_t>(what);
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
          event_budget(bad_input_event_rate, clock.steady_now())
    {
    }

    void handle(net::http_request request, net::http_responder respond)
    {
        auto const begin = this->clock.steady_now();
        exchange current;
        current.request = std::move(request);
        if (auto const refusal = this->filters.check(current))
        {
            this->refuse(current, *refusal, begin, respond);
            return;
        }
        auto const what = current.what;
        auto const answer =
            [this, what, begin, respond = std::move(respond)](net::http_response response)
        {
            this->metrics.record(what, response.status, this->clock.steady_now() - begin);
            respond(std::move(response));
        };
        this->execute(current, answer);
    }

private:
    void refuse(exchange const& current, api_error const& refusal, base::steady_time begin,
                net::http_responder const& respond)
    {
        this->metrics.record(current.what, refusal.status, this->clock.steady_now() - begin);
        if (this->may_write_event())
        {
            this->events.write(
                telemetry::events::bad_input,
                {{"code", refusal.code},
                 {"field", refusal.field},
                 {"detail", refusal.detail},
                 {"path", current.request.path.substr(0, internal::size_filter::max_path_bytes)}});
        }
        auto response = internal::to_response(refusal);
        if (refusal.status == 401)
        {
            response.headers.push_back({"WWW-Authenticate", current.what == operation::get_page
                                                                ? "Basic realm=\"filbertroad\""
                                                                : "Bearer realm=\"filbertroad\""});
        }
        respond(std::move(response));
    }

    bool may_write_event()
    {
        std::lock_guard const guard(this->event_lock);
        return this->event_budget.take(this->clock.steady_now()).count() == 0;
    }

    void execute(exchange& current, net::http_responder const& answer)
    {
        if (internal::is_for_callers(current.what))
        {
            this->execute_job(current, answer);
            return;
        }
        switch (current.what)
        {
        case operation::get_table:
            answer(ok(internal::to_json(this->service.table(current.table))));
            break;
        case operation::get_metrics:
            answer(ok(this->registry.to_prometheus(), metrics_content_type));
            break;
        case operation::get_status:
            this->service.status([answer](region_status const& status)
                                 { answer(ok(internal::to_json(status))); });
            break;
        case operation::get_page:
            this->service.status([answer](region_status const& status)
                                 { answer(ok(internal::status_page(status), page_content_type)); });
            break;
        default:
            this->execute_change(current, answer);
        }
    }

    void execute_job(exchange& current, net::http_responder const& answer)
    {
        auto const what = current.what;
        auto const handler = [what, answer](wire::response const& response)
        { answer(job_response(what, response)); };
        if (auto* const submit = std::get_if<wire::submit_request>(&current.command))
        {
            this->service.submit(std::move(*submit), handler);
            return;
        }
        auto query = std::get<wire::job_query>(std::move(current.command));
        switch (what)
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

    void execute_change(exchange& current, net::http_responder const& answer)
    {
        auto const handler = [answer](base::result<std::uint64_t, change_fault> const& result)
        { answer(change_response(result)); };
        if (auto* const publish = std::get_if<publish_request>(&current.command))
        {
            this->service.publish(std::move(*publish), handler);
            return;
        }
        auto change = std::get<service_request>(std::move(current.command));
        if (current.what == operation::set_zone)
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
    std::mutex event_lock;
    internal::token_bucket event_budget;
};

http_api::http_api(entry_service& service, telemetry::metrics_registry& metrics,
                   telemetry::event_log& events, base::clock const& clock, api_options options)
    : content(std::make_unique<implementation>(service, metrics, events, clock, options))
{
}

http_api::~http_api() = default;

void http_api::handle(net::http_request request, net::http_responder respond)
{
    this->content->handle(std::move(request), std::move(respond));
}

} // namespace filbertroad::api

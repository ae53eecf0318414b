#include "filbertroad/api/internal/validate_filter.hpp"

#include "filbertroad/api/internal/submit_body.hpp"
#include "filbertroad/api/internal/table_json.hpp"
#include "filbertroad/telemetry/trace_context.hpp"

namespace filbertroad::api::internal
{
namespace
{

constexpr std::string_view default_author = "operator";

std::string author_of(exchange const& request)
{
    return request.author.empty() ? std::string(default_author) : request.author;
}

wire::job_query make_query(exchange const& request)
{
    wire::job_query query;
    query.set_route(request.route);
    query.set_key(request.key);
    query.set_team(request.team);
    query.set_wait_ms(request.wait_ms);
    query.set_with_history(request.what == operation::explain);
    return query;
}

} // namespace

std::string validate_filter::change_id_of(exchange const& request)
{
    if (!request.change_id.empty())
    {
        return request.change_id;
    }
    return this->id_prefix + "-" + std::to_string((*this->next_id)++);
}

std::optional<api_error> validate_filter::check_submit(exchange& request) const
{
    wire::submit_request submit;
    auto& job = *submit.mutable_job();
    job.set_route(request.route);
    job.set_key(request.key);
    job.set_team(request.team);
    submit.set_wait_ms(request.wait_ms);
    auto const parent = telemetry::parse_traceparent(request.request.header("traceparent"));
    if (parent)
    {
        job.set_traceparent(telemetry::to_traceparent(*parent));
    }
    auto fault = read_submit_body(request.request.body, job);
    request.command = std::move(submit);
    return fault;
}

std::optional<api_error> validate_filter::check_table(exchange& request)
{
    if (!request.base)
    {
        return invalid("base", "query parameter base must be the version that the new table was "
                               "made from; GET answers it");
    }
    publish_request publish;
    publish.base = *request.base;
    publish.author = author_of(request);
    publish.change_id = this->change_id_of(request);
    auto fault = read_table(request.table, request.request.body, publish.table);
    request.command = std::move(publish);
    return fault;
}

std::optional<api_error> validate_filter::check_service(exchange& request)
{
    service_request change;
    change.name = request.name;
    change.author = author_of(request);
    change.change_id = this->change_id_of(request);
    auto fault = read_service_body(request.request.body, change);
    request.command = std::move(change);
    return fault;
}

std::optional<api_error> validate_filter::check(exchange& request)
{
    switch (request.what)
    {
    case operation::submit:
        return this->check_submit(request);
    case operation::query:
    case operation::acknowledge:
    case operation::cancel:
    case operation::explain:
        request.command = make_query(request);
        return std::nullopt;
    case operation::put_table:
        return this->check_table(request);
    case operation::set_zone:
    case operation::set_target:
        return this->check_service(request);
    case operation::get_table:
    case operation::get_status:
    case operation::get_metrics:
    case operation::get_page:
        break;
    }
    return std::nullopt;
}

} // namespace filbertroad::api::internal

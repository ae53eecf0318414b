#include "filbertroad/api/internal/validate_filter.hpp"

#include "filbertroad/api/internal/submit_body.hpp"
#include "filbertroad/api/internal/table_json.hpp"
#include "filbertroad/telemetry/trace_context.hpp"

namespace filbertroad::api::internal
{
namespace
{

constexpr std::string_view default_author = "operator";

std::string author_of(request_context const& context)
{
    return context.author.empty() ? std::string(default_author) : context.author;
}

wire::job_query make_query(request_context const& context)
{
    wire::job_query query;
    query.set_route(context.route);
    query.set_key(context.key);
    query.set_team(context.team);
    query.set_wait_ms(context.wait_ms);
    query.set_with_history(context.op == operation::explain);
    return query;
}

} // namespace

std::string validate_filter::change_id_of(request_context const& context)
{
    if (!context.change_id.empty())
    {
        return context.change_id;
    }
    return this->id_prefix + "-" + std::to_string((*this->next_id)++);
}

std::optional<api_error> validate_filter::check_submit(request_context& context) const
{
    wire::submit_request submit;
    auto& job = *submit.mutable_job();
    job.set_route(context.route);
    job.set_key(context.key);
    job.set_team(context.team);
    submit.set_wait_ms(context.wait_ms);
    auto const parent = telemetry::parse_traceparent(context.request.header("traceparent"));
    if (parent)
    {
        job.set_traceparent(telemetry::to_traceparent(*parent));
    }
    auto error = read_submit_body(context.request.body, job);
    context.command = std::move(submit);
    return error;
}

std::optional<api_error> validate_filter::check_table(request_context& context)
{
    if (!context.base)
    {
        return invalid("base", "query parameter base must be the version that the new table is "
                               "based on; GET returns it");
    }
    publish_request publish;
    publish.base = *context.base;
    publish.author = author_of(context);
    publish.change_id = this->change_id_of(context);
    auto error = read_table(context.table, context.request.body, publish.table);
    context.command = std::move(publish);
    return error;
}

std::optional<api_error> validate_filter::check_service(request_context& context)
{
    service_state_request change;
    change.name = context.name;
    change.author = author_of(context);
    change.change_id = this->change_id_of(context);
    auto error = read_service_body(context.request.body, change);
    context.command = std::move(change);
    return error;
}

std::optional<api_error> validate_filter::check(request_context& context)
{
    switch (context.op)
    {
    case operation::submit:
        return this->check_submit(context);
    case operation::query:
    case operation::acknowledge:
    case operation::cancel:
    case operation::explain:
        context.command = make_query(context);
        return std::nullopt;
    case operation::put_table:
        return this->check_table(context);
    case operation::set_zone:
    case operation::set_target:
        return this->check_service(context);
    case operation::get_table:
    case operation::get_status:
    case operation::get_metrics:
    case operation::get_page:
        break;
    }
    return std::nullopt;
}

} // namespace filbertroad::api::internal

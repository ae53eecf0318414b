#include "filbertroad/server/entry_api_service.hpp"

#include "filbertroad/control/tables.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::server
{
namespace
{

api::change_error to_change_error(publish_error error)
{
    switch (error)
    {
    case publish_error::conflict:
        return api::change_error::conflict;
    case publish_error::invalid:
        return api::change_error::invalid;
    case publish_error::outcome_unknown:
        break;
    }
    return api::change_error::outcome_unknown;
}

void fill_service_change(wire::service_change& change, api::service_state_request const& request,
                         std::uint64_t current_version)
{
    change.set_change_id(request.change_id);
    change.set_base(request.base.value_or(current_version));
    change.set_author(request.author);
    change.set_name(request.name);
    change.set_in_service(request.in_service);
}

void set_table(wire::table_change& change, api::table_value const& value)
{
    if (auto const* const routes = std::get_if<wire::routes_table>(&value))
    {
        *change.mutable_routes() = *routes;
    }
    else if (auto const* const pools = std::get_if<wire::pools_table>(&value))
    {
        *change.mutable_pools() = *pools;
    }
    else
    {
        *change.mutable_teams() = std::get<wire::teams_table>(value);
    }
}

std::uint64_t table_version(control::control_state const& state, api::table_value const& value)
{
    return std::holds_alternative<wire::routes_table>(value)  ? state.routes_version()
           : std::holds_alternative<wire::pools_table>(value) ? state.pools_version()
                                                              : state.teams_version();
}

} // namespace

entry_api_service::entry_api_service(entry_core& core, std::string region)
    : core(core), region(std::move(region))
{
}

void entry_api_service::handle(std::string_view span_name, wire::request request,
                               std::string traceparent, api::job_handler handler)
{
    auto span = this->core.spans().begin(span_name, telemetry::span_kind::server, traceparent);
    if (request.has_submit())
    {
        request.mutable_submit()->mutable_job()->set_traceparent(span.traceparent());
    }
    this->core.router().handle(
        std::move(request),
        [this, span = std::move(span), handler = std::move(handler)](wire::response response)
        {
            this->core.spans().end(span, response.has_error());
            handler(std::move(response));
        });
}

void entry_api_service::submit(wire::submit_request request, api::job_handler handler)
{
    wire::request message;
    auto traceparent = request.job().traceparent();
    *message.mutable_submit() = std::move(request);
    this->handle("submit", std::move(message), std::move(traceparent), std::move(handler));
}

void entry_api_service::query(wire::job_query query, api::job_handler handler)
{
    wire::request message;
    *message.mutable_query() = std::move(query);
    this->handle("query", std::move(message), {}, std::move(handler));
}

void entry_api_service::cancel(wire::job_query query, api::job_handler handler)
{
    wire::request message;
    *message.mutable_cancel() = std::move(query);
    this->handle("cancel", std::move(message), {}, std::move(handler));
}

void entry_api_service::acknowledge(wire::job_query query, api::job_handler handler)
{
    wire::request message;
    *message.mutable_acknowledge() = std::move(query);
    this->handle("acknowledge", std::move(message), {}, std::move(handler));
}

std::optional<wire::team> entry_api_service::team_by_token(std::string_view token) const
{
    auto const state = this->core.control().state();
    auto const* const team = state->find_team_by_token(token);
    return team == nullptr ? std::nullopt : std::optional(*team);
}

api::versioned_table entry_api_service::table(api::table_kind kind) const
{
    auto const state = this->core.control().state();
    switch (kind)
    {
    case api::table_kind::routes:
        return {state->routes(), state->routes_version()};
    case api::table_kind::pools:
        return {state->pools(), state->pools_version()};
    case api::table_kind::teams:
        break;
    }
    return {state->teams(), state->teams_version()};
}

void entry_api_service::append_change(wire::control_record record, std::string const& change_id,
                                      std::function<std::uint64_t()> current_version,
                                      api::change_handler handler)
{
    this->core.control().publish(
        std::move(record), change_id, publish_timeout,
        [current_version = std::move(current_version),
         handler = std::move(handler)](publish_result result)
        {
            if (result)
            {
                handler(result.value());
                return;
            }
            handler(api::change_failure{to_change_error(result.error().code), result.error().detail,
                                        current_version()});
        });
}

void entry_api_service::publish(api::publish_request request, api::change_handler handler)
{
    wire::control_record record;
    auto& change = *record.mutable_table();
    change.set_change_id(request.change_id);
    change.set_base(request.base);
    change.set_author(request.author);
    set_table(change, request.table);
    if (auto const fault = control::validate(change))
    {
        handler(api::change_failure{api::change_error::invalid, fault->detail,
                                    table_version(*this->core.control().state(), request.table)});
        return;
    }
    this->append_change(
        std::move(record), request.change_id,
        [this, table = request.table]
        { return table_version(*this->core.control().state(), table); },
        std::move(handler));
}

void entry_api_service::set_zone(api::service_state_request request, api::change_handler handler)
{
    wire::control_record record;
    auto const current_version = [this, name = request.name]
    { return this->core.control().state()->zone(name).version(); };
    fill_service_change(*record.mutable_zone(), request, current_version());
    this->append_change(std::move(record), request.change_id, current_version, std::move(handler));
}

void entry_api_service::set_target(api::service_state_request request, api::change_handler handler)
{
    wire::control_record record;
    auto const current_version = [this, name = request.name]
    { return this->core.control().state()->target(name).version(); };
    fill_service_change(*record.mutable_target(), request, current_version());
    this->append_change(std::move(record), request.change_id, current_version, std::move(handler));
}

void entry_api_service::status(api::status_handler handler)
{
    this->core.collect_status(
        [this, handler = std::move(handler)](std::vector<wire::status_reply> replies)
        {
            auto const state = this->core.control().state();
            api::region_status status;
            status.region = this->region;
            status.collected_by = this->core.self().id().name();
            status.view = state->view();
            status.version = state->version();
            status.routes_version = state->routes_version();
            status.pools_version = state->pools_version();
            status.teams_version = state->teams_version();
            status.registered_agents = static_cast<std::uint32_t>(state->agents().size());
            status.zones = state->zones();
            status.targets = state->targets();
            for (auto const& member : state->members())
            {
                bool const answered = std::any_of(
                    replies.begin(), replies.end(),
                    [&](wire::status_reply const& reply)
                    { return wire::to_model(reply.entry().id()) == wire::to_model(member.id()); });
                if (!answered)
                {
                    status.unresponsive.push_back(member);
                }
            }
            status.entries = std::move(replies);
            handler(std::move(status));
        });
}

} // namespace filbertroad::server

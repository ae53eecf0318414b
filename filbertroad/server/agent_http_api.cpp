#include "filbertroad/server/agent_http_api.hpp"

#include "filbertroad/model/job_key.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace filbertroad::server
{
namespace
{

namespace json = boost::json;
using parse_error = base::error<announcement_error>;

net::http_response make_error(unsigned status, std::string_view code, std::string_view detail)
{
    net::http_response response;
    response.status = status;
    response.body = json::serialize(json::object{{"code", code}, {"detail", detail}});
    return response;
}

/// The string in a field; empty if the field is absent or not a string.
std::string read_string(json::object const& object, std::string_view field)
{
    auto const* const value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

parse_error make_parse_error(std::string_view field, std::string_view expected)
{
    return {announcement_error::bad_field,
            std::string(field) + ": must be " + std::string(expected)};
}

constexpr std::string_view expected_name = "1 to 64 characters of [A-Za-z0-9_.-]";

base::result<void, parse_error> read_labels(json::object const& object,
                                            wire::target_description& target)
{
    auto const* const labels = object.if_contains("labels");
    if (labels == nullptr)
    {
        return base::success();
    }
    if (!labels->is_array() || labels->as_array().size() > max_target_labels)
    {
        return make_parse_error("labels", "an array of at most 64 names");
    }
    for (auto const& label : labels->as_array())
    {
        if (!label.is_string() || !model::is_valid_name(std::string(label.as_string())))
        {
            return make_parse_error("labels", expected_name);
        }
        target.add_labels(std::string(label.as_string()));
    }
    return base::success();
}

base::result<void, parse_error> read_slots(json::object const& object,
                                           wire::target_description& target)
{
    auto const* const slots = object.if_contains("slots");
    boost::system::error_code code;
    auto const number = slots == nullptr ? 0 : slots->to_number<std::uint32_t>(code);
    if (code || number < 1 || number > max_target_slots)
    {
        return make_parse_error("slots", "a number from 1 to " + std::to_string(max_target_slots));
    }
    target.set_slots(number);
    return base::success();
}

net::http_response handle_announcement(net::http_request const& request,
                                       agent_http_callbacks const& callbacks)
{
    auto const target = parse_announcement(request.body);
    if (!target)
    {
        return make_error(400, "bad_announcement", target.error().detail);
    }
    if (!callbacks.announcement_received(target.value()))
    {
        return make_error(409, "other_target", "another target is already announced to this agent");
    }
    return {.status = 200, .body = "{}"};
}

} // namespace

base::result<wire::target_description, parse_error> parse_announcement(std::string_view body)
{
    boost::system::error_code code;
    auto const value = json::parse(json::string_view(body.data(), body.size()), code);
    if (code || !value.is_object())
    {
        return parse_error{announcement_error::syntax, "body: must be a JSON object"};
    }
    auto const& object = value.as_object();
    wire::target_description target;
    target.set_name(read_string(object, "name"));
    target.set_service(read_string(object, "service"));
    target.set_address(read_string(object, "address"));
    auto const* const leaving = object.if_contains("leaving");
    target.set_leaving(leaving != nullptr && leaving->is_bool() && leaving->as_bool());
    if (!model::is_valid_name(target.name()))
    {
        return make_parse_error("name", expected_name);
    }
    if (!model::is_valid_name(target.service()))
    {
        return make_parse_error("service", expected_name);
    }
    if (target.address().find(':') == std::string::npos)
    {
        return make_parse_error("address", "IP:PORT");
    }
    BOOST_OUTCOME_TRY(read_slots(object, target));
    BOOST_OUTCOME_TRY(read_labels(object, target));
    return target;
}

net::http_response handle_agent_request(net::http_request const& request,
                                        agent_http_callbacks const& callbacks)
{
    if (request.method == "POST" && request.path == "/v1/announce")
    {
        return handle_announcement(request, callbacks);
    }
    if (request.method == "POST" && request.path == "/v1/leaving")
    {
        callbacks.leaving_received();
        return {.status = 200,
                .body = json::serialize(json::object{{"running", callbacks.running_tasks()}})};
    }
    if (request.method == "GET" && request.path == "/metrics")
    {
        return {.status = 200,
                .content_type = "text/plain; version=0.0.4",
                .body = callbacks.metrics()};
    }
    return make_error(404, "unknown_path", request.method + " " + request.path);
}

} // namespace filbertroad::server

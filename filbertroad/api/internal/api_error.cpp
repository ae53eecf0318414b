#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/base/utf8.hpp"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace filbertroad::api::internal
{
namespace
{

/// HTTP status and field of an error code that owners and routers return.
struct code_mapping
{
    std::string_view code;
    unsigned status;
    std::string_view field;
};

constexpr std::array code_mappings{
    code_mapping{"bad_key", 400, "key"},
    code_mapping{"bad_request", 400, ""},
    code_mapping{"key_in_future", 400, "key"},
    code_mapping{"wrong_team", 403, "key"},
    code_mapping{"unknown_route", 404, "route"},
    code_mapping{"unknown_job", 404, "key"},
    code_mapping{"key_reused", 409, "key"},
    code_mapping{"job_not_ended", 409, "key"},
    code_mapping{"key_expired", 410, "key"},
    code_mapping{"acknowledged", 410, "key"},
    code_mapping{"team_over_quota", 429, "team"},
    code_mapping{"deadline_unreachable", 503, "deadline_ms"},
};

/// Status of transient errors, such as `overloaded`, `no_owner` or `not_confirmed`.
constexpr unsigned transient_status = 503;
constexpr std::uint32_t ms_per_second = 1000;

std::string_view to_string(tristate value)
{
    switch (value)
    {
    case tristate::yes:
        return "yes";
    case tristate::no:
        return "no";
    case tristate::unknown:
        break;
    }
    return "unknown";
}

} // namespace

api_error invalid(std::string_view field, std::string_view detail, std::string_view code)
{
    return {.status = 400,
            .code = std::string(code),
            .detail = std::string(detail),
            .field = std::string(field),
            .not_run = tristate::yes};
}

api_error from_request_error(wire::request_error const& error)
{
    auto const known =
        std::find_if(code_mappings.begin(), code_mappings.end(),
                     [&](code_mapping const& mapping) { return mapping.code == error.code(); });
    api_error out{.status = transient_status, .code = error.code(), .detail = error.detail()};
    if (known != code_mappings.end())
    {
        out.status = known->status;
        out.field = known->field;
    }
    out.not_run = error.not_run() == "yes"  ? tristate::yes
                  : error.not_run() == "no" ? tristate::no
                                            : tristate::unknown;
    out.retry_after_ms = error.retry_after_ms();
    return out;
}

api_error from_change_failure(change_failure const& failure)
{
    api_error out{.detail = failure.detail};
    switch (failure.code)
    {
    case change_error::conflict:
        out.status = 409;
        out.code = "conflict";
        out.field = "base";
        out.not_run = tristate::yes;
        out.current_version = failure.current_version;
        break;
    case change_error::invalid:
        out.status = 400;
        out.code = "invalid_change";
        out.not_run = tristate::yes;
        break;
    case change_error::unavailable:
        out.status = transient_status;
        out.code = "log_unavailable";
        out.not_run = tristate::yes;
        out.retry_after_ms = ms_per_second;
        break;
    case change_error::outcome_unknown:
        out.status = transient_status;
        out.code = "outcome_unknown";
        out.not_run = tristate::unknown;
        out.retry_after_ms = ms_per_second;
        break;
    }
    return out;
}

net::http_response to_response(api_error const& error)
{
    boost::json::object body;
    body["error"] = {{"code", error.code},
                     {"detail", base::to_utf8(error.detail)},
                     {"field", base::to_utf8(error.field)}};
    body["not_run"] = to_string(error.not_run);
    body["retry_after_ms"] = error.retry_after_ms;
    if (error.current_version)
    {
        body["current_version"] = *error.current_version;
    }
    net::http_response response;
    response.status = error.status;
    response.body = boost::json::serialize(body);
    if (error.retry_after_ms != 0)
    {
        auto const seconds = (error.retry_after_ms + ms_per_second - 1) / ms_per_second;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    if (!error.allow.empty())
    {
        response.headers.push_back({"Allow", error.allow});
    }
    return response;
}

} // namespace filbertroad::api::internal

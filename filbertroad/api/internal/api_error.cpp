#include "filbertroad/api/internal/api_error.hpp"

#include "filbertroad/api/internal/utf8.hpp"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace filbertroad::api::internal
{
namespace
{

/// HTTP status and field of the codes that owners and routers use.
struct code_meaning
{
    std::string_view code;
    unsigned status;
    std::string_view field;
};

constexpr std::array code_meanings{
    code_meaning{"bad_key", 400, "key"},
    code_meaning{"bad_request", 400, ""},
    code_meaning{"key_in_future", 400, "key"},
    code_meaning{"wrong_team", 403, "key"},
    code_meaning{"unknown_route", 404, "route"},
    code_meaning{"unknown_job", 404, "key"},
    code_meaning{"key_reused", 409, "key"},
    code_meaning{"job_not_ended", 409, "key"},
    code_meaning{"key_expired", 410, "key"},
    code_meaning{"acknowledged", 410, "key"},
    code_meaning{"team_over_quota", 429, "team"},
    code_meaning{"deadline_unreachable", 503, "deadline_ms"},
};

/// Reasons that pass with time, such as `overloaded`, `no_owner` or `not_confirmed`.
constexpr unsigned transient_status = 503;
constexpr std::uint32_t ms_per_second = 1000;

std::string_view to_string(not_run value)
{
    switch (value)
    {
    case not_run::yes:
        return "yes";
    case not_run::no:
        return "no";
    case not_run::unknown:
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
            .ran = not_run::yes};
}

api_error from_wire(wire::request_error const& error)
{
    auto const known =
        std::find_if(code_meanings.begin(), code_meanings.end(),
                     [&](code_meaning const& meaning) { return meaning.code == error.code(); });
    api_error out{.status = transient_status, .code = error.code(), .detail = error.detail()};
    if (known != code_meanings.end())
    {
        out.status = known->status;
        out.field = known->field;
    }
    out.ran = error.not_run() == "yes"  ? not_run::yes
              : error.not_run() == "no" ? not_run::no
                                        : not_run::unknown;
    out.retry_after_ms = error.retry_after_ms();
    return out;
}

api_error from_change(change_fault const& fault)
{
    api_error out{.detail = fault.detail};
    switch (fault.code)
    {
    case change_error::conflict:
        out.status = 409;
        out.code = "conflict";
        out.field = "base";
        out.ran = not_run::yes;
        out.current_version = fault.current_version;
        break;
    case change_error::invalid:
        out.status = 400;
        out.code = "invalid_change";
        out.ran = not_run::yes;
        break;
    case change_error::unavailable:
        out.status = transient_status;
        out.code = "log_unavailable";
        out.ran = not_run::yes;
        out.retry_after_ms = ms_per_second;
        break;
    case change_error::outcome_unknown:
        out.status = transient_status;
        out.code = "outcome_unknown";
        out.ran = not_run::unknown;
        out.retry_after_ms = ms_per_second;
        break;
    }
    return out;
}

net::http_response to_response(api_error const& error)
{
    boost::json::object body;
    body["error"] = {
        {"code", error.code}, {"detail", to_utf8(error.detail)}, {"field", to_utf8(error.field)}};
    body["not_run"] = to_string(error.ran);
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

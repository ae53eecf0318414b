#include "filbertroad/api/internal/parse_filter.hpp"

#include "filbertroad/model/job_key.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace filbertroad::api::internal
{
namespace
{

/// Maps a method and a path pattern, in which `*` matches one name, to an operation.
struct endpoint
{
    std::string_view method;
    std::string_view path;
    operation op;
    table_kind table = table_kind::routes;
};

constexpr std::array endpoints{
    endpoint{"PUT", "/v1/routes/*/jobs/*", operation::submit},
    endpoint{"GET", "/v1/routes/*/jobs/*", operation::query},
    endpoint{"DELETE", "/v1/routes/*/jobs/*", operation::acknowledge},
    endpoint{"POST", "/v1/routes/*/jobs/*/cancel", operation::cancel},
    endpoint{"GET", "/v1/routes/*/jobs/*/explain", operation::explain},
    endpoint{"GET", "/v1/tables/routes", operation::get_table, table_kind::routes},
    endpoint{"PUT", "/v1/tables/routes", operation::put_table, table_kind::routes},
    endpoint{"GET", "/v1/tables/pools", operation::get_table, table_kind::pools},
    endpoint{"PUT", "/v1/tables/pools", operation::put_table, table_kind::pools},
    endpoint{"GET", "/v1/tables/teams", operation::get_table, table_kind::teams},
    endpoint{"PUT", "/v1/tables/teams", operation::put_table, table_kind::teams},
    endpoint{"PUT", "/v1/zones/*", operation::set_zone},
    endpoint{"PUT", "/v1/targets/*", operation::set_target},
    endpoint{"GET", "/v1/status", operation::get_status},
    endpoint{"GET", "/metrics", operation::get_metrics},
    endpoint{"GET", "/status", operation::get_page},
};

/// Returns the part of `text` before the first `separator` and removes both from `text`.
std::string_view next_part(std::string_view& text, char separator)
{
    auto const end = std::min(text.find(separator), text.size());
    auto const part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

/// Returns the names that the `*` of `pattern` match, or nullopt if `path` does not match.
std::optional<std::vector<std::string_view>> match(std::string_view path, std::string_view pattern)
{
    if (std::count(path.begin(), path.end(), '/') !=
        std::count(pattern.begin(), pattern.end(), '/'))
    {
        return std::nullopt;
    }
    std::vector<std::string_view> names;
    while (!pattern.empty())
    {
        auto const expected = next_part(pattern, '/');
        auto const part = next_part(path, '/');
        if (expected == "*")
        {
            names.push_back(part);
        }
        else if (part != expected)
        {
            return std::nullopt;
        }
    }
    return path.empty() ? std::optional(std::move(names)) : std::nullopt;
}

std::optional<api_error> check_name(std::string_view field, std::string_view value)
{
    if (model::is_valid_name(value))
    {
        return std::nullopt;
    }
    return invalid(field, std::string(field) + " in the path must be 1 to 64 characters of "
                                               "[A-Za-z0-9_.-]");
}

std::optional<api_error> read_path_names(request_context& context,
                                         std::vector<std::string_view> const& names)
{
    if (is_for_callers(context.op))
    {
        context.route = names[0];
        context.key = names[1];
        if (auto error = check_name("route", context.route))
        {
            return error;
        }
        if (auto const key = model::parse_key(context.key); !key)
        {
            return invalid("key", key.error().detail);
        }
    }
    else if (!names.empty())
    {
        context.name = names[0];
        return check_name(context.op == operation::set_zone ? "zone" : "target", context.name);
    }
    return std::nullopt;
}

/// Stores a query parameter in `context`. Returns an error text if its value is malformed, else "".
std::string read_query_parameter(request_context& context, std::string_view name,
                                 std::string const& value)
{
    auto const parse = [&](auto& number)
    {
        auto const* const end = value.data() + value.size();
        auto const parsed = std::from_chars(value.data(), end, number);
        return parsed.ec == std::errc() && parsed.ptr == end;
    };
    if (name == "wait_ms")
    {
        bool const valid = parse(context.wait_ms) && context.wait_ms <= max_wait_ms;
        return valid ? "" : "must be an integer of 0 to " + std::to_string(max_wait_ms);
    }
    if (name == "base")
    {
        return parse(context.base.emplace()) ? ""
                                             : "must be the version of the table as an integer";
    }
    auto& target = name == "change_id" ? context.change_id : context.author;
    target = value;
    return model::is_valid_name(target) ? "" : "must be 1 to 64 characters of [A-Za-z0-9_.-]";
}

bool accepts_query_parameter(operation op, std::string_view name)
{
    switch (op)
    {
    case operation::submit:
    case operation::query:
    case operation::cancel:
        return name == "wait_ms";
    case operation::put_table:
        return name == "base" || name == "change_id" || name == "author";
    case operation::set_zone:
    case operation::set_target:
        return name == "change_id" || name == "author";
    default:
        return false;
    }
}

std::optional<api_error> parse_query(request_context& context)
{
    std::string_view rest = context.request.query;
    while (!rest.empty())
    {
        auto part = next_part(rest, '&');
        auto const name = next_part(part, '=');
        std::string reason = "is not a query parameter of this request";
        std::string_view code = "unknown_field";
        if (accepts_query_parameter(context.op, name))
        {
            code = "invalid_request";
            reason = read_query_parameter(context, name, context.request.query_value(name));
        }
        if (!reason.empty())
        {
            auto error = invalid(name, "query parameter " + std::string(name) + " " + reason, code);
            // The same job may have been accepted earlier with another query string.
            error.not_run = tristate::unknown;
            return error;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<api_error> parse_filter::check(request_context& context)
{
    std::string allowed;
    for (auto const& endpoint : endpoints)
    {
        auto const names = match(context.request.path, endpoint.path);
        if (!names)
        {
            continue;
        }
        if (endpoint.method != context.request.method)
        {
            allowed.append(allowed.empty() ? "" : ", ").append(endpoint.method);
            continue;
        }
        context.op = endpoint.op;
        context.table = endpoint.table;
        auto error = read_path_names(context, *names);
        return error ? error : parse_query(context);
    }
    if (!allowed.empty())
    {
        return api_error{.status = 405,
                         .code = "method_not_allowed",
                         .detail = "method not allowed; this path accepts " + allowed,
                         .not_run = tristate::unknown,
                         .allow = allowed};
    }
    return api_error{.status = 404, .code = "not_found", .detail = "no such path; see docs/api.md"};
}

std::string_view to_string(operation op)
{
    constexpr std::array<std::string_view, 12> names{
        "submit",    "query",    "acknowledge", "cancel",     "explain",     "get_table",
        "put_table", "set_zone", "set_target",  "get_status", "get_metrics", "get_page"};
    return names[static_cast<std::size_t>(op)];
}

} // namespace filbertroad::api::internal

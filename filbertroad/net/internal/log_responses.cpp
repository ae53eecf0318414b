#include "filbertroad/net/internal/log_responses.hpp"

#include "filbertroad/net/base64.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <optional>

namespace filbertroad::net::internal
{
namespace json = boost::json;

namespace
{

using log_client_error = base::error<log_error>;

log_client_error invalid_response(std::string detail)
{
    return {log_error::invalid_response,
            "invalid response of the log service: " + std::move(detail)};
}

std::optional<std::uint64_t> read_unsigned(json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    json::error_code code;
    auto const number = value->to_number<std::uint64_t>(code);
    return code ? std::nullopt : std::optional(number);
}

base::result<json::object, log_client_error> parse_object(http_result const& response)
{
    if (!response)
    {
        return log_client_error{log_error::unavailable, response.error().error.detail};
    }
    auto const status = response.value().status;
    if (status == 429)
    {
        return log_client_error{log_error::rate_limited,
                                "the log service rejected the request: rate limit exceeded"};
    }
    if (status != 200 && status != 201)
    {
        return log_client_error{log_error::unavailable,
                                "the log service returned status " + std::to_string(status)};
    }
    json::error_code code;
    auto value = json::parse(response.value().body, code);
    if (code || !value.is_object())
    {
        return invalid_response("expected a JSON object");
    }
    return std::move(value.get_object());
}

base::result<log_record, log_client_error> parse_record(json::value const& value)
{
    auto const* const object = value.if_object();
    auto const offset = object == nullptr ? std::nullopt : read_unsigned(*object, "offset");
    auto const* const data = object == nullptr ? nullptr : object->if_contains("data");
    if (!offset || data == nullptr || !data->is_string())
    {
        return invalid_response("records: expected objects with offset and data");
    }
    auto const& text = data->get_string();
    auto bytes = decode_base64({text.data(), text.size()});
    if (!bytes)
    {
        return invalid_response("data of record " + std::to_string(*offset) + ": not base64");
    }
    return log_record{.offset = *offset, .data = std::move(*bytes)};
}

} // namespace

append_result parse_append_response(http_result const& response)
{
    BOOST_OUTCOME_TRY(auto const object, parse_object(response));
    auto const offset = read_unsigned(object, "offset");
    if (!offset || *offset == 0)
    {
        return invalid_response("offset: expected a number of at least 1");
    }
    return *offset;
}

read_result parse_read_response(http_result const& response, std::uint64_t from)
{
    BOOST_OUTCOME_TRY(auto const object, parse_object(response));
    auto const first = read_unsigned(object, "first");
    auto const next = read_unsigned(object, "next");
    auto const* const records = object.if_contains("records");
    if (!first || !next || *first > *next || records == nullptr || !records->is_array())
    {
        return invalid_response("expected first, next and records, with first at most next");
    }
    log_page page{.first = *first, .next = *next, .records = {}};
    auto min_offset = std::max(from, *first);
    for (auto const& value : records->get_array())
    {
        BOOST_OUTCOME_TRY(auto record, parse_record(value));
        if (record.offset < min_offset || record.offset >= *next)
        {
            return invalid_response("record " + std::to_string(record.offset) + " is out of order");
        }
        min_offset = record.offset + 1;
        page.records.push_back(std::move(record));
    }
    return page;
}

} // namespace filbertroad::net::internal

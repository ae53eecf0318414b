#include "filbertroad/api/internal/submit_body.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/model/job_key.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/value.hpp>
#include <limits>

namespace filbertroad::api::internal
{
namespace
{

namespace json = boost::json;

using optional_error = std::optional<api_error>;

std::string text_of(json::string_view text)
{
    return {text.data(), text.size()};
}

api_error unknown_field(std::string const& path)
{
    return invalid(path, "field " + path + " is unknown", "unknown_field");
}

api_error wrong_value(std::string const& path, std::string const& expected)
{
    return invalid(path, "field " + path + " must be " + expected);
}

/// Parses a JSON object into `out`, which allocates from `storage`.
optional_error parse_object(std::string_view body, json::storage_ptr storage, json::value& out)
{
    json::parser parser(std::move(storage));
    json::error_code code;
    auto const read = parser.write_some(body.data(), body.size(), code);
    if (!code && read < body.size())
    {
        code = json::error::extra_data;
    }
    if (code)
    {
        return invalid(
            "body", "the body is not JSON: " + code.message() + " at byte " + std::to_string(read),
            "invalid_json");
    }
    out = parser.release();
    if (!out.is_object())
    {
        return wrong_value("body", "a JSON object");
    }
    return std::nullopt;
}

optional_error read_payload(json::value const& value, std::string const& path,
                            wire::task_spec& task)
{
    auto const* const text = value.if_string();
    if (text == nullptr)
    {
        return wrong_value(path, "a text");
    }
    if (text->size() > max_payload_bytes)
    {
        return wrong_value(path, "a text of at most " + std::to_string(max_payload_bytes) +
                                     " bytes; it has " + std::to_string(text->size()));
    }
    task.set_payload(text->data(), text->size());
    return std::nullopt;
}

optional_error read_task(json::value const& value, std::string const& path, wire::task_spec& task)
{
    auto const* const object = value.if_object();
    if (object == nullptr)
    {
        return wrong_value(path, "an object with the field payload");
    }
    bool has_payload = false;
    for (auto const& field : *object)
    {
        auto const field_path = path + "." + text_of(field.key());
        if (field.key() != "payload")
        {
            return unknown_field(field_path);
        }
        has_payload = true;
        if (auto error = read_payload(field.value(), field_path, task))
        {
            return error;
        }
    }
    return has_payload ? std::nullopt : optional_error(wrong_value(path + ".payload", "present"));
}

optional_error read_tasks(json::value const& value, wire::job_request& job)
{
    auto const* const tasks = value.if_array();
    if (tasks == nullptr || tasks->empty() || tasks->size() > model::max_tasks)
    {
        auto const found = tasks == nullptr ? "" : "; it has " + std::to_string(tasks->size());
        return wrong_value("tasks", "an array of 1 to " + std::to_string(model::max_tasks) +
                                        " tasks" + found);
    }
    job.mutable_tasks()->Reserve(static_cast<int>(tasks->size()));
    for (std::size_t i = 0; i < tasks->size(); ++i)
    {
        if (auto error =
                read_task((*tasks)[i], "tasks[" + std::to_string(i) + "]", *job.add_tasks()))
        {
            return error;
        }
    }
    return std::nullopt;
}

optional_error read_needs(json::value const& value, wire::job_request& job)
{
    auto const* const needs = value.if_array();
    if (needs == nullptr || needs->size() > max_needs)
    {
        return wrong_value("needs", "an array of at most " + std::to_string(max_needs) + " labels");
    }
    for (std::size_t i = 0; i < needs->size(); ++i)
    {
        auto const* const label = (*needs)[i].if_string();
        if (label == nullptr || !model::is_valid_name({label->data(), label->size()}))
        {
            return wrong_value("needs[" + std::to_string(i) + "]",
                               "a label of 1 to 64 characters of [A-Za-z0-9_.-]");
        }
        job.add_needs(label->data(), label->size());
    }
    return std::nullopt;
}

optional_error read_field(json::key_value_pair const& field, wire::job_request& job)
{
    auto const& value = field.value();
    if (field.key() == "tasks")
    {
        return read_tasks(value, job);
    }
    if (field.key() == "needs")
    {
        return read_needs(value, job);
    }
    if (field.key() == "deadline_ms")
    {
        auto const* const number = value.if_int64();
        if (number == nullptr || *number < 1 || *number > max_deadline_ms)
        {
            return wrong_value("deadline_ms",
                               "an integer of 1 to " + std::to_string(max_deadline_ms));
        }
        job.set_deadline_ms(static_cast<std::uint32_t>(*number));
        return std::nullopt;
    }
    if (field.key() == "repeatable")
    {
        auto const* const flag = value.if_bool();
        if (flag == nullptr)
        {
            return wrong_value("repeatable", "true or false");
        }
        job.set_repeatable(*flag);
        return std::nullopt;
    }
    return unknown_field(text_of(field.key()));
}

} // namespace

std::optional<api_error> read_submit_body(std::string_view body, wire::job_request& job)
{
    json::monotonic_resource memory;
    json::value document(&memory);
    if (auto error = parse_object(body, &memory, document))
    {
        return error;
    }
    for (auto const& field : document.get_object())
    {
        if (auto error = read_field(field, job))
        {
            return error;
        }
    }
    if (job.tasks().empty())
    {
        return wrong_value("tasks", "present");
    }
    job.set_digest(base::sha256(body));
    return std::nullopt;
}

std::optional<api_error> read_service_body(std::string_view body, service_state_request& change)
{
    json::value document;
    if (auto error = parse_object(body, {}, document))
    {
        return error;
    }
    bool has_state = false;
    for (auto const& field : document.get_object())
    {
        if (field.key() == "in_service" && field.value().is_bool())
        {
            change.in_service = field.value().get_bool();
            has_state = true;
        }
        else if (field.key() == "base" && field.value().is_int64() &&
                 field.value().get_int64() >= 0)
        {
            change.base = static_cast<std::uint64_t>(field.value().get_int64());
        }
        else if (field.key() == "in_service")
        {
            return wrong_value("in_service", "true or false");
        }
        else if (field.key() == "base")
        {
            return wrong_value("base", "a version as an integer of at least 0");
        }
        else
        {
            return unknown_field(text_of(field.key()));
        }
    }
    return has_state ? std::nullopt : optional_error(wrong_value("in_service", "present"));
}

} // namespace filbertroad::api::internal

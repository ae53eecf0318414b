#include "filbertroad/standin/job_response.hpp"

#include "filbertroad/net/base64.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace filbertroad::standin
{
namespace json = boost::json;

namespace
{

std::string_view member_text(json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

/// Whether each task is present exactly once, succeeded, and has its own result.
bool has_all_results(json::object const& response, std::string_view key, std::uint32_t tasks)
{
    auto const* const list = response.if_contains("results");
    if (list == nullptr || !list->is_array() || list->get_array().size() != tasks)
    {
        return false;
    }
    std::vector<bool> seen(tasks, false);
    for (auto const& value : list->get_array())
    {
        auto const* const task = value.if_object();
        auto const* const index = task == nullptr ? nullptr : task->if_contains("index");
        json::error_code code;
        auto const number = index == nullptr ? tasks : index->to_number<std::uint32_t>(code);
        if (code || number >= tasks || seen[number] || member_text(*task, "outcome") != "succeeded")
        {
            return false;
        }
        seen[number] = true;
        auto const expected = "done " + std::string(key) + " " + std::to_string(number);
        auto const body = member_text(*task, "body");
        if (body != expected && net::decode_base64(body) != expected)
        {
            return false;
        }
    }
    return true;
}

/// Classifies an error response by `not_run`, which may be a string or a boolean, inside `error` or
/// at the top level.
submission_outcome classify_error(json::object const& response, unsigned status)
{
    auto const* const inner = response.if_contains("error");
    for (auto const* const object : {inner == nullptr ? nullptr : inner->if_object(), &response})
    {
        auto const* const value = object == nullptr ? nullptr : object->if_contains("not_run");
        if (value == nullptr)
        {
            continue;
        }
        if (value->is_bool())
        {
            return value->get_bool() ? submission_outcome::refused : submission_outcome::retry;
        }
        auto const text = member_text(*object, "not_run");
        return text == "yes"  ? submission_outcome::refused
               : text == "no" ? submission_outcome::failed
                              : submission_outcome::retry;
    }
    return status >= 500 ? submission_outcome::retry : submission_outcome::refused;
}

} // namespace

submission_outcome classify_response(net::http_result const& result, std::string_view key,
                                     std::uint32_t tasks)
{
    if (!result)
    {
        return submission_outcome::retry;
    }
    json::error_code code;
    auto const parsed = json::parse(result.value().body, code);
    auto const* const response = code ? nullptr : parsed.if_object();
    if (response == nullptr)
    {
        return result.value().status >= 500 ? submission_outcome::retry : submission_outcome::wrong;
    }
    if (response->contains("error"))
    {
        return classify_error(*response, result.value().status);
    }
    auto const state = member_text(*response, "state");
    if (state == "complete")
    {
        return has_all_results(*response, key, tasks) ? submission_outcome::complete
                                                      : submission_outcome::wrong;
    }
    return state == "failed" ? submission_outcome::failed : submission_outcome::retry;
}

} // namespace filbertroad::standin

#include "filbertroad/standin/job_answer.hpp"

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

std::string_view text_of(json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

/// Whether each task is present once, succeeded, and carries its own result.
bool is_whole(json::object const& answer, std::string_view key, std::uint32_t tasks)
{
    auto const* const list = answer.if_contains("results");
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
        if (code || number >= tasks || seen[number] || text_of(*task, "outcome") != "succeeded")
        {
            return false;
        }
        seen[number] = true;
        auto const expected = "done " + std::string(key) + " " + std::to_string(number);
        auto const body = text_of(*task, "body");
        if (body != expected && net::decode_base64(body) != expected)
        {
            return false;
        }
    }
    return true;
}

/// Reads `not_run` as text or as a truth value, at the top or inside `error`.
answer_verdict judge_error(json::object const& answer, unsigned status)
{
    auto const* const inner = answer.if_contains("error");
    for (auto const* const object : {inner == nullptr ? nullptr : inner->if_object(), &answer})
    {
        auto const* const value = object == nullptr ? nullptr : object->if_contains("not_run");
        if (value == nullptr)
        {
            continue;
        }
        if (value->is_bool())
        {
            return value->get_bool() ? answer_verdict::refused : answer_verdict::ask_again;
        }
        auto const text = text_of(*object, "not_run");
        return text == "yes"  ? answer_verdict::refused
               : text == "no" ? answer_verdict::failed
                              : answer_verdict::ask_again;
    }
    return status >= 500 ? answer_verdict::ask_again : answer_verdict::refused;
}

} // namespace

answer_verdict judge_answer(net::http_result const& result, std::string_view key,
                            std::uint32_t tasks)
{
    if (!result)
    {
        return answer_verdict::ask_again;
    }
    json::error_code code;
    auto const parsed = json::parse(result.value().body, code);
    auto const* const answer = code ? nullptr : parsed.if_object();
    if (answer == nullptr)
    {
        return result.value().status >= 500 ? answer_verdict::ask_again : answer_verdict::wrong;
    }
    if (answer->contains("error"))
    {
        return judge_error(*answer, result.value().status);
    }
    auto const state = text_of(*answer, "state");
    if (state == "complete")
    {
        return is_whole(*answer, key, tasks) ? answer_verdict::complete : answer_verdict::wrong;
    }
    return state == "failed" ? answer_verdict::failed : answer_verdict::ask_again;
}

} // namespace filbertroad::standin

#include "filbertroad/server/agent_door.hpp"
#include "filbertroad/server/agent_target.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

namespace filbertroad::server
{
namespace
{

using execution::target_answer;

wire::task_ref const& make_task()
{
    static auto const task = wire::make_task_ref({"stock", "1800000000000-a"}, 3);
    return task;
}

net::http_response make_response(unsigned status, std::string const& index,
                                 std::vector<net::http_header> more = {})
{
    net::http_response response{.status = status, .headers = std::move(more), .body = "body"};
    if (!index.empty())
    {
        response.headers.push_back({"x-route", "stock"});
        response.headers.push_back({"x-key", "1800000000000-a"});
        response.headers.push_back({"x-index", index});
    }
    return response;
}

target_answer interpret(net::http_response response)
{
    return interpret_reply(make_task(), std::move(response)).answer;
}

// Guards against the answer of another request that is taken for the own one.
TEST(interpret_reply, an_answer_that_does_not_name_the_task_is_unknown)
{
    EXPECT_EQ(interpret(make_response(200, "3")), target_answer::succeeded);
    EXPECT_EQ(interpret(make_response(200, "4")), target_answer::unknown);
    EXPECT_EQ(interpret(make_response(200, "")), target_answer::unknown);
    EXPECT_EQ(interpret(make_response(422, "4")), target_answer::unknown);
    EXPECT_EQ(interpret(make_response(503, "4", {{"x-not-started", "true"}})),
              target_answer::unknown);
}

// Guards against a task that is started again although the target may have run it.
TEST(interpret_reply, only_an_explicit_refusal_means_not_started)
{
    EXPECT_EQ(interpret(make_response(422, "3")), target_answer::failed);
    EXPECT_EQ(interpret(make_response(503, "3", {{"x-not-started", "true"}})),
              target_answer::refused_no_slot);
    EXPECT_EQ(interpret(make_response(503, "", {{"x-not-started", "true"}, {"x-reason", "late"}})),
              target_answer::refused_late);
    EXPECT_EQ(interpret(make_response(503, "3")), target_answer::unknown);
    EXPECT_EQ(interpret(make_response(500, "3")), target_answer::unknown);
}

// Guards against a failed connection that counts as a start that never arrived.
TEST(interpret_reply, a_failure_is_not_sent_only_if_no_byte_arrived)
{
    auto const answer = [](net::net_error code, bool may_have_arrived)
    {
        return interpret_reply(make_task(), net::http_failure{{code, "failure"}, may_have_arrived})
            .answer;
    };
    EXPECT_EQ(answer(net::net_error::cannot_connect, false), target_answer::not_sent);
    EXPECT_EQ(answer(net::net_error::timeout, false), target_answer::not_sent);
    EXPECT_EQ(answer(net::net_error::timeout, true), target_answer::timed_out);
    EXPECT_EQ(answer(net::net_error::closed, true), target_answer::unknown);
}

// Guards against a target with fields that the tables cannot name.
TEST(parse_announcement, faults_name_the_field)
{
    auto const detail = [](std::string_view body)
    {
        auto const target = parse_announcement(body);
        return target ? std::string() : target.error().detail;
    };
    EXPECT_EQ(detail(R"({"name":"t1","service":"pricing","address":"127.0.0.1:9","slots":8})"), "");
    EXPECT_EQ(detail("[]"), "body: must be a JSON object");
    EXPECT_EQ(detail(R"({"name":"t 1"})"), "name: must be 1 to 64 characters of [A-Za-z0-9_.-]");
    EXPECT_EQ(detail(R"({"name":"t1","service":"s","address":"x"})"), "address: must be IP:PORT");
    EXPECT_EQ(detail(R"({"name":"t1","service":"s","address":"127.0.0.1:9","slots":0})"),
              "slots: must be a number from 1 to 4096");
    EXPECT_EQ(
        detail(R"({"name":"t1","service":"s","address":"127.0.0.1:9","slots":1,"labels":[1]})"),
        "labels: must be 1 to 64 characters of [A-Za-z0-9_.-]");
}

} // namespace
} // namespace filbertroad::server

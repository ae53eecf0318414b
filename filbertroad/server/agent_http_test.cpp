#include "filbertroad/server/agent_http_api.hpp"
#include "filbertroad/server/agent_target.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

namespace filbertroad::server
{
namespace
{

using execution::execution_outcome;

wire::task_ref const& make_task()
{
    static auto const task = wire::make_task_ref({"stock", "1800000000000-a"}, 3);
    return task;
}

net::http_response make_response(unsigned status, std::string const& index,
                                 std::vector<net::http_header> extra_headers = {})
{
    net::http_response response{
        .status = status, .headers = std::move(extra_headers), .body = "body"};
    if (!index.empty())
    {
        response.headers.push_back({"x-route", "stock"});
        response.headers.push_back({"x-key", "1800000000000-a"});
        response.headers.push_back({"x-index", index});
    }
    return response;
}

execution_outcome interpret(net::http_response response)
{
    return interpret_reply(make_task(), std::move(response)).outcome;
}

// Guards against accepting the response to another request as the result of this task.
TEST(interpret_reply, response_for_another_task_is_not_accepted)
{
    EXPECT_EQ(interpret(make_response(200, "3")), execution_outcome::succeeded);
    EXPECT_EQ(interpret(make_response(200, "4")), execution_outcome::unknown);
    EXPECT_EQ(interpret(make_response(200, "")), execution_outcome::unknown);
    EXPECT_EQ(interpret(make_response(422, "4")), execution_outcome::unknown);
    EXPECT_EQ(interpret(make_response(503, "4", {{"x-not-started", "true"}})),
              execution_outcome::unknown);
}

// Guards against starting a task again although the target may have run it.
TEST(interpret_reply, task_that_may_have_run_is_not_reported_as_not_started)
{
    EXPECT_EQ(interpret(make_response(422, "3")), execution_outcome::failed);
    EXPECT_EQ(interpret(make_response(503, "3", {{"x-not-started", "true"}})),
              execution_outcome::refused_no_slot);
    EXPECT_EQ(interpret(make_response(503, "", {{"x-not-started", "true"}, {"x-reason", "late"}})),
              execution_outcome::refused_late);
    EXPECT_EQ(interpret(make_response(503, "3")), execution_outcome::unknown);
    EXPECT_EQ(interpret(make_response(500, "3")), execution_outcome::unknown);
}

// Guards against treating every connection error as a start that never reached the target.
TEST(interpret_reply, request_that_may_have_arrived_is_not_reported_as_not_sent)
{
    auto const outcome = [](net::net_error code, bool may_have_arrived)
    {
        return interpret_reply(make_task(), net::http_failure{{code, "failure"}, may_have_arrived})
            .outcome;
    };
    EXPECT_EQ(outcome(net::net_error::cannot_connect, false), execution_outcome::not_sent);
    EXPECT_EQ(outcome(net::net_error::timeout, false), execution_outcome::not_sent);
    EXPECT_EQ(outcome(net::net_error::timeout, true), execution_outcome::timed_out);
    EXPECT_EQ(outcome(net::net_error::closed, true), execution_outcome::unknown);
}

// Guards against accepting a target whose fields the operators' tables cannot refer to.
TEST(parse_announcement, invalid_field_is_rejected_and_named)
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

#include "filbertroad/api/internal/http_api_fixture.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <gtest/gtest.h>

namespace filbertroad::api
{
namespace
{

using internal::job_path;
using internal::operator_token;
using internal::test_request;
using request_validation = internal::http_api_test;

struct invalid_request_case
{
    test_request request;
    /// Expected status, code, field ("-" for none) and not_run.
    std::string expected_error;
    /// Expected substring of the detail.
    std::string detail;
};

std::string text(boost::json::value const& value)
{
    return boost::json::value_to<std::string>(value);
}

std::string body_with_tasks(int count)
{
    std::string out = R"({"tasks":[)";
    for (int i = 0; i < count; ++i)
    {
        out += i == 0 ? R"({"payload":""})" : R"(,{"payload":""})";
    }
    return out + "]}";
}

std::vector<invalid_request_case> invalid_job_requests()
{
    std::string const path(job_path);
    std::string const good = R"({"tasks":[{"payload":"x"}]})";
    auto const put = [&](std::string body) { return test_request{"PUT", path, std::move(body)}; };
    return {
        {{"PUT", path, good, "", ""}, "401 unauthorized Authorization unknown", "token"},
        {{"PUT", path, good, "", "wrong-token"}, "401 unauthorized Authorization unknown", ""},
        {{"GET", path, "", "", std::string(operator_token)},
         "403 forbidden Authorization unknown",
         "team"},
        {{"GET", "/v1/status"}, "403 forbidden Authorization unknown", "operators"},
        {{"GET", "/v2/status"}, "404 not_found - unknown", "docs/api.md"},
        {{"GET", path + "/"}, "404 not_found - unknown", ""},
        {{"PATCH", path}, "405 method_not_allowed - unknown", "PUT, GET, DELETE"},
        {{"GET", "/v1/status", "", std::string(1025, 'q')}, "414 too_large path unknown", "1024"},
        {put(std::string(100'001, ' ')), "413 too_large body yes", "100001"},
        {{"PUT", "/v1/routes/a%20b/jobs/1790000000000-a", good},
         "400 invalid_request route yes",
         "[A-Za-z0-9_.-]"},
        {{"PUT", "/v1/routes/stock/jobs/1790-a", good}, "400 invalid_request key yes", "13 digits"},
        {{"PUT", path, good, "wait_ms=60001"}, "400 invalid_request wait_ms unknown", "60000"},
        {{"PUT", path, good, "wait_ms=x"}, "400 invalid_request wait_ms unknown", "integer"},
        {{"PUT", path, good, "wait=5"}, "400 unknown_field wait unknown", "wait"},
        {put(R"({"tasks":[)"), "400 invalid_json body yes", "byte 10"},
        {put(good + "x"), "400 invalid_json body yes", "not JSON"},
        {put("[1]"), "400 invalid_request body yes", "object"},
        {put("{}"), "400 invalid_request tasks yes", "present"},
        {put(R"({"tasks":[]})"), "400 invalid_request tasks yes", "it has 0"},
        {put(body_with_tasks(271)), "400 invalid_request tasks yes", "it has 271"},
        {put(R"({"tasks":[{"payload":"x"},{}]})"), "400 invalid_request tasks[1].payload yes",
         "present"},
        {put(R"({"tasks":[{"payload":5}]})"), "400 invalid_request tasks[0].payload yes", "a text"},
        {put(R"({"tasks":[{"payload":")" + std::string(65'537, 'x') + R"("}]})"),
         "400 invalid_request tasks[0].payload yes", "65537"},
        {put(R"({"tasks":[7]})"), "400 invalid_request tasks[0] yes", "object"},
        {put(R"({"tasks":[{"payload":"x","size":1}]})"), "400 unknown_field tasks[0].size yes",
         "tasks[0].size"},
        {put(R"({"tasks":[{"payload":"x"}],"colour":1})"), "400 unknown_field colour yes",
         "colour"},
        {put(R"({"tasks":[{"payload":"x"}],"needs":["a b"]})"), "400 invalid_request needs[0] yes",
         "label"},
        {put(R"({"tasks":[{"payload":"x"}],"needs":"gpu"})"), "400 invalid_request needs yes",
         "array"},
        {put(R"({"tasks":[{"payload":"x"}],"deadline_ms":0})"),
         "400 invalid_request deadline_ms yes", "900000"},
        {put(R"({"tasks":[{"payload":"x"}],"deadline_ms":1.5})"),
         "400 invalid_request deadline_ms yes", "integer"},
        {put(R"({"tasks":[{"payload":"x"}],"repeatable":1})"), "400 invalid_request repeatable yes",
         "true"},
    };
}

std::vector<invalid_request_case> invalid_operator_requests()
{
    std::string const token(operator_token);
    auto const table = [&](std::string const& name, std::string body) {
        return test_request{"PUT", "/v1/tables/" + name, std::move(body), "base=0", token};
    };
    auto const zone = [&](std::string body) {
        return test_request{"PUT", "/v1/zones/lhr-a", std::move(body), "", token};
    };
    std::string const route = R"({"name":"a","pool":"p","task_timeout_ms":9})";
    std::string const team = R"("token":"12345678","weight":1,"max_running":1,"max_queued":1})";
    return {
        {{"PUT", "/v1/tables/routes", "{}", "", token}, "400 invalid_request base yes", "version"},
        {{"PUT", "/v1/tables/routes", "{}", "base=x", token},
         "400 invalid_request base unknown",
         ""},
        {table("routes", "{"), "400 invalid_json body yes", "JSON"},
        {table("routes", R"({"pools":[]})"), "400 unknown_field pools yes", "pools"},
        {table("routes", R"({"routes":[{"colour":1}]})"), "400 unknown_field routes[0].colour yes",
         ""},
        {table("routes", R"({"routes":[{"name":"a b"}]})"),
         "400 invalid_request routes[0].name yes", ""},
        {table("routes", R"({"routes":[{"name":"a","pool":"p"}]})"),
         "400 invalid_request routes[0].task_timeout_ms yes", "600000"},
        {table("routes", R"({"routes":[{"task_timeout_ms":"x"}]})"),
         "400 invalid_request routes[0].task_timeout_ms yes", ""},
        {table("routes", R"({"routes":[)" + route + "," + route + "]}"),
         "400 invalid_request routes[1].name yes", "unique"},
        {table(
             "pools",
             R"({"pools":[{"name":"p","service":"s","shards":1},{"name":"q","service":"s","shards":2}]})"),
         "400 invalid_request pools[1].shards yes", "service s"},
        {table("pools", R"({"pools":[{"name":"p","service":"s","zones":["a",""],"shards":1}]})"),
         "400 invalid_request pools[0].zones[1] yes", ""},
        {table("teams", R"({"teams":[{"name":"a","token":"short"}]})"),
         "400 invalid_request teams[0].token yes", "8 to 256"},
        {table("teams", R"({"teams":[{"name":"a",)" + team + R"(,{"name":"b",)" + team + "]}"),
         "400 invalid_request teams[1].token yes", "unique"},
        {zone("{}"), "400 invalid_request in_service yes", "present"},
        {zone(R"({"in_service":1})"), "400 invalid_request in_service yes", "true"},
        {zone(R"({"in_service":true,"base":-1})"), "400 invalid_request base yes", "version"},
        {zone(R"({"in_service":true,"why":"x"})"), "400 unknown_field why yes", "why"},
        {{"PUT", "/v1/targets/a%2F", "{}", "", token}, "400 invalid_request target yes", ""},
    };
}

// Guards against invalid input that reaches the owner or the log, and against errors that do not
// name the invalid field.
TEST_F(request_validation, invalid_input_is_rejected_with_code_field_and_not_run)
{
    auto cases = invalid_job_requests();
    auto const more = invalid_operator_requests();
    cases.insert(cases.end(), more.begin(), more.end());
    for (auto const& expected_error : cases)
    {
        auto const response = this->send(expected_error.request);
        SCOPED_TRACE(expected_error.request.method + " " + expected_error.request.path + " " +
                     expected_error.request.body.substr(0, 80) + " -> " + response.body);
        auto const body = boost::json::parse(response.body);
        auto const& error = body.at("error");
        auto const field = text(error.at("field"));
        EXPECT_EQ(std::to_string(response.status) + " " + text(error.at("code")) + " " +
                      (field.empty() ? "-" : field) + " " + text(body.at("not_run")),
                  expected_error.expected_error);
        auto const detail = text(error.at("detail"));
        EXPECT_NE(detail.find(expected_error.detail), std::string::npos) << detail;
    }
    EXPECT_FALSE(this->service.last_submit.has_job());
    EXPECT_EQ(this->service.last_publish.change_id, "");
    EXPECT_EQ(this->service.last_service_change.change_id, "");
}

} // namespace
} // namespace filbertroad::api

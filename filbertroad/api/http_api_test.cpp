#include "filbertroad/api/internal/http_api_fixture.hpp"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

namespace filbertroad::api
{
namespace
{

using internal::http_api_test;
using internal::job_path;
using internal::operator_token;
using internal::test_request;

TEST_F(http_api_test, submission_passes_all_fields_to_the_service)
{
    this->service.job_response.mutable_job()->set_state(wire::job_state_queued);
    std::string const body = R"({"tasks":[{"payload":"é"},{"payload":""}],"needs":["gpu"],)"
                             R"("deadline_ms":1500,"repeatable":true})";
    EXPECT_EQ(this->send({"PUT", std::string(job_path), body + "\n", "wait_ms=250"}).status, 202U);
    auto const& job = this->service.last_submit.job();
    EXPECT_EQ(this->service.last_submit.wait_ms(), 250U);
    EXPECT_EQ(job.route() + " " + job.key() + " " + job.team(), "stock 1790000000000-a demo");
    ASSERT_EQ(job.tasks_size(), 2);
    EXPECT_EQ(job.tasks(0).payload(), "é");
    EXPECT_EQ(job.needs(0), "gpu");
    EXPECT_EQ(job.deadline_ms(), 1500U);
    EXPECT_TRUE(job.repeatable());
    EXPECT_EQ(job.traceparent(), this->traceparent);
    auto const digest = job.digest();
    this->send({"PUT", std::string(job_path), body + "\n"});
    EXPECT_EQ(this->service.last_submit.job().digest(), digest);
    this->send({"PUT", std::string(job_path), body});
    EXPECT_NE(this->service.last_submit.job().digest(), digest);
}

// Guards against reporting a task as not run although its outcome is unknown.
TEST_F(http_api_test, results_keep_index_outcome_and_body)
{
    auto& job = *this->service.job_response.mutable_job();
    job.set_state(wire::job_state_failed);
    auto& binary = *job.add_results();
    binary.mutable_task()->set_index(4);
    binary.set_outcome(wire::outcome_may_have_run);
    binary.set_body("\xff\xfe");
    job.add_results()->set_body("é");
    job.add_history()->set_event("queued");
    job.add_history()->set_index(0xffffffffU);
    auto const response = this->send({"GET", std::string(job_path) + "/explain"});
    EXPECT_EQ(response.status, 200U);
    EXPECT_TRUE(this->service.last_query.with_history());
    auto const body = boost::json::parse(response.body);
    EXPECT_EQ(body.at("state").as_string(), "failed");
    auto const& results = body.at("results").as_array();
    EXPECT_EQ(results[0].at("index").as_int64(), 4);
    EXPECT_EQ(results[0].at("outcome").as_string(), "may_have_run");
    EXPECT_EQ(results[0].at("body_base64").as_string(), "//4=");
    EXPECT_EQ(results[1].at("body").as_string(), "é");
    auto const& history = body.at("history").as_array();
    EXPECT_EQ(history[0].at("event").as_string(), "queued");
    EXPECT_EQ(history[0].at("index").as_int64(), 0);
    EXPECT_TRUE(history[1].at("index").is_null());
}

// Guards against turning an owner error with unknown effect into one that claims not_run.
TEST_F(http_api_test, owner_errors_keep_not_run)
{
    auto& error = *this->service.job_response.mutable_error();
    error.set_code("overloaded");
    error.set_retry_after_ms(1200);
    for (std::string const certainty : {"yes", "no", "unknown"})
    {
        error.set_not_run(certainty);
        auto const response =
            this->send({"PUT", std::string(job_path), R"({"tasks":[{"payload":"x"}]})"});
        EXPECT_EQ(response.status, 503U);
        EXPECT_EQ(response.header("retry-after"), "2");
        auto const body = boost::json::parse(response.body);
        EXPECT_EQ(body.at("not_run").as_string(), certainty);
        EXPECT_EQ(body.at("retry_after_ms").as_int64(), 1200);
    }
    error.set_code("key_reused");
    EXPECT_EQ(this->send({"GET", std::string(job_path)}).status, 409U);
}

TEST_F(http_api_test, operators_publish_and_read_tables)
{
    std::string const token(operator_token);
    auto const read = this->send({"GET", "/v1/tables/pools", "", "", token});
    auto const table = boost::json::parse(read.body);
    EXPECT_EQ(table.at("version").as_int64(), 7);
    EXPECT_EQ(table.at("table").at("pools").as_array()[0].at("name").as_string(), "all");

    std::string const routes = R"({"routes":[{"name":"a","pool":"p","task_timeout_ms":9}]})";
    test_request const put{"PUT", "/v1/tables/routes", routes, "base=7&change_id=c1", token};
    EXPECT_EQ(this->send(put).body, R"({"version":9})");
    EXPECT_EQ(this->service.last_publish.base, 7U);
    EXPECT_EQ(this->service.last_publish.change_id, "c1");

    this->service.change_result = change_failure{change_error::conflict, "came first", 11};
    auto const conflict = this->send(put);
    EXPECT_EQ(conflict.status, 409U);
    EXPECT_EQ(boost::json::parse(conflict.body).at("current_version").as_int64(), 11);
    this->service.change_result = change_failure{change_error::outcome_unknown, "no answer", 0};
    EXPECT_EQ(boost::json::parse(this->send(put).body).at("not_run").as_string(), "unknown");
}

// Guards against treating two changes as one because they share a change id.
TEST_F(http_api_test, zone_changes_without_change_id_get_distinct_ids)
{
    test_request const out{"PUT", "/v1/zones/lhr-a", R"({"in_service":false})", "",
                           std::string(operator_token)};
    EXPECT_EQ(this->send(out).status, 200U);
    auto const first = this->service.last_service_change;
    EXPECT_EQ(first.name, "lhr-a");
    EXPECT_FALSE(first.in_service);
    EXPECT_FALSE(first.base.has_value());
    this->send(out);
    EXPECT_NE(this->service.last_service_change.change_id, first.change_id);
}

// Guards against one team using all request capacity of an entry.
TEST_F(http_api_test, exhausted_team_rate_limit_spares_operators_and_refills)
{
    test_request const query{"GET", std::string(job_path)};
    this->service.job_response.mutable_job();
    for (int i = 0; i < 1'000; ++i)
    {
        ASSERT_EQ(this->send(query).status, 200U);
    }
    auto const rejected = this->send(query);
    EXPECT_EQ(rejected.status, 429U);
    EXPECT_EQ(boost::json::parse(rejected.body).at("retry_after_ms").as_int64(), 1);
    EXPECT_EQ(this->send({"GET", "/v1/status", "", "", std::string(operator_token)}).status, 200U);
    this->clock.advance(std::chrono::milliseconds(1));
    EXPECT_EQ(this->send(query).status, 200U);
}

TEST_F(http_api_test, status_page_requires_operator_token_and_escapes_html)
{
    test_request page{"GET", "/status", "", "", ""};
    EXPECT_EQ(this->send(page).header("www-authenticate"), "Basic realm=\"filbertroad\"");
    page.token = operator_token;
    auto const body = this->send(page).body;
    EXPECT_NE(body.find("<td>4321</td>"), std::string::npos) << body;
    EXPECT_NE(body.find("&lt;r&gt;"), std::string::npos) << body;
    page.path = "/metrics";
    EXPECT_NE(this->send(page).body.find("filbertroad_http_requests_total{operation=\"get_page\","
                                         "status=\"2xx\"} 1"),
              std::string::npos);
}

} // namespace
} // namespace filbertroad::api

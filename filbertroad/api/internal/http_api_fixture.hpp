#ifndef FILBERTROAD_API_INTERNAL_HTTP_API_FIXTURE_HPP
#define FILBERTROAD_API_INTERNAL_HTTP_API_FIXTURE_HPP

/// Test fixture: an http_api whose fake service returns configurable responses.

#include "filbertroad/api/http_api.hpp"

#include <gtest/gtest.h>

namespace filbertroad::api::internal
{

inline constexpr std::string_view operator_token = "operator-token-1";
inline constexpr std::string_view team_token = "team-token-1";
inline constexpr std::string_view job_path = "/v1/routes/stock/jobs/1790000000000-a";

/// Records the last request of each kind and returns the responses that the test has set.
class fake_service final : public entry_service
{
public:
    void submit(wire::submit_request request, job_handler handler) override
    {
        this->last_submit = std::move(request);
        handler(this->job_response);
    }
    void query(wire::job_query query, job_handler handler) override
    {
        this->last_query = std::move(query);
        handler(this->job_response);
    }
    void cancel(wire::job_query query, job_handler handler) override
    {
        this->query(std::move(query), handler);
    }
    void acknowledge(wire::job_query query, job_handler handler) override
    {
        this->query(std::move(query), handler);
    }
    [[nodiscard]] std::optional<wire::team> team_by_token(std::string_view token) const override
    {
        wire::team team;
        team.set_name("demo");
        return token == team_token ? std::optional(team) : std::nullopt;
    }
    [[nodiscard]] versioned_table table(table_kind /*kind*/) const override
    {
        wire::pools_table pools;
        pools.add_pools()->set_name("all");
        return {pools, 7};
    }
    void publish(publish_request request, change_handler handler) override
    {
        this->last_publish = std::move(request);
        handler(this->change_result);
    }
    void set_zone(service_state_request request, change_handler handler) override
    {
        this->last_service_change = std::move(request);
        handler(this->change_result);
    }
    void set_target(service_state_request request, change_handler handler) override
    {
        this->set_zone(std::move(request), handler);
    }
    void status(status_handler handler) override
    {
        region_status status;
        status.region = "<r>";
        auto& entry = status.entries.emplace_back();
        entry.mutable_entry()->mutable_id()->set_name("e1");
        entry.add_queues()->set_oldest_ms(4321);
        handler(status);
    }

    wire::response job_response;
    base::result<std::uint64_t, change_failure> change_result = std::uint64_t{9};
    wire::submit_request last_submit;
    wire::job_query last_query;
    publish_request last_publish;
    service_state_request last_service_change;
};

struct test_request
{
    std::string method;
    std::string path;
    std::string body = {};
    std::string query = {};
    std::string token = std::string(team_token);
};

class http_api_test : public testing::Test
{
protected:
    net::http_response send(test_request const& input)
    {
        net::http_request request;
        request.method = input.method;
        request.path = input.path;
        request.query = input.query;
        request.body = input.body;
        if (!input.token.empty())
        {
            request.headers.push_back({"Authorization", "Bearer " + input.token});
        }
        request.headers.push_back({"traceparent", this->traceparent});
        net::http_response out;
        out.status = 0;
        this->frontend.handle(std::move(request),
                              [&](net::http_response response) { out = std::move(response); });
        return out;
    }

    fake_service service;
    telemetry::metrics_registry metrics;
    telemetry::null_event_log events;
    base::manual_clock clock;
    std::string traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    http_api frontend{service,
                      metrics,
                      events,
                      clock,
                      {.operator_token = std::string(operator_token),
                       .change_id_prefix = "e1-1",
                       .max_body_bytes = 100'000,
                       .team_rate = 1'000,
                       .operator_rate = 1'000}};
};

} // namespace filbertroad::api::internal

#endif

#include "filbertroad/api/internal/http_api_fixture.hpp"

#include <array>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>
#include <random>

namespace filbertroad::api
{
namespace
{

using internal::job_path;
using internal::operator_token;
using internal::test_request;
using request_fuzz = internal::http_api_test;

std::vector<test_request> valid_requests()
{
    std::string const token(operator_token);
    return {
        {"PUT", std::string(job_path),
         R"({"tasks":[{"payload":"a\u00e9"}],"needs":["gpu"],"deadline_ms":9,"repeatable":true})",
         "wait_ms=5"},
        {"PUT", "/v1/tables/routes", R"({"routes":[{"name":"a","pool":"p","task_timeout_ms":9}]})",
         "base=7&change_id=c", token},
        {"PUT", "/v1/tables/pools",
         R"({"pools":[{"name":"p","service":"s","zones":["a"],"labels":["x"],"shards":1}]})",
         "base=7", token},
        {"PUT", "/v1/zones/a", R"({"in_service":false,"base":3})", "author=x", token},
    };
}

/// Replaces, removes or inserts up to four random bytes.
std::string mutate(std::string text, std::mt19937_64& random)
{
    for (auto left = random() % 5; left > 0 && !text.empty(); --left)
    {
        auto const at = random() % text.size();
        auto const byte = static_cast<char>(random());
        switch (random() % 3)
        {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.erase(at, 1);
            break;
        default:
            text.insert(at, 1, byte);
        }
    }
    return text;
}

// Guards against malformed input that crashes the process, and against rejections without a JSON
// error.
TEST_F(request_fuzz, mutated_requests_are_accepted_or_rejected_with_a_json_error)
{
    std::mt19937_64 random(20261204);
    this->service.job_response.mutable_job();
    auto const requests = valid_requests();
    std::array<int, 6> classes{};
    for (int i = 0; i < 20'000; ++i)
    {
        auto last_service_change = requests[random() % requests.size()];
        auto* const part =
            std::array{&last_service_change.path, &last_service_change.query,
                       &last_service_change.body, &last_service_change.body}[random() % 4];
        *part = mutate(*part, random);
        this->clock.advance(std::chrono::milliseconds(10));
        auto const response = this->send(last_service_change);
        ASSERT_LT(response.status, 500U) << last_service_change.path << "?"
                                         << last_service_change.query << last_service_change.body;
        ++classes[response.status / 100];
        if (response.status >= 300)
        {
            boost::json::error_code code;
            auto const body = boost::json::parse(response.body, code);
            ASSERT_FALSE(code) << response.body;
            ASSERT_FALSE(body.at("error").at("detail").as_string().empty());
        }
    }
    EXPECT_GT(classes[2], 0);
    EXPECT_GT(classes[4], 0);
}

// Guards against stack overflow on deeply nested input.
TEST_F(request_fuzz, deeply_nested_bodies_are_rejected)
{
    constexpr std::size_t depth = 40'000;
    for (auto nested : valid_requests())
    {
        for (std::string const open : {"[", "{\"tasks\":", "{\"routes\":[", "{\"zones\":["})
        {
            nested.body.clear();
            while (nested.body.size() + open.size() < depth)
            {
                nested.body += open;
            }
            EXPECT_EQ(this->send(nested).status, 400U);
        }
    }
}

} // namespace
} // namespace filbertroad::api

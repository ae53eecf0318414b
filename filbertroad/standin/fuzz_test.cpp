#include "filbertroad/net/internal/mutation.hpp"
#include "filbertroad/standin/control_body.hpp"
#include "filbertroad/standin/ideal.hpp"
#include "filbertroad/standin/job_response.hpp"
#include "filbertroad/standin/load_plan.hpp"
#include "filbertroad/standin/log_service.hpp"
#include "filbertroad/standin/task_payload.hpp"

#include <array>
#include <gtest/gtest.h>

namespace filbertroad::standin
{
namespace
{

using net::internal::mutate;

// Guards against a corrupted response that is classified as complete.
TEST(fuzz, mutated_job_response_is_complete_only_with_every_result_of_its_job)
{
    std::mt19937_64 random(21);
    std::string const good = R"({"state":"complete","results":[{"index":0,"outcome":"succeeded",)"
                             R"("body":"done k 0"},{"index":1,"outcome":"succeeded",)"
                             R"("body":"done k 1"}]})";
    for (int i = 0; i < 50'000; ++i)
    {
        auto const body = mutate(good, random);
        net::http_result const response = net::http_response{.body = body};
        if (classify_response(response, "k", 2) == submission_outcome::complete)
        {
            ASSERT_NE(body.find("done k 0"), std::string::npos) << body;
            ASSERT_NE(body.find("done k 1"), std::string::npos) << body;
        }
    }
}

// Guards against settings that are out of range, such as a slowness of NaN.
TEST(fuzz, mutated_control_settings_are_rejected_or_in_range)
{
    std::mt19937_64 random(22);
    bool flag = false;
    double number = 0;
    std::uint32_t integer = 0;
    std::array const fields{control_field{"outage", &flag}, control_field{"slow", &number},
                            control_field{"late_answers_ms", &integer}};
    std::string const good = R"({"outage":true,"slow":1.5e0,"late_answers_ms":7})";
    std::size_t refused = 0;
    for (int i = 0; i < 50'000; ++i)
    {
        refused += apply_control(mutate(good, random), fields) ? 1 : 0;
        ASSERT_GE(number, 0);
    }
    EXPECT_GT(refused, 10'000U);
}

TEST(fuzz, mutated_payloads_and_arguments_yield_bounded_values)
{
    std::mt19937_64 random(23);
    for (int i = 0; i < 50'000; ++i)
    {
        auto const directives = parse_payload(mutate("order 7 run_ms=120 fail", random));
        ASSERT_TRUE(!directives.run_time ||
                    (directives.run_time->count() >= 0 && *directives.run_time <= max_run_time));
        auto const targets = parse_ideal_targets(mutate("11x8", random), mutate("1,1,4", random));
        ASSERT_TRUE(!targets || (!targets->empty() && targets->front().slots > 0));
        auto const times = parse_run_times(mutate("50-1000", random));
        ASSERT_TRUE(!times || times->family != run_time_distribution::kind::uniform ||
                    times->base_ms <= times->max_ms);
    }
}

// Guards against a log service that responds to a malformed request twice or not at all.
TEST(fuzz, log_service_responds_to_every_mutated_request_once)
{
    boost::asio::io_context io;
    base::manual_clock const clock;
    log_service service(io, clock, {});
    auto const handler = service.handler();
    std::mt19937_64 random(24);
    for (int i = 0; i < 20'000; ++i)
    {
        int responses = 0;
        handler({.method = i % 3 == 0 ? "POST" : "GET",
                 .path = mutate("/v1/streams/control/records", random),
                 .query = mutate("from=1&limit=10&wait_ms=0", random),
                 .body = mutate("record", random)},
                [&](net::http_response const&) { ++responses; });
        if (responses == 0)
        {
            // A mutated wait_ms may make the read wait; an outage completes it.
            for (auto const* const body : {R"({"outage":true})", R"({"outage":false})"})
            {
                handler({.method = "POST", .path = "/control", .body = body},
                        [](net::http_response const&) {});
            }
        }
        ASSERT_EQ(responses, 1);
    }
}

} // namespace
} // namespace filbertroad::standin

#include "filbertroad/standin/control_body.hpp"
#include "filbertroad/standin/ideal.hpp"
#include "filbertroad/standin/job_response.hpp"
#include "filbertroad/standin/load_plan.hpp"
#include "filbertroad/standin/load_report.hpp"
#include "filbertroad/standin/memory_log.hpp"
#include "filbertroad/standin/rate_limiter.hpp"
#include "filbertroad/standin/task_payload.hpp"

#include <array>
#include <gtest/gtest.h>

namespace filbertroad::standin
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a log that accepts more appends than its rate limit over several bursts.
TEST(rate_limiter, long_term_rate_does_not_exceed_the_limit)
{
    base::manual_clock clock;
    rate_limiter limiter(50, clock.steady_now());
    int taken = 0;
    for (int ms = 0; ms < 2'000; ++ms)
    {
        clock.advance(milliseconds(1));
        taken += limiter.try_take(clock.steady_now()) ? 1 : 0;
        taken += limiter.try_take(clock.steady_now()) ? 1 : 0;
    }
    EXPECT_GE(taken, 100);
    EXPECT_LE(taken, 105);
    limiter.set_rate(0, clock.steady_now());
    for (int i = 0; i < 100; ++i)
    {
        EXPECT_TRUE(limiter.try_take(clock.steady_now()));
    }
}

TEST(memory_log, read_returns_at_most_the_limit_from_the_given_offset)
{
    base::manual_clock const clock;
    memory_log log(seconds(10));
    for (int i = 1; i <= 5; ++i)
    {
        EXPECT_EQ(log.append("a", std::to_string(i), clock.steady_now()),
                  static_cast<std::uint64_t>(i));
    }
    EXPECT_EQ(log.append("b", "", clock.steady_now()), 1U);
    auto const page = log.read("a", 2, 3, clock.steady_now());
    EXPECT_EQ(page.first, 1U);
    EXPECT_EQ(page.next, 6U);
    ASSERT_EQ(page.records.size(), 3U);
    EXPECT_EQ(page.records[0].offset, 2U);
    EXPECT_EQ(page.records[2].data, "4");
    EXPECT_TRUE(log.read("a", 6, 3, clock.steady_now()).records.empty());
}

// Guards against offsets that restart at 1 after all records of a stream have expired.
TEST(memory_log, offsets_are_not_reused_after_records_expire)
{
    base::manual_clock clock;
    memory_log log(seconds(10));
    log.append("a", "1", clock.steady_now());
    clock.advance(seconds(6));
    log.append("a", "2", clock.steady_now());
    clock.advance(seconds(6));
    auto const page = log.read("a", 1, 10, clock.steady_now());
    EXPECT_EQ(page.first, 2U);
    ASSERT_EQ(page.records.size(), 1U);
    EXPECT_EQ(page.records[0].data, "2");
    clock.advance(seconds(6));
    EXPECT_EQ(log.read("a", 1, 10, clock.steady_now()).first, 3U);
    EXPECT_EQ(log.append("a", "3", clock.steady_now()), 3U);
}

TEST(task_payload, run_time_is_parsed_anywhere_in_the_payload_and_bounded)
{
    EXPECT_EQ(parse_payload("order 17 run_ms=120;x").run_time, milliseconds(120));
    EXPECT_EQ(parse_payload("run_ms=0").run_time, milliseconds(0));
    EXPECT_EQ(parse_payload("run_ms=99999999999999999999999").run_time, max_run_time);
    EXPECT_EQ(parse_payload("run_ms=9999999").run_time, max_run_time);
    EXPECT_FALSE(parse_payload("run_ms=x").run_time);
    EXPECT_FALSE(parse_payload("run_ms=-5").run_time);
    EXPECT_FALSE(parse_payload("").run_time);
    EXPECT_TRUE(parse_payload("run_ms=5 fail").fails);
    EXPECT_FALSE(parse_payload("run_ms=5").fails);
}

// Guards against a misspelt setting that is ignored, so that a test passes without the fault that
// it meant to inject.
TEST(control_body, unknown_fields_and_wrong_types_are_rejected_by_name)
{
    bool flag = false;
    double number = 1;
    std::optional<std::uint32_t> optional = 3;
    std::array const fields{control_field{"outage", &flag}, control_field{"rate", &number},
                            control_field{"slots", &optional}};
    EXPECT_EQ(apply_control(R"({"outage":true,"rate":2.5,"slots":null})", fields), std::nullopt);
    EXPECT_TRUE(flag);
    EXPECT_EQ(number, 2.5);
    EXPECT_FALSE(optional);
    EXPECT_EQ(apply_control(R"({"outtage":true})", fields), "unknown field 'outtage'");
    EXPECT_EQ(apply_control(R"({"outage":1})", fields), "outage: expected true or false");
    EXPECT_EQ(apply_control(R"({"rate":-1})", fields), "rate: expected a number of at least 0");
    EXPECT_TRUE(apply_control(R"({"slots":-1})", fields));
    EXPECT_TRUE(apply_control("[]", fields));
}

TEST(ideal, malformed_target_lists_are_rejected)
{
    auto const targets = parse_ideal_targets("3x8", "1,4");
    ASSERT_TRUE(targets);
    ASSERT_EQ(targets->size(), 3U);
    EXPECT_EQ((*targets)[1].slowness, 4);
    EXPECT_EQ((*targets)[2].slowness, 1);
    for (auto const* const shape : {"", "3", "x8", "0x8", "3x", "3x8x", "-1x8"})
    {
        EXPECT_FALSE(parse_ideal_targets(shape, "")) << shape;
    }
    for (auto const* const list : {"0", "1,", "a", "1,1,1,1", "nan", "-1"})
    {
        EXPECT_FALSE(parse_ideal_targets("3x8", list)) << list;
    }
}

// Guards against an ideal scheduler that is slower than a real queue can be, which would make the
// response ratios look better than they are.
TEST(ideal, tasks_start_in_order_on_the_fastest_free_target)
{
    std::vector<ideal_target> const targets{{.slots = 1, .slowness = 4},
                                            {.slots = 1, .slowness = 1}};
    std::vector<ideal_job> const jobs{
        {.submitted = milliseconds_f(0), .run_times = {milliseconds_f(10)}},
        // The fast target is free again at 10 ms, so the second task of this job starts there.
        {.submitted = milliseconds_f(1), .run_times = {milliseconds_f(10), milliseconds_f(10)}},
        {.submitted = milliseconds_f(100), .run_times = {milliseconds_f(3)}},
        {.submitted = milliseconds_f(200), .run_times = {}}};
    auto const times = ideal_response_times(targets, milliseconds_f(0.5), jobs);
    ASSERT_EQ(times.size(), 4U);
    EXPECT_DOUBLE_EQ(times[0].count(), 11.0);
    EXPECT_DOUBLE_EQ(times[1].count(), 41.0);
    EXPECT_DOUBLE_EQ(times[2].count(), 4.0);
    EXPECT_DOUBLE_EQ(times[3].count(), 1.0);
}

TEST(ideal, full_queue_starts_the_next_task_at_the_earliest_end)
{
    std::vector<ideal_target> const targets{{.slots = 2, .slowness = 1}};
    std::vector<ideal_job> const jobs{
        {.submitted = milliseconds_f(0),
         .run_times = {milliseconds_f(10), milliseconds_f(4), milliseconds_f(3)}},
        {.submitted = milliseconds_f(1), .run_times = {milliseconds_f(5)}}};
    auto const times = ideal_response_times(targets, milliseconds_f(0), jobs);
    EXPECT_DOUBLE_EQ(times[0].count(), 10.0);
    // Starts at 7 ms, when the third task of the first job ends.
    EXPECT_DOUBLE_EQ(times[1].count(), 11.0);
}

TEST(load_plan, same_seed_yields_the_same_plan_at_the_requested_rate)
{
    load_profile const profile{.rate = 200,
                               .tasks = 3,
                               .run_times = *parse_run_times("50-1000"),
                               .seconds = 20,
                               .seed = 5};
    auto const plan = make_load_plan(profile);
    auto const again = make_load_plan(profile);
    ASSERT_EQ(plan.size(), again.size());
    EXPECT_NEAR(static_cast<double>(plan.size()), 4'000, 320);
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        ASSERT_EQ(plan[i].run_ms, again[i].run_ms);
        for (auto const run_ms : plan[i].run_ms)
        {
            ASSERT_TRUE(run_ms >= 50 && run_ms <= 1'000);
        }
    }
    for (auto const* const text : {"", "a", "5-", "9-5", "exp:", "1.5", "99999999"})
    {
        EXPECT_FALSE(parse_run_times(text)) << text;
    }
}

net::http_result make_result(std::string body, unsigned status = 200)
{
    return net::http_response{.status = status, .body = std::move(body)};
}

// Guards against mixed-up and partial results that are classified as complete.
TEST(job_response, complete_requires_the_matching_result_of_every_task)
{
    EXPECT_EQ(classify_response(
                  make_result(R"({"state":"complete","results":[)"
                              R"({"index":1,"outcome":"succeeded","body":"done k 1"},)"
                              R"({"index":0,"outcome":"succeeded","body":"ZG9uZSBrIDA="}]})"),
                  "k", 2),
              submission_outcome::complete);
    for (auto const* const tasks : {R"([{"index":0,"outcome":"succeeded","body":"done k 0"}])",
                                    R"([{"index":0,"outcome":"succeeded","body":"done k 0"},)"
                                    R"({"index":0,"outcome":"succeeded","body":"done k 0"}])",
                                    R"([{"index":0,"outcome":"succeeded","body":"done k 0"},)"
                                    R"({"index":1,"outcome":"succeeded","body":"done j 1"}])",
                                    R"([{"index":0,"outcome":"succeeded","body":"done k 0"},)"
                                    R"({"index":1,"outcome":"failed","body":"done k 1"}])",
                                    R"([1,2])", R"("")"})
    {
        EXPECT_EQ(classify_response(
                      make_result(R"({"state":"complete","results":)" + std::string(tasks) + "}"),
                      "k", 2),
                  submission_outcome::wrong)
            << tasks;
    }
}

// Guards against a load generator that counts a job as refused although it may have run.
TEST(job_response, job_that_may_have_run_is_retried)
{
    EXPECT_EQ(classify_response(net::http_failure{{net::net_error::closed, ""}, true}, "k", 1),
              submission_outcome::retry);
    EXPECT_EQ(classify_response(
                  make_result(R"({"error":{"code":"overloaded","not_run":"yes"}})", 503), "k", 1),
              submission_outcome::refused);
    EXPECT_EQ(classify_response(make_result(R"({"error":{"code":"x","not_run":"unknown"}})", 503),
                                "k", 1),
              submission_outcome::retry);
    EXPECT_EQ(
        classify_response(make_result(R"({"error":{"code":"x","not_run":"no"}})", 409), "k", 1),
        submission_outcome::failed);
    EXPECT_EQ(
        classify_response(make_result(R"({"error":{"code":"x"},"not_run":false})", 503), "k", 1),
        submission_outcome::retry);
    EXPECT_EQ(classify_response(make_result(R"({"error":{"code":"bad_json"}})", 400), "k", 1),
              submission_outcome::refused);
    EXPECT_EQ(classify_response(make_result("", 502), "k", 1), submission_outcome::retry);
    EXPECT_EQ(classify_response(make_result(R"({"state":"running"})", 202), "k", 1),
              submission_outcome::retry);
    EXPECT_EQ(classify_response(make_result(R"({"state":"failed"})"), "k", 1),
              submission_outcome::failed);
}

TEST(load_report, ratio_compares_complete_jobs_with_the_same_jobs_in_the_ideal)
{
    auto const job = [](double at, double end, std::optional<submission_outcome> outcome)
    {
        return job_record{.key = "k",
                          .run_ms = {10},
                          .planned = milliseconds_f(at),
                          .submitted = milliseconds_f(at),
                          .ended = milliseconds_f(end),
                          .attempts = 2,
                          .outcome = outcome};
    };
    std::vector<job_record> const records{
        job(0, 15, submission_outcome::complete), job(0, 1, submission_outcome::refused),
        job(0, 30, submission_outcome::complete), job(50, 99, std::nullopt)};
    ideal_options const ideal{.targets = {{.slots = 1, .slowness = 1}}, .network = {}};
    std::string text;
    for (auto const& line : compute_load_metrics(records, ideal))
    {
        text += to_line(line) + "\n";
    }
    for (auto const* const line :
         {"jobs 4 count\n", "complete 2 count\n", "refused 1 count\n", "lost_answers 1 count\n",
          "resubmissions 4 count\n", "response_time_mean 22.500 ms\n", "ideal_time_p99 20.000 ms\n",
          "response_ratio_mean 1.500 ratio\n", "response_ratio_p99 1.500 ratio\n"})
    {
        EXPECT_NE(text.find(line), std::string::npos) << line << "in\n" << text;
    }
    EXPECT_EQ(to_trace_line(records[3]), "k 50.000 99.000 lost 2 10");
}

} // namespace
} // namespace filbertroad::standin

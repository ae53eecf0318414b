#include "filbertroad/measure/replay.hpp"
#include "filbertroad/measure/statistics.hpp"
#include "filbertroad/measure/trace.hpp"
#include "filbertroad/measure/trace_generator.hpp"

#include <gtest/gtest.h>
#include <sstream>

namespace filbertroad::measure
{
namespace
{

trace single_target_trace(std::vector<trace_job> jobs)
{
    trace input;
    input.targets = {{.name = "a", .zone = 0, .slots = 1, .slowness = 2}};
    input.jobs = std::move(jobs);
    return input;
}

TEST(trace_file, recorded_trace_replays_as_the_original)
{
    auto const original = generate({.speed_range = 4, .load = 0.9, .jobs = 50, .seed = 3});
    std::stringstream file;
    write_trace(original, file);
    auto const copy = read_trace(file);
    ASSERT_TRUE(copy.has_value());
    EXPECT_EQ(replay_scheduler(original, {}).response_times,
              replay_scheduler(copy.value(), {}).response_times);
}

TEST(trace_file, invalid_line_is_reported_with_its_number)
{
    std::istringstream file("target a 0 8 1\n\njob 5 0 0\n");
    auto const read = read_trace(file);
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error().detail, "line 3: job 5 0 0");
}

TEST(generated_trace, offers_exactly_the_requested_load)
{
    auto const generated = generate({.speed_range = 4, .load = 0.7, .jobs = 100, .seed = 1});
    auto const duration = static_cast<double>(generated.jobs.back().arrival);
    EXPECT_NEAR(generated.total_work() / (generated.capacity() * duration), 0.7, 1e-6);
}

TEST(ideal, counts_network_latency_once_each_way)
{
    auto const input = single_target_trace({{.arrival = 0, .run_us = {1000, 1000}}});
    // Request: 3 ms from the caller and 0.1 ms within the zone. Then two runs of 2 ms in sequence,
    // and the same latencies for the response.
    EXPECT_EQ(replay_ideal(input, ideal_policy::earliest_finish).response_times.at(0),
              3100 + 2 * 2000 + 3100);
    EXPECT_EQ(replay_scheduler(input, {}).response_times.at(0), 3100 + 2 * 2000 + 200 + 3100);
}

TEST(ideal, waits_for_a_fast_target_rather_than_using_a_slow_one)
{
    trace input;
    input.targets = {{.name = "fast", .zone = 0, .slots = 1, .slowness = 1},
                     {.name = "slow", .zone = 0, .slots = 1, .slowness = 10}};
    input.jobs = {{.arrival = 0, .run_us = {10'000, 10'000}}};
    EXPECT_EQ(replay_ideal(input, ideal_policy::earliest_finish).response_times.at(0),
              6200 + 20'000);
}

TEST(zone_outage, no_task_starts_in_the_zone_and_prefetched_tasks_are_reassigned)
{
    trace input;
    input.targets = {{.name = "a", .zone = 0, .slots = 1, .slowness = 1},
                     {.name = "b", .zone = 1, .slots = 1, .slowness = 1}};
    input.jobs = {{.arrival = 0, .run_us = std::vector<std::uint32_t>(40, 100'000)}};
    replay_options const options{.prefetch_limit = 1, .outages = {{1, 1'000'000, 60'000'000}}};
    auto const observed = replay_scheduler(input, options);
    // 20 of the 40 tasks end within the first second; then one of the two slots remains.
    EXPECT_NEAR(static_cast<double>(observed.response_times.at(0)), 3e6, 0.1e6);
    EXPECT_EQ(observed.wasted_messages, 2U);
    auto const ideal = replay_ideal(input, ideal_policy::earliest_finish, options.outages);
    EXPECT_NEAR(static_cast<double>(ideal.response_times.at(0)), 3e6, 0.1e6);
}

TEST(ideal, is_not_worse_than_any_other_system)
{
    for (double const range : {1.0, 4.0})
    {
        auto const input = generate({.speed_range = range, .load = 0.7, .jobs = 400, .seed = 5});
        auto const mean = [&](replay_result const& observed)
        {
            response_sample sample;
            sample.add(input, observed);
            EXPECT_EQ(sample.refused(), 0U);
            return sample.mean();
        };
        auto const ideal = mean(replay_ideal(input, ideal_policy::earliest_finish));
        EXPECT_LE(ideal, mean(replay_scheduler(input, {})));
        EXPECT_LE(ideal, mean(replay_baseline(input, baseline_policy::round_robin, 1)));
        EXPECT_LE(ideal, mean(replay_baseline(input, baseline_policy::two_choices, 1)));
        EXPECT_LE(ideal, mean(replay_baseline(input, baseline_policy::agent_queue, 1)));
    }
}

} // namespace
} // namespace filbertroad::measure

#include "filbertroad/telemetry/metrics.hpp"

#include <array>
#include <gtest/gtest.h>
#include <thread>

namespace filbertroad::telemetry
{
namespace
{

TEST(metrics, output_follows_the_prometheus_text_format)
{
    metrics_registry metrics;
    metrics.add_counter("b_total", "Jobs.", {{"code", "a\"b\\c\nd"}}).increment(3);
    metrics.add_gauge("c", "Depth.").set(2.5);
    std::array const bounds{0.5, 1.0};
    auto& times = metrics.add_histogram("a_seconds", "Times.", bounds, {{"zone", "z"}});
    for (double const value : {-1.0, 0.5, 0.75, 1.0, 7.0})
    {
        times.observe(value);
    }
    EXPECT_EQ(metrics.to_prometheus(), "# HELP a_seconds Times.\n"
                                       "# TYPE a_seconds histogram\n"
                                       "a_seconds_bucket{zone=\"z\",le=\"0.5\"} 2\n"
                                       "a_seconds_bucket{zone=\"z\",le=\"1\"} 4\n"
                                       "a_seconds_bucket{zone=\"z\",le=\"+Inf\"} 5\n"
                                       "a_seconds_sum{zone=\"z\"} 8.25\n"
                                       "a_seconds_count{zone=\"z\"} 5\n"
                                       "# HELP b_total Jobs.\n"
                                       "# TYPE b_total counter\n"
                                       "b_total{code=\"a\\\"b\\\\c\\nd\"} 3\n"
                                       "# HELP c Depth.\n"
                                       "# TYPE c gauge\n"
                                       "c 2.5\n");
}

// Guards against metrics that are reset or duplicated when a shard is taken over again.
TEST(metrics, adding_a_series_twice_returns_the_same_metric)
{
    metrics_registry metrics;
    auto& first = metrics.add_counter("n_total", "N.", {{"shard", "0"}});
    EXPECT_EQ(&first, &metrics.add_counter("n_total", "N.", {{"shard", "0"}}));
    EXPECT_NE(&first, &metrics.add_counter("n_total", "N.", {{"shard", "1"}}));
}

// Guards against lost updates when several threads record at the same time.
TEST(metrics, concurrent_recording_loses_no_update)
{
    metrics_registry metrics;
    auto& count = metrics.add_counter("n_total", "N.");
    auto& times = metrics.add_histogram("t_seconds", "T.");
    constexpr int rounds = 10'000;
    auto const record = [&]
    {
        for (int i = 0; i < rounds; ++i)
        {
            count.increment();
            times.observe(0.25);
        }
    };
    std::thread other(record);
    record();
    other.join();
    EXPECT_EQ(count.value(), 2U * rounds);
    EXPECT_EQ(times.count(), 2U * rounds);
    EXPECT_EQ(times.sum(), 0.25 * 2 * rounds);
}

} // namespace
} // namespace filbertroad::telemetry

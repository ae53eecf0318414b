#include "filbertroad/limits/limit_reporter.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace filbertroad::limits
{
namespace
{

class recording_log final : public telemetry::event_log
{
public:
    using event_log::write;
    void write(telemetry::event_definition const& event,
               std::span<telemetry::event_field const> fields) override
    {
        this->lines.push_back(telemetry::format_event(event, fields));
    }

    std::vector<std::string> lines;
};

// Guards against a line for each of thousands of refused connections.
TEST(limit_reporter_test, uses_are_counted_and_a_reason_has_one_line_a_second)
{
    base::manual_clock clock;
    recording_log log;
    telemetry::metrics_registry metrics;
    limit_reporter reporter(clock, log, metrics);
    auto const handler = reporter.handler();
    for (int count = 0; count < 1'000; ++count)
    {
        handler(net::limit_reason::memory);
    }
    handler(net::limit_reason::connections);
    EXPECT_EQ(log.lines.size(), 2U);
    clock.advance(std::chrono::seconds(1));
    handler(net::limit_reason::memory);
    ASSERT_EQ(log.lines.size(), 3U);
    EXPECT_NE(log.lines.back().find("reason=memory count=1000"), std::string::npos);
    EXPECT_NE(metrics.to_prometheus().find("reason=\"memory\"} 1001"), std::string::npos);
}

} // namespace
} // namespace filbertroad::limits

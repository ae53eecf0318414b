#include "filbertroad/dispatch/internal/crash_evidence.hpp"

#include <gtest/gtest.h>

namespace filbertroad::dispatch::internal
{
namespace
{

base::steady_time at(std::int64_t ms)
{
    return base::steady_time(milliseconds(100'000 + ms));
}

class crash_evidence_test : public testing::Test
{
protected:
    /// A crash of the target of a new agent, which the agent reports after a status without one.
    void crash(std::vector<std::string> routes, base::steady_time now)
    {
        auto const agent = std::to_string(++this->agents);
        target_status status;
        this->crashes.observe(agent, 1, status, now);
        status.crash_count = 1;
        status.crash_routes = std::move(routes);
        this->crashes.observe(agent, 1, status, now);
        this->crashes.observe(agent, 1, status, now);
    }

    crash_evidence crashes;
    int agents = 0;
};

// Guards against blaming bystanders: every run on a target is lost with it.
TEST_F(crash_evidence_test, route_named_for_most_crashes_is_the_only_suspect)
{
    this->crash({"bystander", "culprit"}, at(0));
    this->crash({"culprit"}, at(500));
    EXPECT_FALSE(this->crashes.has_suspect());
    this->crash({"culprit", "other"}, at(1'000));
    EXPECT_TRUE(this->crashes.is_suspect("culprit"));
    EXPECT_FALSE(this->crashes.is_suspect("bystander"));
    EXPECT_FALSE(this->crashes.is_suspect("other"));
}

// Guards against isolating a route when targets crash for another cause, such as a power loss.
TEST_F(crash_evidence_test, crashes_under_many_routes_make_no_suspect)
{
    for (int zone_target = 0; zone_target < 4; ++zone_target)
    {
        this->crash({"one", "other"}, at(0));
    }
    EXPECT_FALSE(this->crashes.has_suspect());
}

// Guards against counting a crash again with each status.
TEST_F(crash_evidence_test, each_crash_counts_once)
{
    target_status status;
    status.crash_count = 1;
    status.crash_routes = {"route"};
    for (int repeat = 0; repeat < 5; ++repeat)
    {
        this->crashes.observe("a", 1, status, at(0));
        this->crashes.observe("b", 1, status, at(0));
    }
    EXPECT_FALSE(this->crashes.has_suspect());
}

// Guards against a restarted entry that starts suspects everywhere, although the agents know them.
TEST_F(crash_evidence_test, first_status_of_an_agent_counts_if_its_crash_is_recent)
{
    target_status recent;
    recent.crash_count = 3;
    recent.crash_routes = {"route"};
    auto earlier = recent;
    earlier.crash_routes.clear();
    for (auto const* const agent : {"a", "b", "c"})
    {
        this->crashes.observe(agent, 1, earlier, at(0));
    }
    EXPECT_FALSE(this->crashes.has_suspect());
    for (auto const* const agent : {"d", "e", "f"})
    {
        this->crashes.observe(agent, 1, recent, at(0));
    }
    EXPECT_TRUE(this->crashes.has_suspect());
}

// Guards against isolating a route for good.
TEST_F(crash_evidence_test, evidence_expires)
{
    for (int count = 0; count < 3; ++count)
    {
        this->crash({"route"}, at(0));
    }
    this->crashes.observe("a", 1, {}, at(9'999));
    EXPECT_TRUE(this->crashes.has_suspect());
    this->crashes.observe("a", 1, {}, at(10'000));
    EXPECT_FALSE(this->crashes.has_suspect());
}

} // namespace
} // namespace filbertroad::dispatch::internal

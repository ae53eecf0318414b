#include "filbertroad/dispatch/internal/agent_view.hpp"

#include <gtest/gtest.h>

namespace filbertroad::dispatch::internal
{
namespace
{

constexpr model::resources task{3'000, 10, 0};

target_status full_target()
{
    target_status status;
    status.accepting = true;
    status.capacity = {30'000, 10'000, 0};
    status.running_work = 30 * 100;
    return status;
}

TEST(agent_view_test, free_resources_need_no_wait)
{
    agent_view view;
    view.connect(1, {});
    auto status = full_target();
    status.free = status.capacity;
    view.update_status(status, {});
    EXPECT_EQ(view.expected_wait(task, 0), milliseconds(0));
}

// Ten runs with a mean remaining time of 100 ms: the first ends after 20 ms. Guards against an
// expected wait of a fraction of that, which kept tasks queueing at fast targets under overload.
TEST(agent_view_test, wait_on_a_full_target_lasts_until_its_first_run_ends)
{
    agent_view view;
    view.connect(1, {});
    view.update_status(full_target(), {});
    EXPECT_EQ(view.expected_wait(task, 0), milliseconds(20));
}

TEST(agent_view_test, queued_work_of_lower_priority_does_not_add_to_the_wait)
{
    agent_view view;
    view.connect(1, {});
    auto status = full_target();
    status.queued_work[1] = 30 * 200;
    view.update_status(status, {});
    EXPECT_EQ(view.expected_wait(task, 0), milliseconds(20));
    EXPECT_EQ(view.expected_wait(task, 1), milliseconds(220));
}

// Guards against underestimated waits during overload with three priorities. The middle class
// waited 367 ms at the fastest target instead of the expected 198 ms, because tasks of the highest
// class kept overtaking it.
TEST(agent_view_test, wait_grows_with_the_load_of_higher_priority_classes)
{
    agent_view view;
    view.connect(1, {});
    auto status = full_target();
    status.queued_work[1] = 30 * 200;
    status.class_load = {0.5, 0.4, 0};
    view.update_status(status, {});
    EXPECT_EQ(view.expected_wait(task, 0), milliseconds(20));
    EXPECT_EQ(view.expected_wait(task, 1), milliseconds(440));
    EXPECT_EQ(view.expected_wait(task, 2), milliseconds(1'100)) << "at most 0.8 are counted";
}

TEST(agent_view_test, in_flight_starts_count_until_a_status_includes_them)
{
    agent_view view;
    view.connect(1, {});
    auto status = full_target();
    status.free = task;
    view.update_status(status, {});
    view.add_in_flight(task, 300, 0);
    EXPECT_GT(view.expected_wait(task, 0), milliseconds(0));
    status.starts_seen = 1;
    view.update_status(status, {});
    EXPECT_EQ(view.expected_wait(task, 0), milliseconds(0));
}

// Guards against placing work on a target whose capacity has shrunk below the resources in use:
// its free resources are negative.
TEST(agent_view_test, target_over_its_capacity_is_not_free)
{
    agent_view view;
    view.connect(1, {});
    auto status = full_target();
    status.capacity = {15'000, 10'000, 0};
    status.free = {-15'000, -10, -1};
    status.running_work = 30 * 100;
    view.update_status(status, {});
    // At least half of the runs must end before one can start.
    EXPECT_GE(view.expected_wait(task, 0), milliseconds(100));
    EXPECT_EQ(view.spare_starts(task), 1);
    EXPECT_GT(view.expected_wait({0, 0, 0}, 0), milliseconds(0));
}

// Guards against a division by zero and negative waits.
TEST(agent_view_test, wait_on_a_target_without_capacity_is_finite)
{
    agent_view view;
    view.connect(1, {});
    auto status = full_target();
    status.capacity = {};
    status.free = {-30'000, -100, 0};
    view.update_status(status, {});
    for (auto const& resources : {task, model::resources{}})
    {
        EXPECT_GT(view.expected_wait(resources, 0), milliseconds(0));
        EXPECT_LT(view.expected_wait(resources, 2), milliseconds(100'000'000));
        EXPECT_GE(view.spare_starts(resources), 1);
    }
}

} // namespace
} // namespace filbertroad::dispatch::internal

#include "filbertroad/dispatch/internal/overload_detector.hpp"

#include <gtest/gtest.h>

namespace filbertroad::dispatch::internal
{
namespace
{

base::steady_time at(std::int64_t ms)
{
    return base::steady_time(milliseconds(100'000 + ms));
}

// Guards against refusing the first late job of a class with one job of many tasks per second. It
// was refused because the last job in time was longer ago than the interval.
TEST(overload_detector_test, single_late_job_of_an_infrequent_class_is_not_sustained_overload)
{
    overload_detector overload;
    EXPECT_TRUE(overload.admits(2, 0.8, at(0)));
    EXPECT_TRUE(overload.admits(2, 1.3, at(1'000)));
}

TEST(overload_detector_test, overload_is_sustained_after_the_interval_until_a_job_is_on_time)
{
    overload_detector overload;
    EXPECT_TRUE(overload.admits(1, 1.3, at(0)));
    EXPECT_TRUE(overload.admits(1, 1.3, at(399)));
    EXPECT_FALSE(overload.admits(1, 1.3, at(400)));
    EXPECT_TRUE(overload.admits(1, 0.9, at(500)));
    EXPECT_TRUE(overload.admits(1, 1.3, at(510)));
}

TEST(overload_detector_test, job_far_beyond_its_objective_is_refused_at_once)
{
    overload_detector overload;
    EXPECT_FALSE(overload.admits(0, 2.6, at(0)));
}

TEST(overload_detector_test, priority_classes_are_tracked_separately)
{
    overload_detector overload;
    EXPECT_TRUE(overload.admits(2, 1.3, at(0)));
    EXPECT_FALSE(overload.admits(2, 1.3, at(500)));
    EXPECT_TRUE(overload.admits(1, 1.3, at(500)));
}

} // namespace
} // namespace filbertroad::dispatch::internal

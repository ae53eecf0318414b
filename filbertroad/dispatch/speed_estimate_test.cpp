#include "filbertroad/dispatch/internal/speed_estimate.hpp"

#include <gtest/gtest.h>

namespace filbertroad::dispatch::internal
{
namespace
{

using std::chrono::milliseconds;

constexpr double slow_speed = 0.6;

// Guards against slow targets that keep their initial speed for minutes: a target that gets few
// runs made every wide job late of which it got a task (elapsed time 1.7 times the expected one).
TEST(speed_estimate_test, slow_target_is_recognized_after_eight_runs)
{
    speed_estimate speed;
    for (int run = 0; run < 8; ++run)
    {
        speed.observe(milliseconds(150), milliseconds(250));
    }
    EXPECT_LT(speed.value(), (1 + slow_speed) / 2);
}

// Estimates of single jobs are off by 40 %.
TEST(speed_estimate_test, one_wrong_estimate_changes_a_known_speed_by_a_tenth_at_most)
{
    speed_estimate speed;
    for (int run = 0; run < 200; ++run)
    {
        speed.observe(milliseconds(150), milliseconds(250));
    }
    speed.observe(milliseconds(150), milliseconds(420));
    EXPECT_NEAR(speed.value(), slow_speed, slow_speed / 10);
}

} // namespace
} // namespace filbertroad::dispatch::internal

#include "filbertroad/dispatch/waiting_callers.hpp"

#include <gtest/gtest.h>

namespace filbertroad::dispatch
{
namespace
{

// Guards against callers with long jobs that leave no connection to others.
TEST(waiting_callers_test, long_time_budgets_are_bounded_and_short_ones_are_not)
{
    waiting_callers callers({{milliseconds(10'000), 2}, {milliseconds(3'000), 3}});
    callers.add(milliseconds(60'000));
    callers.add(milliseconds(10'001));
    EXPECT_FALSE(callers.has_room(milliseconds(60'000)));
    EXPECT_TRUE(callers.has_room(milliseconds(10'000)));
    callers.add(milliseconds(5'000));
    EXPECT_FALSE(callers.has_room(milliseconds(5'000)));
    for (int count = 0; count < 100; ++count)
    {
        EXPECT_TRUE(callers.has_room(milliseconds(3'000)));
        callers.add(milliseconds(3'000));
    }
    EXPECT_EQ(callers.count(), 103U);
    callers.remove(milliseconds(60'000));
    EXPECT_TRUE(callers.has_room(milliseconds(60'000)));
    EXPECT_TRUE(callers.has_room(milliseconds(5'000)));
}

TEST(waiting_callers_test, without_bounds_every_caller_has_room)
{
    waiting_callers const callers;
    EXPECT_TRUE(callers.has_room(milliseconds(600'000)));
}

} // namespace
} // namespace filbertroad::dispatch

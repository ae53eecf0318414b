#include "filbertroad/dispatch/internal/run_time_model.hpp"

#include <gtest/gtest.h>
#include <random>

namespace filbertroad::dispatch::internal
{
namespace
{

using std::chrono::milliseconds;

TEST(run_time_model_test, declared_time_counts_until_enough_is_known)
{
    run_time_model model;
    model.observe(milliseconds(100), 500);
    EXPECT_EQ(model.predict(milliseconds(100)), milliseconds(100));
}

TEST(run_time_model_test, exact_declarations_are_believed)
{
    run_time_model model;
    for (int time = 50; time < 250; ++time)
    {
        model.observe(milliseconds(time), time);
    }
    EXPECT_NEAR(static_cast<double>(model.predict(milliseconds(200)).count()), 200, 5);
    EXPECT_NEAR(static_cast<double>(model.predict(milliseconds(60)).count()), 60, 5);
}

// Pattern: declared times off by 40 % around run times that vary as much. A task declared at a
// fifth of the usual time was taken for short, and stopped as stalled when it was not.
TEST(run_time_model_test, declared_time_far_from_the_usual_is_drawn_towards_it)
{
    run_time_model model;
    std::mt19937 generator(1);
    std::normal_distribution<double> spread(0, 0.4);
    for (int task = 0; task < 3'000; ++task)
    {
        auto const actual = 200 * std::exp(spread(generator));
        auto const declared = actual * std::exp(spread(generator));
        model.observe(milliseconds(static_cast<int>(declared)), actual);
    }
    auto const expected = static_cast<double>(model.predict(milliseconds(40)).count());
    EXPECT_GT(expected, 70);
    EXPECT_LT(expected, 120);
}

} // namespace
} // namespace filbertroad::dispatch::internal

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/hash.hpp"
#include "filbertroad/base/result.hpp"

#include <gtest/gtest.h>

namespace filbertroad::base
{
namespace
{

// Guards against a hash that differs between versions: every key would move to another shard.
TEST(hash, hash_values_are_stable_across_versions)
{
    EXPECT_EQ(hash64(""), 0xEF46DB3751D8E999ULL);
    EXPECT_EQ(hash64("a"), 0xD24EC4F1A98C6E5BULL);
}

TEST(hash, sha256_has_32_bytes_and_depends_on_the_text)
{
    EXPECT_EQ(sha256("a").size(), 32U);
    EXPECT_NE(sha256("a"), sha256("b"));
}

// Guards against intervals that change when the wall clock is corrected.
TEST(clock, steady_time_ignores_a_shift_of_the_wall_clock)
{
    manual_clock clock;
    auto const before = clock.steady_now();
    clock.shift_system(std::chrono::hours(-3));
    EXPECT_EQ(clock.steady_now(), before);
}

TEST(clock, unix_milliseconds_round_trip)
{
    EXPECT_EQ(to_unix_ms(from_unix_ms(1234567890123)), 1234567890123U);
}

} // namespace
} // namespace filbertroad::base

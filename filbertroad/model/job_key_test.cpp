#include "filbertroad/model/job_key.hpp"

#include <gtest/gtest.h>

namespace filbertroad::model
{
namespace
{

TEST(parse_key, reads_the_creation_time)
{
    auto const key = parse_key("1790000000000-order-17");
    ASSERT_TRUE(key);
    EXPECT_EQ(base::to_unix_ms(key.value().created), 1790000000000U);
}

// Guards against keys without a creation time: their age is unknown, so that they could run again
// after the retention time.
TEST(parse_key, refuses_keys_without_time_or_suffix)
{
    for (auto const* text : {"", "order-17", "1790000000000", "1790000000000-", "179000000000-x",
                             "1790000000000-a b", "+790000000000-x", "17900000000000-x"})
    {
        EXPECT_FALSE(parse_key(text)) << text;
    }
    EXPECT_FALSE(parse_key("1790000000000-" + std::string(max_key_suffix + 1, 'x')));
}

TEST(is_valid_name, refuses_empty_too_long_and_malformed_names)
{
    EXPECT_TRUE(is_valid_name("pricing.stock-1"));
    EXPECT_FALSE(is_valid_name(""));
    EXPECT_FALSE(is_valid_name("a/b"));
    EXPECT_FALSE(is_valid_name(std::string(max_name + 1, 'x')));
}

} // namespace
} // namespace filbertroad::model

#include "filbertroad/model/shared_text.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace filbertroad::model
{
namespace
{

// Guards against orders that each hold the payload of their job.
TEST(shared_text_test, copies_share_the_text)
{
    shared_text const text = std::string(4'000, 'p');
    std::vector<shared_text> const copies(3, text);
    for (auto const& copy : copies)
    {
        EXPECT_EQ(copy.str().data(), text.str().data());
        EXPECT_EQ(copy, text);
    }
}

TEST(shared_text_test, texts_are_compared_by_value)
{
    EXPECT_EQ(shared_text("a"), shared_text(std::string("a")));
    EXPECT_FALSE(shared_text("a") == shared_text("b"));
    EXPECT_EQ(shared_text(), shared_text(""));
    EXPECT_EQ(shared_text().str(), "");
}

} // namespace
} // namespace filbertroad::model

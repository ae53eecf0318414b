#include "filbertroad/wire/framing.hpp"

#include <gtest/gtest.h>
#include <random>

namespace filbertroad::wire
{
namespace
{

link_message ping_at(std::uint64_t time)
{
    link_message message;
    message.mutable_ping()->set_sent_steady_ns(time);
    return message;
}

// Guards against messages that are lost or merged when TCP splits the stream at any byte.
TEST(frame_reader, delivers_each_message_once_for_any_chunking)
{
    std::string stream;
    for (std::uint64_t i = 1; i <= 50; ++i)
    {
        append_frame(ping_at(i * 1000003), stream);
    }
    std::mt19937_64 random(7);
    for (int round = 0; round < 200; ++round)
    {
        frame_reader reader(default_max_frame_bytes);
        std::uint64_t count = 0;
        for (std::size_t offset = 0; offset < stream.size();)
        {
            auto const chunk_size =
                std::min<std::size_t>(1 + random() % 40, stream.size() - offset);
            auto const error = reader.feed(
                std::string_view(stream).substr(offset, chunk_size), [&](link_message& message)
                { EXPECT_EQ(message.ping().sent_steady_ns(), ++count * 1000003); });
            ASSERT_FALSE(error);
            offset += chunk_size;
        }
        EXPECT_EQ(count, 50U);
    }
}

// Guards against a peer that makes the reader buffer an unbounded amount of memory.
TEST(frame_reader, rejects_a_length_over_the_limit_before_the_body_arrives)
{
    frame_reader reader(100);
    auto const error = reader.feed(std::string("\xff\xff\xff\x7f", 4), [](link_message&) {});
    ASSERT_TRUE(error);
    EXPECT_EQ(error->code, frame_error::too_long);
}

TEST(frame_reader, rejects_bytes_that_are_not_a_message)
{
    frame_reader reader(100);
    auto const error = reader.feed(std::string("\x03\0\0\0\xff\xff\xff", 7), [](link_message&) {});
    ASSERT_TRUE(error);
    EXPECT_EQ(error->code, frame_error::corrupt);
}

} // namespace
} // namespace filbertroad::wire

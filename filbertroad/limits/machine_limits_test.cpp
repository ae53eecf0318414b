#include "filbertroad/limits/machine_limits.hpp"

#include <gtest/gtest.h>

namespace filbertroad::limits
{
namespace
{

// Guards against totals beyond a small machine, and against limits of 0 on a tiny one.
TEST(machine_limits_test, bytes_for_peers_leave_room_for_the_process)
{
    EXPECT_EQ(peer_bytes(120), 96 * mib);
    EXPECT_EQ(peer_bytes(32), 16 * mib);
}

// Guards against more connections than the process is granted descriptors.
TEST(machine_limits_test, connections_follow_the_lower_number_of_descriptors)
{
    EXPECT_EQ(usable_descriptors(0, 1'024), 1'024U);
    EXPECT_EQ(usable_descriptors(3'075, 1'024), 1'024U);
    EXPECT_EQ(usable_descriptors(500, 1'024), 500U);
    EXPECT_EQ(connections_beside(1'000, 300), 700U);
    EXPECT_EQ(connections_beside(100, 300), 50U);
}

} // namespace
} // namespace filbertroad::limits

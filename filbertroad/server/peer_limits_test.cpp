#include "filbertroad/server/peer_limits.hpp"

#include <gtest/gtest.h>

namespace filbertroad::server
{
namespace
{

constexpr std::size_t mib = 1024UL * 1024;

// Guards against totals that together exceed a small machine.
TEST(role_peer_limits, totals_follow_the_machine)
{
    settings::entry_settings settings;
    settings.memory_mb = 120;
    settings.max_body_bytes = mib;
    settings.file_descriptors = 3'075;
    auto const entry = make_entry_limits(settings, 1'000'000, {});
    EXPECT_LT(entry.http.max_buffered_bytes + entry.links.max_buffered_bytes + entry.max_held_bytes,
              (120 - 13) * mib);
    EXPECT_LE(entry.http.max_connections + entry.links.max_accepted_links + 200 + 64, 3'075U);
    EXPECT_GE(entry.http.max_connections, 1'500U);
    settings::agent_settings agent_settings;
    agent_settings.memory_mb = 120;
    auto const agent = make_agent_limits(agent_settings, {});
    EXPECT_LT(agent.http.max_buffered_bytes + agent.links.max_buffered_bytes +
                  agent.max_ledger_bytes,
              (120 - 13) * mib);
}

// Guards against a default that is tighter than what a caller may use by the stated limits.
TEST(role_peer_limits, stated_limits_are_served)
{
    settings::entry_settings const settings;
    auto const entry = make_entry_limits(settings, 20'000, {});
    EXPECT_EQ(entry.http.max_body_bytes, settings.max_body_bytes);
    EXPECT_GE(entry.http.max_buffered_bytes, 240 * mib);
    EXPECT_EQ(entry.http.max_connections, settings.max_connections);
    EXPECT_EQ(entry.links.max_message_bytes, 32 * mib);
    EXPECT_EQ(entry.max_held_bytes, settings.max_held_bytes);
    settings::agent_settings const agent;
    EXPECT_EQ(make_agent_limits(agent, {}).max_ledger_bytes, agent.max_ledger_bytes);
}

// Guards against a machine on which the largest body that its settings allow is never accepted.
TEST(role_peer_limits, largest_body_fits_into_the_totals_of_a_small_machine)
{
    settings::entry_settings settings;
    settings.memory_mb = 64;
    auto const entry = make_entry_limits(settings, 1'024, {});
    EXPECT_GT(entry.http.max_buffered_bytes, settings.max_body_bytes);
    EXPECT_GT(entry.links.max_message_bytes, settings.max_body_bytes);
}

} // namespace
} // namespace filbertroad::server

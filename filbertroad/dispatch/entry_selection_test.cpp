#include "filbertroad/dispatch/entry_selection.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace filbertroad::dispatch
{
namespace
{

constexpr std::size_t max_links = 12;

std::vector<std::string> entry_addresses(std::size_t count)
{
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < count; ++index)
    {
        addresses.push_back("10." + std::to_string(index % 5) + ".0." + std::to_string(index) +
                            ":7720");
    }
    return addresses;
}

/// An agent whose attempts to connect succeed for entries that are up.
class entry_selection_test : public testing::Test
{
protected:
    explicit entry_selection_test() { this->add_entries(35); }

    void add_entries(std::size_t count)
    {
        for (auto const& address : entry_addresses(count))
        {
            this->selection.add(address);
        }
    }

    void advance_time(milliseconds time)
    {
        for (milliseconds passed{}; passed < time; passed += milliseconds(25))
        {
            this->now += milliseconds(25);
            for (auto const& address : this->selection.due(this->now))
            {
                this->selection.started(address);
                if (this->down.contains(address))
                {
                    this->selection.failed(address, this->now);
                    continue;
                }
                this->selection.connected(address, this->now);
                this->linked.insert(address);
            }
            for (auto const& address : this->selection.surplus(this->now))
            {
                this->selection.released(address);
                this->linked.erase(address);
            }
        }
    }

    void lose(std::string const& address)
    {
        this->down.insert(address);
        if (this->linked.erase(address) != 0)
        {
            this->selection.failed(address, this->now);
        }
    }

    base::steady_time now{std::chrono::hours(1)};
    entry_selection selection{"agent-1", max_links};
    std::set<std::string> down;
    std::set<std::string> linked;
};

TEST_F(entry_selection_test, an_agent_links_to_a_bounded_number_of_entries)
{
    this->advance_time(milliseconds(100));
    EXPECT_EQ(this->linked.size(), max_links);
}

TEST_F(entry_selection_test, a_fleet_with_few_entries_is_linked_completely)
{
    entry_selection small("agent-1", max_links);
    for (auto const& address : entry_addresses(max_links))
    {
        small.add(address);
    }
    EXPECT_EQ(small.due(this->now).size(), max_links);
}

// Guards against an agent that is unusable, or usable to few entries, after its entries failed.
TEST_F(entry_selection_test, entries_that_are_lost_are_replaced_within_a_second)
{
    this->advance_time(milliseconds(100));
    for (auto const& address : std::set(this->linked))
    {
        this->lose(address);
    }
    this->advance_time(milliseconds(1'000));
    EXPECT_EQ(this->linked.size(), max_links);
}

// Guards against links that move for good, and so pile up at the entries that were never lost.
TEST_F(entry_selection_test, links_return_to_their_entries_when_these_are_back)
{
    this->advance_time(milliseconds(100));
    auto const original = this->linked;
    this->lose(*original.begin());
    this->lose(*original.rbegin());
    this->advance_time(milliseconds(5'000));
    EXPECT_EQ(this->linked.size(), max_links);
    this->down.clear();
    this->advance_time(milliseconds(5'000));
    EXPECT_EQ(this->linked, original);
}

// Guards against agents without an entry after all entries were down for longer than any backoff.
TEST_F(entry_selection_test, an_agent_is_linked_within_a_second_after_all_entries_restarted)
{
    for (auto const& address : entry_addresses(35))
    {
        this->down.insert(address);
    }
    this->advance_time(milliseconds(10'000));
    EXPECT_TRUE(this->linked.empty());
    this->down.clear();
    this->advance_time(milliseconds(1'000));
    EXPECT_GE(this->linked.size(), max_links);
}

TEST_F(entry_selection_test, a_link_that_was_reset_once_is_not_replaced)
{
    this->advance_time(milliseconds(100));
    auto const original = this->linked;
    auto const reset = *original.begin();
    this->linked.erase(reset);
    this->selection.failed(reset, this->now);
    this->advance_time(milliseconds(100));
    EXPECT_EQ(this->linked, original);
}

// Guards against an entry that no agent, or every agent, chooses.
TEST(entry_selection_balance_test, agents_of_160_are_spread_over_35_entries)
{
    std::map<std::string, std::size_t> agents_of;
    for (std::size_t index = 0; index < 160; ++index)
    {
        auto ranked = rank_entries("agent-" + std::to_string(index), entry_addresses(35));
        ranked.resize(max_links);
        for (auto const& entry : ranked)
        {
            ++agents_of[entry];
        }
    }
    ASSERT_EQ(agents_of.size(), 35U);
    for (auto const& [entry, agents] : agents_of)
    {
        // The mean is 55; the bounds are four standard deviations away.
        EXPECT_GE(agents, 30U) << entry;
        EXPECT_LE(agents, 80U) << entry;
    }
}

// Guards against a fleet-wide reconnection when one entry joins.
TEST(entry_selection_balance_test, an_added_entry_moves_one_link_of_an_agent_at_most)
{
    for (std::size_t index = 0; index < 160; ++index)
    {
        auto const agent = "agent-" + std::to_string(index);
        auto before = rank_entries(agent, entry_addresses(35));
        auto after = rank_entries(agent, entry_addresses(36));
        before.resize(max_links);
        after.resize(max_links);
        std::set<std::string> const kept(before.begin(), before.end());
        auto const moved =
            std::count_if(after.begin(), after.end(),
                          [&](std::string const& entry) { return !kept.contains(entry); });
        EXPECT_LE(moved, 1);
    }
}

} // namespace
} // namespace filbertroad::dispatch

// Tests of confirmation together with membership under network partitions, process pauses and log
// outages.

#include "filbertroad/control/region_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace filbertroad::control
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Three entries and six agents in three zones, all registered.
region_simulation make_region()
{
    region_simulation region;
    for (auto const* zone : {"a", "b", "c"})
    {
        region.add_entry(std::string("e") + zone, zone);
        region.add_agent(std::string("g1") + zone, zone);
        region.add_agent(std::string("g2") + zone, zone);
    }
    region.run(seconds(5));
    EXPECT_EQ(region.replay().members().size(), 3U);
    EXPECT_EQ(region.replay().agents().size(), 6U);
    return region;
}

std::size_t count_confirmed(region_simulation const& region)
{
    std::size_t count = 0;
    for (auto const& [name, entry] : region.entries)
    {
        count += region.confirmed(name) ? 1 : 0;
    }
    return count;
}

void set_log_reachable(region_simulation& region, bool reachable)
{
    for (auto& [name, entry] : region.entries)
    {
        entry->log_reachable = reachable;
    }
}

// Guards against a region that stops all work when the log is down for all entries.
TEST(partition, region_wide_log_outage_keeps_all_entries_confirmed)
{
    auto region = make_region();
    set_log_reachable(region, false);
    region.run(seconds(3600));
    EXPECT_EQ(count_confirmed(region), 3U);
    EXPECT_EQ(region.source("ea"), confirmation_source::outage);
    set_log_reachable(region, true);
    region.run(seconds(1));
    EXPECT_EQ(region.source("ea"), confirmation_source::log);
    EXPECT_EQ(region.replay().members().size(), 3U);
}

// Guards against a zone that continues to act on an outdated state after it was partitioned from
// the log and the other zones.
TEST(partition, isolated_zone_loses_confirmation_and_the_others_keep_it)
{
    auto region = make_region();
    region.entries.at("ea")->log_reachable = false;
    region.isolate_zone("a");
    region.run(seconds(10));
    EXPECT_FALSE(region.confirmed("ea"));
    EXPECT_TRUE(region.confirmed("eb"));
    EXPECT_EQ(region.replay().members().size(), 2U);
    EXPECT_EQ(region.violation, "");
}

// Guards against a zone that stops although it has lost only its access to the log.
TEST(partition, zone_without_log_access_is_confirmed_by_peers)
{
    auto region = make_region();
    region.entries.at("ea")->log_reachable = false;
    region.run(seconds(10));
    EXPECT_EQ(region.source("ea"), confirmation_source::peer);
    // Changes still reach the zone.
    wire::control_record record;
    record.mutable_zone()->set_name("b");
    region.log.push_back(record);
    region.run(milliseconds(300));
    EXPECT_FALSE(region.entries.at("ea")->state.zone("b").in_service());
    EXPECT_TRUE(region.confirmed("ea"));
}

// Guards against unnecessary removals when only the link between two zones fails.
TEST(partition, broken_link_between_two_zones_removes_no_member)
{
    for (bool const one_way : {true, false})
    {
        auto region = make_region();
        region.block_link("ea", "eb");
        if (!one_way)
        {
            region.block_link("eb", "ea");
        }
        region.run(seconds(20));
        EXPECT_EQ(region.replay().members().size(), 3U) << one_way;
        EXPECT_EQ(count_confirmed(region), 3U) << one_way;
    }
}

// Guards against a paused member that, when it resumes, votes to remove all others or acts on its
// outdated view.
TEST(partition, paused_member_is_removed_and_rejoins_only_with_a_new_incarnation)
{
    auto region = make_region();
    region.entries.at("eb")->paused = true;
    region.run(seconds(4));
    EXPECT_EQ(region.replay().members().size(), 2U);
    EXPECT_FALSE(region.confirmed("eb"));
    region.entries.at("eb")->paused = false;
    region.run(seconds(4));
    EXPECT_EQ(region.replay().members().size(), 2U);
    EXPECT_TRUE(region.entries.at("eb")->state.is_removed(region.entries.at("eb")->id()));
    region.add_entry("eb", "b");
    region.run(seconds(4));
    EXPECT_EQ(region.replay().members().size(), 3U);
    EXPECT_EQ(count_confirmed(region), 3U);
    EXPECT_EQ(region.violation, "");
}

// Guards against a region without owners after all its entries were replaced at once, so that no
// majority of the view is left to vote.
TEST(partition, replaced_entries_are_removed_by_agent_promises)
{
    auto region = make_region();
    region.entries.clear();
    for (auto const* zone : {"a", "b", "c"})
    {
        region.add_entry(std::string("new-e") + zone, zone);
    }
    region.run(seconds(15));
    EXPECT_EQ(region.replay().members().size(), 3U);
    EXPECT_EQ(count_confirmed(region), 3U);
    EXPECT_TRUE(std::any_of(region.log.begin(), region.log.end(),
                            [](auto const& record) { return record.has_replaced(); }));
    EXPECT_EQ(region.violation, "");
}

// Guards against records that are appended again and again, and against records that are not
// retried after their append was lost.
TEST(partition, only_lost_appends_are_retried)
{
    region_simulation region;
    region.appends_to_lose = 4;
    region.add_entry("ea", "a");
    region.add_entry("eb", "b");
    region.add_entry("ec", "c");
    region.add_agent("g1", "a");
    region.run(seconds(20));
    EXPECT_EQ(region.replay().members().size(), 3U);
    EXPECT_EQ(region.replay().agents().size(), 1U);
    auto const records = region.log.size();
    region.run(seconds(300));
    EXPECT_EQ(region.log.size(), records);
    region.run(seconds(600));
    EXPECT_EQ(region.log.size(), records + 1) << "one snapshot";
}

// Guards against an endless cycle of removals and registrations of an agent that one entry cannot
// reach.
TEST(partition, agent_unreachable_from_one_entry_is_not_reregistered_endlessly)
{
    auto region = make_region();
    for (auto const& [name, agent] : region.agents)
    {
        region.block_both_directions("ea", name);
    }
    auto const records = region.log.size();
    region.run(seconds(300));
    EXPECT_EQ(region.replay().agents().size(), 6U);
    EXPECT_LE(region.log.size(), records + 4 * region.agents.size());
}

// Guards against unresponsive members that are never removed, because half of the members has
// failed and the other half is no majority.
TEST(partition, unresponsive_half_of_the_members_is_removed_by_agent_promises)
{
    region_simulation region;
    region.add_entry("ea", "a");
    region.add_entry("eb", "b");
    region.add_agent("g1", "a");
    region.run(seconds(5));
    region.entries.erase("eb");
    region.run(seconds(10));
    EXPECT_EQ(region.replay().members().size(), 1U);
    EXPECT_TRUE(region.confirmed("ea"));
}

class fault_injector
{
public:
    explicit fault_injector(std::uint64_t seed) : random(seed) {}

    template <class Map>
    auto& pick_random(Map& map)
    {
        return *std::next(map.begin(), static_cast<std::ptrdiff_t>(this->random_below(map.size())));
    }

    region_simulation make_region()
    {
        region_simulation region;
        auto const entries = 2 + this->random_below(4);
        for (std::uint64_t index = 0; index < entries; ++index)
        {
            region.add_entry("e" + std::to_string(index), this->zone());
        }
        auto const agents = 1 + this->random_below(6);
        for (std::uint64_t index = 0; index < agents; ++index)
        {
            region.add_agent("g" + std::to_string(index), this->zone());
        }
        region.run(seconds(4));
        return region;
    }

    void inject_random_fault(region_simulation& region)
    {
        auto& entry = *this->pick_random(region.entries).second;
        switch (this->random_below(8))
        {
        case 0:
            region.isolate_zone(this->zone());
            break;
        case 1:
            region.block_link(this->random_process_name(region), this->random_process_name(region));
            break;
        case 2:
            region.blocked_links.clear();
            break;
        case 3:
            set_log_reachable(region, this->random_below(2) == 0);
            break;
        case 4:
            this->set_zone_log_reachable(region, this->zone(), this->random_below(2) == 0);
            break;
        case 5:
            entry.paused = !entry.paused;
            break;
        case 6:
            region.add_entry(entry.self.id().name(), entry.self.zone());
            break;
        default:
            region.add_entry("n" + std::to_string(this->random_below(3)), this->zone());
        }
    }

    std::uint64_t random_below(std::uint64_t limit) { return this->random() % limit; }

private:
    std::string zone() { return std::string(1, static_cast<char>('a' + this->random_below(3))); }

    std::string random_process_name(region_simulation& region)
    {
        return this->random_below(2) == 0 ? this->pick_random(region.entries).first
                                          : this->pick_random(region.agents).first;
    }

    void set_zone_log_reachable(region_simulation& region, std::string const& zone, bool reachable)
    {
        for (auto& [name, entry] : region.entries)
        {
            if (entry->self.zone() == zone)
            {
                entry->log_reachable = reachable;
            }
        }
    }

    std::mt19937_64 random;
};

// Guards against two owners of one shard: an entry relies on an old view, in outage mode or
// otherwise, after another entry was confirmed in a newer view.
TEST(partition_property, no_entry_acts_on_a_view_after_a_newer_view_was_confirmed)
{
    std::size_t outages = 0;
    std::size_t replacements = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
    {
        fault_injector injector(seed);
        auto region = injector.make_region();
        for (int step = 0; step < 15; ++step)
        {
            injector.inject_random_fault(region);
            region.run(milliseconds(100 * (1 + injector.random_below(60))));
            ASSERT_EQ(region.violation, "") << "seed " << seed;
            for (auto const& [name, entry] : region.entries)
            {
                outages += region.source(name) == confirmation_source::outage ? 1 : 0;
            }
        }
        replacements += static_cast<std::size_t>(std::count_if(region.log.begin(), region.log.end(),
                                                               [](auto const& record)
                                                               { return record.has_replaced(); }));
    }
    EXPECT_GT(outages, 100U) << "the schedules no longer reach outage mode";
    EXPECT_GT(replacements, 20U) << "the schedules no longer replace views";
}

} // namespace
} // namespace filbertroad::control

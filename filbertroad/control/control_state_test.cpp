#include "filbertroad/control/control_state.hpp"

#include "filbertroad/control/tables.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

#include <random>

namespace filbertroad::control
{
namespace
{

constexpr std::uint64_t start_unix_ms = 1'800'000'000'000;

wire::process_id make_id(std::string const& name, std::uint64_t incarnation)
{
    return wire::to_wire(model::process_id{name, incarnation});
}

wire::control_record make_joined(std::string const& name, std::uint64_t incarnation)
{
    wire::control_record record;
    auto* const entry = record.mutable_joined()->mutable_entry();
    *entry->mutable_id() = make_id(name, incarnation);
    entry->set_zone("khi-b");
    return record;
}

wire::control_record make_vote(wire::process_id const& subject, wire::process_id const& voter)
{
    wire::control_record record;
    *record.mutable_vote()->mutable_subject() = subject;
    *record.mutable_vote()->mutable_voter() = voter;
    return record;
}

/// The serialized state without `next_offset`, which every record changes.
std::string serialize_without_next_offset(control_state const& state)
{
    auto snapshot = state.snapshot();
    snapshot.clear_next_offset();
    return snapshot.SerializeAsString();
}

/// A log, and the state of a reader that has applied all its records.
struct log_model
{
    std::vector<control_log_entry> records;
    control_state state;

    apply_result append(wire::control_record record)
    {
        // Gaps in the offsets stand for records by other writers that this program does not know.
        auto const offset = this->state.next_offset() + this->records.size() % 2;
        record.set_written_unix_ms(start_unix_ms + offset);
        this->records.push_back({offset, record});
        return this->state.apply(offset, record, read_time(offset));
    }

    static base::system_time read_time(std::uint64_t offset)
    {
        return base::from_unix_ms(start_unix_ms + offset);
    }

    /// Applies the records from `state.next_offset()` on.
    [[nodiscard]] control_state replay(control_state state) const
    {
        for (auto const& [offset, record] : this->records)
        {
            if (offset >= state.next_offset())
            {
                state.apply(offset, record, read_time(offset));
            }
        }
        return state;
    }
};

class record_generator
{
public:
    explicit record_generator(std::uint64_t seed) : random(seed) {}

    std::uint64_t random_below(std::uint64_t limit) { return this->random() % limit; }

    wire::control_record next(control_state const& state)
    {
        wire::control_record record;
        switch (this->random_below(10))
        {
        case 0:
            this->fill_table(state, *record.mutable_table());
            break;
        case 1:
            this->fill_service(state.zones(), *record.mutable_zone());
            break;
        case 2:
            this->fill_service(state.targets(), *record.mutable_target());
            break;
        case 3:
            return make_joined(this->name(), 1 + this->random_below(6));
        case 4:
            *record.mutable_leaving()->mutable_entry() = this->member(state);
            break;
        case 5:
            *record.mutable_left()->mutable_entry() = this->member(state);
            break;
        case 6:
            return make_vote(this->member(state), this->member(state));
        case 7:
            this->fill_replaced(state, *record.mutable_replaced());
            break;
        case 8:
            this->fill_agents(record);
            break;
        default:
            *record.mutable_snapshot() = state.snapshot();
            record.mutable_snapshot()->set_as_of(state.version() -
                                                 (this->random_below(3) == 0 ? 1 : 0));
        }
        return record;
    }

private:
    std::string name() { return std::string(1, static_cast<char>('a' + this->random_below(5))); }

    wire::process_id member(control_state const& state)
    {
        if (state.members().empty() || this->random_below(4) == 0)
        {
            return make_id(this->name(), 1 + this->random_below(6));
        }
        return state.members()[this->random_below(state.members().size())].id();
    }

    void fill_table(control_state const& state, wire::table_change& change)
    {
        change.set_base(this->random_below(3) == 0 ? 0 : state.routes_version());
        auto* const route = change.mutable_routes()->add_routes();
        route->set_name(this->random_below(4) == 0 ? "not a name" : this->name());
        route->set_pool(this->name());
    }

    void fill_service(std::vector<wire::service_state> const& known, wire::service_change& change)
    {
        change.set_name(this->name());
        for (auto const& state : known)
        {
            if (state.name() == change.name() && this->random_below(3) != 0)
            {
                change.set_base(state.version());
            }
        }
        change.set_in_service(this->random_below(2) == 0);
    }

    void fill_replaced(control_state const& state, wire::view_replaced& replaced)
    {
        replaced.set_base(this->random_below(3) == 0 ? 0 : state.view());
        *replaced.add_removed() = this->member(state);
        for (auto const& agent : state.agents())
        {
            if (this->random_below(4) != 0)
            {
                *replaced.add_promised_agents() = agent.id();
            }
        }
    }

    void fill_agents(wire::control_record& record)
    {
        auto const id = make_id(this->name(), 1 + this->random_below(3));
        if (this->random_below(3) == 0)
        {
            *record.mutable_agents_out()->add_agents() = id;
            return;
        }
        *record.mutable_agents_in()->add_agents()->mutable_id() = id;
    }

    std::mt19937_64 random;
};

// Guards against two processes that have read the same log but act on different states.
TEST(control_state_property, replicas_from_any_snapshot_reach_identical_state)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        log_model log;
        record_generator random(seed);
        std::vector<control_state> readers(1);
        for (int step = 0; step < 60; ++step)
        {
            auto const before = log.state;
            auto const record = random.next(before);
            auto const apply_result = log.append(record);
            ASSERT_GE(log.state.version(), before.version());
            ASSERT_GE(log.state.view(), before.view());
            ASSERT_GE(log.state.routes_version(), before.routes_version());
            if (apply_result.outcome != apply_outcome::accepted || record.has_snapshot())
            {
                ASSERT_EQ(serialize_without_next_offset(log.state),
                          serialize_without_next_offset(before));
            }
            if (random.random_below(15) == 0)
            {
                readers.push_back(control_state::from_snapshot(log.state.snapshot()).value());
            }
        }
        auto const expected = log.state.snapshot().SerializeAsString();
        for (auto const& reader : readers)
        {
            ASSERT_EQ(log.replay(reader).snapshot().SerializeAsString(), expected);
        }
    }
}

// Guards against a reader that restores a snapshot that other readers ignored, because another
// record was appended between the reading of its state and its append.
TEST(control_state_property, reader_of_a_truncated_log_restores_the_last_valid_snapshot)
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        log_model log;
        record_generator random(seed);
        for (int step = 0; step < 40; ++step)
        {
            log.append(random.next(log.state));
        }
        wire::control_record snapshot;
        *snapshot.mutable_snapshot() = log.state.snapshot();
        log.append(make_joined("z", 1));
        log.append(snapshot);
        *snapshot.mutable_snapshot() = log.state.snapshot();
        log.append(snapshot);
        log.append(make_joined("z", 2));
        auto const retained = std::span(log.records).last(2 + random.random_below(3));
        auto const first = log.records[log.records.size() - retained.size() - 1].offset + 1;
        auto const restored_state = restore_from_truncated_log(retained, first);
        ASSERT_TRUE(restored_state);
        ASSERT_EQ(log.replay(*restored_state).snapshot().SerializeAsString(),
                  log.state.snapshot().SerializeAsString());
    }
}

// Guards against a reader that misses a record which was appended before the snapshot, was not read
// by the writer of the snapshot, and has expired since.
TEST(control_state, snapshot_that_misses_an_expired_record_is_not_restored)
{
    log_model log;
    log.append(make_joined("a", 1));
    wire::control_record snapshot;
    *snapshot.mutable_snapshot() = log.state.snapshot();
    auto const read_up_to = log.state.next_offset();
    log.append(make_joined("b", 1));
    auto const missed = log.records.back().offset;
    log.append(snapshot);
    auto const retained = std::span(log.records).last(1);
    EXPECT_TRUE(restore_from_truncated_log(retained, read_up_to));
    EXPECT_FALSE(restore_from_truncated_log(retained, missed + 1));
}

// Guards against two operators whose concurrent changes are both reported as accepted.
TEST(control_state_property, only_the_first_of_concurrent_changes_to_one_version_is_accepted)
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        log_model log;
        record_generator random(seed);
        for (int round = 0; round < 5; ++round)
        {
            auto const base = log.state.routes_version();
            auto const competitors = 2 + random.random_below(4);
            std::size_t accepted = 0;
            for (std::uint64_t competitor = 0; competitor < competitors; ++competitor)
            {
                wire::control_record record;
                record.mutable_table()->set_base(base);
                auto* const route = record.mutable_table()->mutable_routes()->add_routes();
                route->set_name("r" + std::to_string(competitor));
                route->set_pool("p");
                auto const outcome = log.append(record).outcome;
                ASSERT_EQ(outcome,
                          competitor == 0 ? apply_outcome::accepted : apply_outcome::conflict);
                accepted += outcome == apply_outcome::accepted ? 1 : 0;
            }
            ASSERT_EQ(accepted, 1U);
            ASSERT_NE(log.state.find_route("r0"), nullptr);
        }
    }
}

template <class Table>
std::string validation_detail(Table const& table)
{
    auto const violation = validate(table);
    return violation ? violation->detail : "";
}

// Guards against tables that the operator API accepts and the readers of the log ignore, and
// against violations that do not say where they are.
TEST(tables, validation_errors_name_the_entry_and_the_field)
{
    wire::pools_table pools;
    for (auto const* name : {"fast", "slow"})
    {
        auto* const pool = pools.add_pools();
        pool->set_name(name);
        pool->set_service("pricing");
        pool->set_shards(2);
    }
    EXPECT_EQ(validation_detail(pools), "");
    pools.mutable_pools(1)->set_shards(3);
    EXPECT_EQ(validation_detail(pools),
              "pools[1] \"slow\", shards: other pools of service \"pricing\" have 2");
    pools.mutable_pools(0)->set_shards(0);
    EXPECT_EQ(validation_detail(pools), "pools[0] \"fast\", shards: must be 1 to 4096");

    wire::teams_table teams;
    for (auto const* name : {"north", "south"})
    {
        auto* const team = teams.add_teams();
        team->set_name(name);
        team->set_token("secret");
        team->set_weight(1);
    }
    EXPECT_EQ(validation_detail(teams), "teams[1] \"south\", token: is the token of another team");
    teams.mutable_teams(0)->set_weight(0);
    EXPECT_EQ(validation_detail(teams), "teams[0] \"north\", weight: must be at least 1");

    log_model log;
    wire::control_record record;
    record.mutable_table()->mutable_routes()->add_routes()->set_name("a b");
    auto const apply_result = log.append(record);
    EXPECT_EQ(apply_result.outcome, apply_outcome::ignored);
    EXPECT_EQ(apply_result.detail,
              "routes[0] \"a b\", name: must be 1 to 64 characters of [A-Za-z0-9_.-]");
    EXPECT_EQ(log.state.routes_version(), 0U);
}

// Guards against votes of an earlier view that remove a member which is reachable again in a later
// view.
TEST(control_state, votes_of_an_earlier_view_do_not_remove_a_member)
{
    log_model log;
    for (auto const* name : {"a", "b", "c", "d"})
    {
        log.append(make_joined(name, 1));
    }
    log.append(make_vote(make_id("d", 1), make_id("a", 1)));
    log.append(make_vote(make_id("d", 1), make_id("b", 1)));
    EXPECT_TRUE(log.state.is_member({"d", 1}));
    log.append(make_joined("c", 2));
    log.append(make_vote(make_id("d", 1), make_id("c", 2)));
    EXPECT_TRUE(log.state.is_member({"d", 1}));
    log.append(make_vote(make_id("d", 1), make_id("a", 1)));
    log.append(make_vote(make_id("d", 1), make_id("b", 1)));
    EXPECT_FALSE(log.state.is_member({"d", 1}));
    EXPECT_EQ(log.state.members_removed_since(base::from_unix_ms(start_unix_ms)).size(), 2U);
    EXPECT_EQ(log.append(make_joined("d", 1)).outcome, apply_outcome::ignored);
    EXPECT_EQ(log.append(make_joined("d", 2)).outcome, apply_outcome::accepted);
}

// Guards against shards that move although their owner stays, and against shards that a leaving
// member still owns.
TEST(control_state, only_the_shards_of_a_leaving_member_move)
{
    log_model log;
    for (auto const* name : {"a", "b", "c"})
    {
        log.append(make_joined(name, 1));
    }
    auto const before = log.state;
    wire::control_record leaving;
    *leaving.mutable_leaving()->mutable_entry() = make_id("b", 1);
    EXPECT_TRUE(log.append(leaving).view_changed);
    std::size_t moved = 0;
    for (std::uint32_t shard = 0; shard < 64; ++shard)
    {
        auto const old_owner = before.owner_of("pricing", shard)->id().name();
        auto const new_owner = log.state.owner_of("pricing", shard)->id().name();
        EXPECT_NE(new_owner, "b");
        EXPECT_EQ(old_owner == "b", old_owner != new_owner);
        moved += old_owner == "b" ? 1 : 0;
    }
    EXPECT_GT(moved, 0U);
}

// Guards against agents that refuse every start because their state seems outdated after a change
// of a table, which is not sent to agents.
TEST(control_state, table_change_does_not_move_the_agent_offset)
{
    log_model log;
    log.append(make_joined("a", 1));
    auto const version = log.state.agent_offset();
    wire::control_record record;
    record.mutable_table()->mutable_routes();
    ASSERT_EQ(log.append(record).outcome, apply_outcome::accepted);
    EXPECT_EQ(log.state.agent_offset(), version);
    EXPECT_EQ(log.state.agent_state().offset(), version);
    record.mutable_zone()->set_name("khi-b");
    ASSERT_EQ(log.append(record).outcome, apply_outcome::accepted);
    EXPECT_EQ(log.state.agent_offset(), log.state.version());
}

// Guards against a recovery that skips an agent which may still have a ledger.
TEST(control_state, removed_agents_are_still_listed_for_recovery)
{
    log_model log;
    wire::control_record joined;
    auto* const agent = joined.mutable_agents_in()->add_agents();
    *agent->mutable_id() = make_id("g1", 1);
    agent->set_service("pricing");
    log.append(joined);
    wire::control_record removed;
    *removed.mutable_agents_out()->add_agents() = make_id("g1", 1);
    EXPECT_TRUE(log.append(removed).agents_changed);
    auto const past = base::from_unix_ms(start_unix_ms);
    EXPECT_EQ(log.state.agents_registered_since("pricing", past).size(), 1U);
    EXPECT_EQ(log.state.agents_registered_since("pricing", past + std::chrono::hours(1)).size(),
              0U);
    EXPECT_TRUE(log.state.agents().empty());
}

// Guards against an outage mode that counts a restarted agent: its earlier process may have
// promised another entry to refuse this one, and the new process does not know of that promise.
TEST(control_state, restarted_or_unknown_agents_do_not_count_as_registered)
{
    log_model log;
    wire::control_record joined;
    for (auto const* name : {"g1", "g2", "g3"})
    {
        *joined.mutable_agents_in()->add_agents()->mutable_id() = make_id(name, 2);
    }
    log.append(joined);
    std::vector<model::process_id> const linked{{"g0", 1}, {"g1", 2}, {"g1", 3}, {"g2", 3}};
    EXPECT_EQ(log.state.count_registered(linked), 1U);
}

// Guards against agents that wait for a state that is never sent to them, because a record that
// does not concern agents moved the offset in pongs.
TEST(control_state, agent_offset_moves_only_with_members_zones_and_targets)
{
    log_model log;
    log.append(make_joined("a", 1));
    EXPECT_EQ(log.state.agent_offset(), log.state.version());
    auto const before = log.state.agent_offset();
    wire::control_record record;
    record.mutable_table()->mutable_routes();
    EXPECT_EQ(log.append(record).outcome, apply_outcome::accepted);
    EXPECT_EQ(log.state.agent_offset(), before);
    EXPECT_EQ(log.state.agent_state().offset(), before);
    record.mutable_zone()->set_name("khi-b");
    log.append(record);
    EXPECT_EQ(log.state.agent_offset(), log.state.version());
    auto const restored = control_state::from_snapshot(log.state.snapshot()).value();
    EXPECT_EQ(restored.agent_offset(), log.state.version());
}

} // namespace
} // namespace filbertroad::control

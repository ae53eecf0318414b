#include "filbertroad/server/shard_registry.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/net/internal/run_until.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace filbertroad::server
{
namespace
{

using std::chrono::seconds;

model::process_id const self{"entry-1", 1};
model::process_id const agent_id{"agent-1", 7};

/// A region with one entry, one route, one team and one agent with two slots.
class shard_registry_fixture : public testing::Test
{
protected:
    shard_registry_fixture()
        : shards(this->clock, self, {}, 1000,
                 {.to_agent = [this](model::process_id const& agent, std::uint64_t link,
                                     wire::link_message const& message)
                  { return this->send_to_agent(agent, link, message); },
                  .lookup = [](shard_id const&, model::process_id const&, wire::lookup const&) {},
                  .is_confirmed = [] { return true; }})
    {
        wire::control_record record;
        auto* const pool = record.mutable_table()->mutable_pools()->add_pools();
        pool->set_name("all");
        pool->set_service("pricing");
        pool->set_shards(1);
        this->apply(record);
        auto* const route = record.mutable_table()->mutable_routes()->add_routes();
        route->set_name("stock");
        route->set_pool("all");
        route->set_task_timeout_ms(1000);
        this->apply(record);
        auto* const team = record.mutable_table()->mutable_teams()->add_teams();
        team->set_name("demo");
        team->set_token("demo-token-000000001");
        team->set_weight(1);
        team->set_max_running(100);
        team->set_max_queued(100);
        this->apply(record);
        record.Clear();
        *record.mutable_joined()->mutable_entry()->mutable_id() = wire::to_wire(self);
        record.mutable_joined()->mutable_entry()->set_zone("khi-b");
        this->apply(record);
        auto* const agent = record.mutable_agents_in()->add_agents();
        *agent->mutable_id() = wire::to_wire(agent_id);
        agent->set_zone("khi-b");
        agent->set_service("pricing");
        this->apply(record);
        this->shards.apply_state(this->state, {});
        // After this time, new keys are fresh (younger than the last change of the tables by a safe
        // margin), and the ramp-up of the target's slots is over.
        this->clock.advance(seconds(20));
    }

    virtual bool send_to_agent(model::process_id const& /*agent*/, std::uint64_t /*link*/,
                               wire::link_message const& message)
    {
        this->sent.push_back(message);
        return true;
    }

    void apply(wire::control_record const& record)
    {
        auto const applied =
            this->state.apply(this->state.next_offset(), record, this->clock.system_now());
        ASSERT_EQ(applied.outcome, control::apply_outcome::accepted) << applied.detail;
    }

    [[nodiscard]] linked_agent hello(std::uint64_t link) const
    {
        linked_agent agent;
        agent.link = link;
        *agent.hello.mutable_id() = wire::to_wire(agent_id);
        agent.hello.set_zone("khi-b");
        agent.hello.mutable_target()->set_name("target-1");
        agent.hello.mutable_target()->set_service("pricing");
        agent.hello.mutable_target()->set_slots(2);
        agent.hello.mutable_target()->set_reachable(true);
        return agent;
    }

    void submit()
    {
        this->submit(std::to_string(base::to_unix_ms(this->clock.system_now())) + "-a");
    }

    void submit(std::string const& key)
    {
        wire::submit_request request;
        auto& job = *request.mutable_job();
        job.set_route("stock");
        job.set_key(key);
        job.set_team("demo");
        job.set_digest(base::sha256("body"));
        job.add_tasks()->set_payload("p");
        auto const target = resolve_route(this->state, "stock", job.key());
        ASSERT_TRUE(target);
        ASSERT_TRUE(this->shards.submit(target->id, request, target->limits,
                                        [this](shard_response const& answer)
                                        { this->answers.push_back(answer); }));
        this->tick();
    }

    void tick()
    {
        for (int i = 0; i < 100; ++i)
        {
            this->clock.advance(std::chrono::milliseconds(20));
            this->shards.tick();
        }
    }

    [[nodiscard]] std::vector<wire::start_task> starts() const
    {
        std::vector<wire::start_task> result;
        for (auto const& message : this->sent)
        {
            if (message.has_start())
            {
                result.push_back(message.start());
            }
        }
        return result;
    }

    base::manual_clock clock;
    control::control_state state;
    std::vector<wire::link_message> sent;
    std::vector<shard_response> answers;
    shard_registry shards;
};

// Guards against starting a task twice when the state is applied again with the list of linked
// agents.
TEST_F(shard_registry_fixture, reapplied_hello_does_not_start_tasks_twice)
{
    this->shards.agent_linked(this->state, this->hello(2));
    this->submit();
    ASSERT_EQ(this->starts().size(), 1U);
    std::vector<linked_agent> const linked{this->hello(2)};
    this->shards.apply_state(this->state, linked);
    this->shards.agent_linked(this->state, this->hello(2));
    this->tick();
    EXPECT_EQ(this->starts().size(), 1U);
}

// Guards against starting a task twice when a refusal on the old link is read after the hello of
// the new link has resolved the task's start.
TEST_F(shard_registry_fixture, refusal_on_stale_link_does_not_start_task_twice)
{
    this->shards.agent_linked(this->state, this->hello(2));
    this->submit();
    ASSERT_EQ(this->starts().size(), 1U);
    wire::link_message refused;
    *refused.mutable_refused()->mutable_task() = this->starts()[0].task();
    refused.mutable_refused()->set_reason(wire::refusal_no_slot);
    this->shards.agent_message_received(agent_id, 1, refused);
    this->tick();
    EXPECT_EQ(this->starts().size(), 1U);
    this->shards.agent_message_received(agent_id, 2, refused);
    this->tick();
    EXPECT_EQ(this->starts().size(), 2U);
}

// Guards against treating an agent as disconnected because its old link closed after its new link
// had opened.
TEST_F(shard_registry_fixture, closing_stale_link_does_not_disconnect_agent)
{
    this->shards.agent_linked(this->state, this->hello(2));
    this->shards.agent_linked(this->state, this->hello(3));
    this->shards.agent_unlinked(agent_id, 2);
    this->submit();
    EXPECT_EQ(this->starts().size(), 1U);
}

// Guards against treating new keys as older than the tables after a change of the teams only.
TEST_F(shard_registry_fixture, team_table_change_does_not_delay_new_keys)
{
    this->shards.agent_linked(this->state, this->hello(2));
    wire::control_record record;
    *record.mutable_table()->mutable_teams() = this->state.teams();
    record.mutable_table()->set_base(this->state.teams_version());
    this->apply(record);
    this->shards.apply_state(this->state, {});
    this->submit();
    EXPECT_EQ(this->starts().size(), 1U);
    EXPECT_EQ(this->answers.size(), 1U);
}

// Guards against a second run of a task whose key, from a caller's clock that is ahead, is accepted
// for longer than the removed owner that may have started it is remembered.
TEST_F(shard_registry_fixture, key_that_a_removed_owner_may_hold_stays_in_doubt)
{
    this->shards.agent_linked(this->state, this->hello(2));
    model::process_id const other_entry{"entry-2", 1};
    wire::control_record record;
    *record.mutable_joined()->mutable_entry()->mutable_id() = wire::to_wire(other_entry);
    record.mutable_joined()->mutable_entry()->set_zone("khi-b");
    this->apply(record);
    this->shards.apply_state(this->state, {});
    auto const key = std::to_string(base::to_unix_ms(this->clock.system_now()) + 4000) + "-a";
    *record.mutable_left()->mutable_entry() = wire::to_wire(other_entry);
    this->apply(record);
    this->shards.apply_state(this->state, {});
    // The agent does not answer the fence, so that its ledger counts as lost.
    this->clock.advance(std::chrono::minutes(14));
    this->tick();
    this->clock.advance(std::chrono::seconds(60));
    this->shards.apply_state(this->state, {});
    this->submit(key);
    ASSERT_EQ(this->answers.size(), 1U);
    EXPECT_EQ(this->starts().size(), 0U);
}

/// The same with real links: the agent answers each link of the entry with its hello.
class linked_shard_registry_fixture : public shard_registry_fixture
{
protected:
    linked_shard_registry_fixture() : links(this->io, this->clock, {}, this->link_callbacks()) {}

    entry_link_callbacks link_callbacks()
    {
        entry_link_callbacks callbacks;
        callbacks.make_agent_state = [this]
        {
            if (this->before_agent_linked)
            {
                this->before_agent_linked();
            }
            return wire::agent_state();
        };
        callbacks.agent_linked = [this](linked_agent const& agent)
        {
            this->shards.agent_linked(this->state, agent);
            ++this->hellos;
        };
        callbacks.agent_unlinked = [this](model::process_id const& agent, std::uint64_t link)
        { this->shards.agent_unlinked(agent, link); };
        callbacks.link_error = [](std::string const&) {};
        return callbacks;
    }

    bool send_to_agent(model::process_id const& agent, std::uint64_t link,
                       wire::link_message const& message) override
    {
        return this->links.send_to_agent(agent, link, message);
    }

    /// Opens a link to the agent and waits until its hello has been applied.
    void open_link()
    {
        auto& agent = this->agents.emplace_back(
            net::link_server::listen(this->io, "127.0.0.1:0",
                                     {.on_open = [](std::shared_ptr<net::link> const&) {},
                                      .on_message = [this](std::shared_ptr<net::link> const& link,
                                                           wire::link_message& message)
                                      { this->agent_received(*link, message); },
                                      .on_closed = [](std::shared_ptr<net::link> const&,
                                                      base::error<net::net_error> const&) {}})
                .value());
        auto const expected = this->hellos + 1;
        this->links.connect_seeds({"127.0.0.1:" + std::to_string(agent->port())});
        this->links.tick();
        ASSERT_TRUE(net::internal::run_until(this->io, [&] { return this->hellos == expected; }));
    }

    void agent_received(net::link& link, wire::link_message const& message)
    {
        if (message.has_entry_hello())
        {
            wire::link_message hello;
            *hello.mutable_agent_hello() = this->hello(0).hello;
            link.send(hello);
        }
        this->sent.push_back(message);
    }

    boost::asio::io_context io;
    std::vector<std::unique_ptr<net::link_server>> agents;
    std::function<void()> before_agent_linked;
    int hellos = 0;
    entry_links links;
};

// Guards against starting a task twice when another thread sends its start on the agent's new link
// before the hello of that link, which cannot list the start, has been applied.
TEST_F(linked_shard_registry_fixture, start_between_hello_and_its_application_is_sent_once)
{
    this->open_link();
    this->before_agent_linked = [this] { this->submit(); };
    this->open_link();
    this->tick();
    ASSERT_TRUE(net::internal::run_until(this->io, [this] { return !this->starts().empty(); }));
    this->io.restart();
    this->io.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(this->starts().size(), 1U);
}

// Guards against trusting the reply "not held" of a member whose tables are older than those of the
// requester.
TEST_F(shard_registry_fixture, lookup_from_newer_state_is_not_answered_as_current)
{
    wire::lookup lookup;
    lookup.set_view(this->state.version());
    EXPECT_TRUE(this->shards.answer_lookup(lookup).current());
    lookup.set_view(this->state.version() + 1);
    EXPECT_FALSE(this->shards.answer_lookup(lookup).current());
}

} // namespace
} // namespace filbertroad::server

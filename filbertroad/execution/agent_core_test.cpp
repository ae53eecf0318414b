#include "filbertroad/execution/agent_core.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

namespace filbertroad::execution
{
namespace
{

using std::chrono::milliseconds;

wire::member make_member(std::string const& name)
{
    wire::member member;
    *member.mutable_id() = wire::to_wire(model::process_id{name, 1});
    return member;
}

class agent_core_test : public testing::Test
{
protected:
    agent_core_test() : core({"g1", 1}, "khi-b", options())
    {
        this->announce(false);
        this->send_state(1, {"e1", "e2", "e3"});
        for (auto const* name : {"e1", "e2", "e3"})
        {
            this->link(name);
        }
        (void)this->core.take_actions();
    }

    static agent_options options()
    {
        agent_options options;
        options.max_ledger_bytes = 4096;
        return options;
    }

    void announce(bool leaving)
    {
        wire::target_description target;
        target.set_name("t1");
        target.set_service("pricing");
        target.set_slots(8);
        target.set_leaving(leaving);
        this->core.target_announced(target, this->clock.steady_now());
    }

    void send_state(std::uint64_t offset, std::vector<std::string> const& members)
    {
        wire::agent_state state;
        state.set_offset(offset);
        state.set_view(offset);
        for (auto const& name : members)
        {
            *state.add_members() = make_member(name);
        }
        this->core.state_received(state, this->clock.steady_now());
    }

    void confirm(std::string const& name)
    {
        wire::pong pong;
        pong.set_confirmed(true);
        pong.set_state_offset(1);
        pong.set_echoed_steady_ns(
            static_cast<std::uint64_t>(this->clock.steady_now().time_since_epoch().count()));
        this->core.pong_received({name, 1}, pong, this->clock.steady_now());
    }

    void link(std::string const& name)
    {
        this->core.entry_linked(make_member(name), ++this->last_link, this->clock.steady_now());
        this->links[name] = this->last_link;
        this->confirm(name);
    }

    void start(std::string const& name, std::uint32_t index)
    {
        wire::start_task start;
        *start.mutable_task() = make_task(index);
        this->core.start_received({name, 1}, this->links[name], start, this->clock.steady_now(),
                                  this->clock.system_now());
    }

    static wire::task_ref make_task(std::uint32_t index)
    {
        return wire::make_task_ref({"stock", "1800000000000-a"}, index);
    }

    void finish_task(std::uint32_t index, std::string body)
    {
        this->core.execution_ended(make_task(index), execution_outcome::succeeded, std::move(body),
                                   "", std::chrono::milliseconds(50), this->clock.steady_now());
    }

    void acknowledge(std::string const& name, std::uint32_t index)
    {
        wire::finished_ack ack;
        *ack.add_tasks() = make_task(index);
        this->core.finished_ack_received({name, 1}, ack, this->clock.steady_now());
    }

    void fence(std::string const& name, std::uint64_t view, std::string const& removed)
    {
        wire::fence fence;
        fence.set_view(view);
        *fence.add_removed() = wire::to_wire(model::process_id{removed, 1});
        this->core.fence_received({name, 1}, fence, this->clock.steady_now());
    }

    /// Returns the messages to an entry since the last call, and discards those to others.
    std::vector<wire::link_message> messages_to(std::string const& name)
    {
        for (auto& action : this->core.take_actions())
        {
            this->actions.push_back(std::move(action));
        }
        std::vector<wire::link_message> found;
        for (auto const& action : std::exchange(this->actions, {}))
        {
            if (auto const* const sent = std::get_if<send_to_entry>(&action);
                sent != nullptr && sent->entry.name == name)
            {
                found.push_back(sent->message);
            }
        }
        return found;
    }

    void advance_time(milliseconds time)
    {
        for (auto remaining = time; remaining.count() > 0; remaining -= milliseconds(100))
        {
            this->clock.advance(milliseconds(100));
            this->core.tick(this->clock.steady_now());
        }
    }

    base::manual_clock clock;
    agent_core core;
    std::vector<action> actions;
    std::map<std::string, std::uint64_t> links;
    std::uint64_t last_link = 0;
};

// Guards against an entry that queues a task again although its start arrived on the previous link.
TEST_F(agent_core_test, hello_lists_every_open_start_and_results_are_resent)
{
    this->start("e1", 0);
    this->start("e1", 1);
    this->start("e2", 2);
    this->finish_task(1, "body");
    (void)this->messages_to("e1");
    this->link("e1");
    auto const messages = this->messages_to("e1");
    ASSERT_TRUE(messages.at(0).has_agent_hello());
    EXPECT_EQ(messages.at(0).agent_hello().open_size(), 3);
    ASSERT_TRUE(messages.at(1).has_finished());
    EXPECT_EQ(messages.at(1).finished().body(), "body");
}

// Guards against results that no entry receives because their owner was removed.
TEST_F(agent_core_test, results_go_to_the_new_owner_after_a_fence)
{
    this->start("e1", 0);
    this->start("e1", 1);
    this->finish_task(0, "done");
    this->fence("e2", 2, "e1");
    auto messages = this->messages_to("e2");
    ASSERT_EQ(messages.size(), 1U);
    auto const& report = messages.at(0).ledger();
    EXPECT_TRUE(report.last());
    ASSERT_EQ(report.entries_size(), 2);
    EXPECT_EQ(report.entries(0).has_result() + report.entries(1).has_result(), 1);
    this->finish_task(1, "late");
    messages = this->messages_to("e2");
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages.at(0).finished().body(), "late");
    this->acknowledge("e1", 1);
    EXPECT_EQ(this->core.unacknowledged(), 2U) << "the removed owner cannot acknowledge";
    this->acknowledge("e2", 0);
    this->acknowledge("e2", 1);
    EXPECT_EQ(this->core.unacknowledged(), 0U);
}

// Guards against a recovery that takes the empty body of an evicted result for the real result.
TEST_F(agent_core_test, evicted_result_is_reported_as_may_have_run)
{
    this->start("e1", 0);
    this->finish_task(0, std::string(8000, 'x'));
    (void)this->messages_to("e1");
    this->start("e1", 1);
    auto messages = this->messages_to("e1");
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(messages.at(0).refused().reason(), wire::refusal_ledger_full);
    this->acknowledge("e1", 0);
    this->start("e1", 1);
    EXPECT_EQ(this->core.running(), 1U);
    this->fence("e2", 2, "e1");
    messages = this->messages_to("e2");
    for (auto const& entry : messages.at(0).ledger().entries())
    {
        EXPECT_EQ(entry.has_result(), entry.task().index() == 0);
        EXPECT_EQ(entry.result().outcome(),
                  entry.task().index() == 0 ? wire::outcome_may_have_run : wire::outcome_unset);
    }
}

// Guards against an agent that still counts as linked to an entry that it promised to refuse, and
// against an agent that refuses a member permanently after a promise that was never used.
TEST_F(agent_core_test, promise_excludes_an_entry_until_a_newer_view_lists_it)
{
    wire::promise_request request;
    request.set_view(1);
    *request.add_missing() = wire::to_wire(model::process_id{"e1", 1});
    this->core.promise_requested({"e2", 1}, request, this->clock.steady_now());
    EXPECT_EQ(this->messages_to("e2").at(0).promise().missing_size(), 0)
        << "traffic has just arrived from it";
    this->advance_time(milliseconds(3000));
    (void)this->messages_to("e2");
    this->core.promise_requested({"e2", 1}, request, this->clock.steady_now());
    EXPECT_EQ(this->messages_to("e2").at(0).promise().missing_size(), 1);
    EXPECT_FALSE(this->core.may_link({"e1", 1}));
    EXPECT_EQ(this->core.entries().size(), 2U);
    this->advance_time(milliseconds(1000));
    EXPECT_TRUE(this->messages_to("e1").empty()) << "no pings";
    this->send_state(2, {"e1", "e2"});
    EXPECT_TRUE(this->core.may_link({"e1", 1}));
}

// Guards against a promise to refuse a member that seemed unresponsive only because this process
// was paused.
TEST_F(agent_core_test, process_pause_does_not_count_as_missing_traffic)
{
    this->advance_time(milliseconds(100));
    this->clock.advance(std::chrono::seconds(20));
    wire::promise_request request;
    request.set_view(1);
    *request.add_missing() = wire::to_wire(model::process_id{"e1", 1});
    this->core.promise_requested({"e2", 1}, request, this->clock.steady_now());
    EXPECT_TRUE(this->core.may_link({"e1", 1}));
}

// Guards against a ledger that grows without limit.
TEST_F(agent_core_test, acknowledged_starts_expire_after_the_retention)
{
    this->start("e1", 0);
    this->finish_task(0, "");
    this->acknowledge("e1", 0);
    this->advance_time(std::chrono::minutes(14));
    EXPECT_EQ(this->core.ledger_entries(), 1U);
    this->advance_time(std::chrono::minutes(2));
    EXPECT_EQ(this->core.ledger_entries(), 0U);
}

// Guards against a second run of a task that an owner whose clock is 5 s behind the caller's still
// accepts, when the owner that started it was removed at the end of the key's retention.
TEST_F(agent_core_test, task_does_not_run_twice_while_a_slow_clock_accepts_its_key)
{
    this->start("e1", 0);
    this->finish_task(0, "");
    this->acknowledge("e1", 0);
    this->advance_time(std::chrono::minutes(15) + std::chrono::seconds(9));
    this->announce(false);
    this->link("e2");
    this->start("e2", 0);
    EXPECT_EQ(this->core.running(), 0U);
    this->start("e2", 1);
    EXPECT_EQ(this->core.running(), 1U);
}

// Guards against a cancellation that overtakes its start on the way to the target, so that the
// task runs on. Start and cancellation use different connections.
TEST_F(agent_core_test, cancellation_is_repeated_until_the_task_has_ended)
{
    auto const cancellations = [this]
    {
        auto const taken = this->core.take_actions();
        return std::count_if(taken.begin(), taken.end(),
                             [](action const& next)
                             { return std::holds_alternative<cancel_on_target>(next); });
    };
    this->start("e1", 0);
    wire::cancel_task cancel;
    *cancel.mutable_task() = make_task(0);
    this->core.cancel_received(cancel);
    EXPECT_EQ(cancellations(), 1);
    this->advance_time(milliseconds(1000));
    EXPECT_GE(cancellations(), 1);
    this->finish_task(0, "");
    this->advance_time(milliseconds(1000));
    EXPECT_EQ(cancellations(), 0);
}

// Guards against starts on a target that is leaving, also if an earlier announcement arrives late.
TEST_F(agent_core_test, leaving_target_gets_no_starts)
{
    this->core.target_leaving(this->clock.steady_now());
    this->start("e1", 0);
    auto const messages = this->messages_to("e1");
    ASSERT_EQ(messages.size(), 2U);
    EXPECT_TRUE(messages.at(0).target().leaving());
    EXPECT_EQ(messages.at(1).refused().reason(), wire::refusal_target_leaving);
    this->announce(false);
    EXPECT_FALSE(this->core.accepts_starts(this->clock.steady_now()))
        << "the announcement may predate the notice";
    this->advance_time(milliseconds(1000));
    this->announce(true);
    EXPECT_FALSE(this->core.accepts_starts(this->clock.steady_now()));
}

// Guards against a target that gets no tasks any more after a quick restart.
TEST_F(agent_core_test, target_that_announces_itself_after_leaving_gets_starts_again)
{
    this->core.target_leaving(this->clock.steady_now());
    this->advance_time(milliseconds(600));
    this->announce(false);
    EXPECT_TRUE(this->core.accepts_starts(this->clock.steady_now()));
}

} // namespace
} // namespace filbertroad::execution

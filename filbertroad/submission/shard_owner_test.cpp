#include "filbertroad/submission/shard_owner.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/submission/internal/task_lifecycle.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>
#include <iterator>

namespace filbertroad::submission
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

model::process_id const self{"e1", 10};
model::process_id const peer{"e2", 20};
model::process_id const removed_owner{"e3", 30};

class shard_owner_test : public testing::Test
{
protected:
    shard_owner_test()
    {
        this->owned.view = 1;
        this->owned.is_owner = true;
        this->add_agent("a1", 1);
        this->owner.set_confirmed(true, this->clock.steady_now());
        this->apply_ownership();
        this->owner.agent_linked(this->hello("a1", 1), this->clock.steady_now());
        this->advance_clock(seconds(20));
    }

    void add_agent(std::string const& name, std::uint64_t incarnation)
    {
        auto& agent = this->owned.agents.emplace_back();
        *agent.mutable_id() = wire::to_wire(model::process_id{name, incarnation});
        agent.set_zone("z");
    }

    static wire::agent_hello hello(std::string const& name, std::uint64_t incarnation)
    {
        wire::agent_hello hello;
        *hello.mutable_id() = wire::to_wire(model::process_id{name, incarnation});
        hello.set_zone("z");
        hello.mutable_target()->set_name("t-" + name);
        hello.mutable_target()->set_slots(4);
        hello.mutable_target()->set_reachable(true);
        return hello;
    }

    void apply_ownership()
    {
        this->owner.set_ownership(this->owned, this->clock.steady_now(), this->clock.system_now());
    }

    /// Removes `removed_owner` in a new view, in which this owner has the shard.
    void remove_previous_owner()
    {
        ++this->owned.view;
        this->owned.removed = {removed_owner};
        this->apply_ownership();
    }

    void advance_clock(std::chrono::nanoseconds time)
    {
        this->clock.advance(time);
        this->owner.tick(this->clock.steady_now(), this->clock.system_now());
    }

    std::string key(std::string const& suffix) const
    {
        return std::to_string(base::to_unix_ms(this->clock.system_now())) + "-" + suffix;
    }

    static wire::submit_request request(std::string const& key, int tasks,
                                        std::string const& body = "body")
    {
        wire::submit_request request;
        auto& job = *request.mutable_job();
        job.set_route("r");
        job.set_key(key);
        job.set_team("team");
        for (int i = 0; i < tasks; ++i)
        {
            job.add_tasks()->set_payload(body + std::to_string(i));
        }
        job.set_digest(base::sha256(body));
        return request;
    }

    void submit(wire::submit_request const& request)
    {
        this->owner.submit(++this->last_request, request, {}, this->clock.steady_now(),
                           this->clock.system_now());
    }

    template <class Action>
    std::vector<Action> take()
    {
        for (auto& action : this->owner.take_actions())
        {
            this->actions.push_back(std::move(action));
        }
        std::vector<Action> found;
        std::vector<action> rest;
        for (auto& action : this->actions)
        {
            if (auto* const typed = std::get_if<Action>(&action))
            {
                found.push_back(std::move(*typed));
            }
            else
            {
                rest.push_back(std::move(action));
            }
        }
        this->actions = std::move(rest);
        return found;
    }

    /// Returns the only reply since the last call.
    template <class Answer>
    Answer reply_of()
    {
        auto const replies = this->take<reply>();
        EXPECT_EQ(replies.size(), 1U);
        auto const* const answer =
            replies.empty() ? nullptr : std::get_if<Answer>(&replies.back().answer);
        EXPECT_NE(answer, nullptr);
        return answer == nullptr ? Answer{} : *answer;
    }

    wire::job_report query_report(std::string const& key)
    {
        this->take<reply>();
        this->owner.query(++this->last_request, this->query_of(key), this->clock.steady_now(),
                          this->clock.system_now());
        return this->reply_of<wire::job_report>();
    }

    static wire::job_query query_of(std::string const& key)
    {
        wire::job_query query;
        query.set_route("r");
        query.set_key(key);
        query.set_team("team");
        query.set_with_history(true);
        return query;
    }

    static wire::task_result success(wire::task_ref const& task)
    {
        wire::task_result result;
        *result.mutable_task() = task;
        result.set_outcome(wire::outcome_succeeded);
        result.set_body("answer " + std::to_string(task.index()));
        return result;
    }

    void finish(model::process_id const& agent, wire::task_ref const& task)
    {
        this->owner.task_finished(agent, success(task), this->clock.steady_now(),
                                  this->clock.system_now());
    }

    void refuse(model::process_id const& agent, wire::task_ref const& task, wire::refusal reason)
    {
        wire::start_refused refused;
        *refused.mutable_task() = task;
        refused.set_reason(reason);
        this->owner.start_refused(agent, refused, this->clock.steady_now());
    }

    wire::ledger_entry entry(std::string const& key, std::uint32_t index, bool finished) const
    {
        wire::ledger_entry entry;
        *entry.mutable_task() = wire::make_task_ref({"r", key}, index);
        entry.set_job_digest(base::sha256("body"));
        entry.set_task_count(3);
        *entry.mutable_owner() = wire::to_wire(removed_owner);
        entry.set_team("team");
        if (finished)
        {
            *entry.mutable_result() = success(entry.task());
        }
        return entry;
    }

    void report_ledger(std::vector<wire::ledger_entry> const& entries)
    {
        this->report_ledger(this->agent, entries);
    }

    void report_ledger(model::process_id const& from,
                       std::vector<wire::ledger_entry> const& entries)
    {
        wire::ledger_report report;
        report.set_view(this->owned.view);
        *report.mutable_agent() = wire::to_wire(from);
        report.mutable_entries()->Add(entries.begin(), entries.end());
        report.set_last(true);
        this->owner.ledger_reported(report, this->clock.steady_now(), this->clock.system_now());
    }

    model::process_id agent{"a1", 1};
    base::manual_clock clock;
    ownership owned;
    shard_owner owner{self, "svc", 0, {}, scheduling::scheduler::builder().build()};
    std::vector<action> actions;
    std::uint64_t last_request = 0;
};

// Guards against a transition table in which a task that may have run is sent again.
TEST(task_lifecycle, requeues_only_starts_that_did_not_reach_the_target)
{
    using internal::next_state;
    using internal::task_event;
    using internal::task_state;
    for (std::size_t s = 0; s < internal::task_state_count; ++s)
    {
        for (std::size_t e = 0; e < internal::task_event_count; ++e)
        {
            auto const state = static_cast<task_state>(s);
            auto const event = static_cast<task_event>(e);
            auto const is_return =
                event == task_event::refused || event == task_event::not_received;
            auto const allowed = (internal::is_at_agent(state) && is_return) ||
                                 (state == task_state::interrupted && event == task_event::resumed);
            EXPECT_EQ(next_state(state, event) == task_state::queued, allowed) << s << " " << e;
        }
    }
    EXPECT_EQ(next_state(task_state::queued, task_event::dispatched), task_state::sent);
    EXPECT_EQ(next_state(task_state::lost, task_event::succeeded), task_state::succeeded);
}

// Guards against a second body that runs under a key that is already used.
TEST_F(shard_owner_test, rejects_a_reused_key_with_another_body_and_starts_nothing)
{
    auto const key = this->key("k");
    this->submit(request(key, 2));
    EXPECT_EQ(this->take<send_start>().size(), 2U);
    this->take<reply>();
    this->submit(request(key, 2, "other"));
    auto const error = this->reply_of<wire::request_error>();
    EXPECT_EQ(error.code(), "key_reused");
    EXPECT_TRUE(this->take<send_start>().empty());
}

// Guards against answers that are incomplete, sent twice, or changed by a late duplicate result.
TEST_F(shard_owner_test, answers_a_waiting_submission_once_with_every_task)
{
    auto waiting = request(this->key("k"), 3);
    waiting.set_wait_ms(60000);
    this->submit(waiting);
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 3U);
    for (auto const& start : starts)
    {
        EXPECT_TRUE(this->take<reply>().empty());
        this->finish(this->agent, start.start.task());
        this->finish(this->agent, start.start.task());
    }
    auto const report = this->reply_of<wire::job_report>();
    EXPECT_EQ(report.state(), wire::job_state_complete);
    ASSERT_EQ(report.results_size(), 3);
    for (int i = 0; i < 3; ++i)
    {
        EXPECT_EQ(report.results(i).body(), "answer " + std::to_string(i));
    }
    std::size_t acknowledged = 0;
    for (auto const& sent : this->take<send_finished_ack>())
    {
        acknowledged += static_cast<std::size_t>(sent.ack.tasks_size());
    }
    EXPECT_EQ(acknowledged, 6U);
}

// Guards against starts by an owner that may have been replaced, and against starts sent to agents
// whose ledgers a later owner would not request.
TEST_F(shard_owner_test, starts_only_while_confirmed_and_on_registered_agents)
{
    this->owner.agent_linked(hello("a2", 1), this->clock.steady_now());
    this->owned.unregistered_agents = {this->agent};
    this->apply_ownership();
    this->submit(request(this->key("k"), 1));
    EXPECT_TRUE(this->take<send_start>().empty()) << "an unregistered agent got a start";
    this->owner.set_confirmed(false, this->clock.steady_now());
    this->add_agent("a2", 1);
    this->apply_ownership();
    this->advance_clock(milliseconds(50));
    EXPECT_TRUE(this->take<send_start>().empty()) << "an unconfirmed owner sent a start";
    this->take<reply>();
    this->submit(request(this->key("unconfirmed"), 1));
    EXPECT_EQ(this->reply_of<wire::request_error>().not_run(), "unknown");
    this->owner.set_confirmed(true, this->clock.steady_now());
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].agent.name, "a2");
}

// Guards against jobs that wait forever for a target whose agent is no longer registered.
TEST_F(shard_owner_test, rejects_tasks_when_the_only_agent_is_no_longer_registered)
{
    this->owned.unregistered_agents = {this->agent};
    this->apply_ownership();
    auto const key = this->key("k");
    this->submit(request(key, 1));
    this->advance_clock(seconds(6));
    EXPECT_EQ(this->query_report(key).results(0).outcome(), wire::outcome_not_run);
}

// Guards against resending a start that the agent has received, and against not resending a start
// that was lost with the link.
TEST_F(shard_owner_test, reconciles_sent_tasks_with_the_ledger_of_the_next_hello)
{
    auto const key = this->key("k");
    this->submit(request(key, 3));
    ASSERT_EQ(this->take<send_start>().size(), 3U);
    this->owner.agent_unlinked(this->agent, this->clock.steady_now());
    auto second_hello = hello("a1", 1);
    *second_hello.add_open() = this->entry(key, 0, true);
    *second_hello.add_open() = this->entry(key, 1, false);
    this->owner.agent_linked(second_hello, this->clock.steady_now());
    this->advance_clock(seconds(4));
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].start.task().index(), 2U);
    // The refusal of the first start arrives on the new link.
    this->refuse(this->agent, starts[0].start.task(), wire::refusal_stale_link);
    this->advance_clock(seconds(4));
    EXPECT_TRUE(this->take<send_start>().empty());
    EXPECT_EQ(this->query_report(key).finished(), 1U);
}

// Guards against restarting tasks after the loss of the agent that had received them.
TEST_F(shard_owner_test, marks_sent_tasks_lost_on_agent_restart_or_timeout)
{
    for (auto const restarted : {true, false})
    {
        auto const key = this->key(restarted ? "restarted" : "silent");
        this->submit(request(key, 1));
        auto const starts = this->take<send_start>();
        ASSERT_EQ(starts.size(), 1U);
        auto const old = this->agent;
        this->owner.agent_unlinked(old, this->clock.steady_now());
        if (restarted)
        {
            this->add_agent("a1", 2);
            this->apply_ownership();
            this->agent = {"a1", 2};
            this->owner.agent_linked(hello("a1", 2), this->clock.steady_now());
        }
        this->advance_clock(restarted ? seconds(4) : seconds(10));
        EXPECT_EQ(this->query_report(key).results(0).outcome(), wire::outcome_may_have_run);
        this->finish(old, starts[0].start.task());
        EXPECT_EQ(this->query_report(key).results(0).outcome(), wire::outcome_may_have_run);
        EXPECT_TRUE(this->take<send_start>().empty());
    }
}

// Guards against accepting a key that another member holds.
TEST_F(shard_owner_test, looks_up_a_key_created_before_the_last_view_change_at_other_members)
{
    ++this->owned.view;
    this->owned.other_members = {peer};
    this->apply_ownership();
    auto const key = this->key("k");
    this->submit(request(key, 1));
    auto lookups = this->take<send_lookup>();
    ASSERT_EQ(lookups.size(), 1U);
    wire::lookup_reply not_current;
    this->owner.lookup_answered(peer, lookups[0].lookup, not_current, this->clock.steady_now());
    this->advance_clock(milliseconds(200));
    EXPECT_TRUE(this->take<reply>().empty());
    lookups = this->take<send_lookup>();
    ASSERT_EQ(lookups.size(), 1U) << "a reply from an older view must not count as an answer";
    wire::lookup_reply held;
    held.set_held(true);
    this->owner.lookup_answered(peer, lookups[0].lookup, held, this->clock.steady_now());
    ASSERT_EQ(this->take<forward>().size(), 1U);
    this->submit(request(this->key("other"), 1));
    this->advance_clock(seconds(6));
    EXPECT_EQ(this->reply_of<wire::request_error>().not_run(), "unknown");
    EXPECT_TRUE(this->take<send_start>().empty());
}

// Guards against restarting tasks that a removed owner has already started.
TEST_F(shard_owner_test, starts_only_the_unstarted_tasks_of_a_recovered_job)
{
    auto const key = this->key("k");
    this->remove_previous_owner();
    ASSERT_EQ(this->take<send_fence>().size(), 1U);
    this->submit(request(key, 3));
    EXPECT_TRUE(this->take<send_start>().empty());
    this->report_ledger({this->entry(key, 0, true), this->entry(key, 1, false)});
    EXPECT_TRUE(this->take<send_start>().empty()) << "the removed owner may still be confirmed";
    this->advance_clock(seconds(2));
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].start.task().index(), 2U);
    this->finish(this->agent, starts[0].start.task());
    this->finish(this->agent, wire::make_task_ref({"r", key}, 1));
    EXPECT_EQ(this->query_report(key).state(), wire::job_state_complete);
}

// Guards against restarting tasks of a removed owner. The other tasks of the job are held by
// another member, which is removed later. Agents report the starts of the first owner only once, so
// they must be remembered until then.
TEST_F(shard_owner_test, keeps_recovered_starts_of_a_job_forwarded_to_another_member)
{
    auto const key = this->key("k");
    this->owned.other_members = {peer};
    this->remove_previous_owner();
    this->report_ledger({this->entry(key, 0, true)});
    this->advance_clock(seconds(2));
    this->submit(request(key, 3));
    wire::lookup_reply answer;
    answer.set_held(true);
    answer.set_current(true);
    this->owner.lookup_answered(peer, this->take<send_lookup>().at(0).lookup, answer,
                                this->clock.steady_now());
    ASSERT_EQ(this->take<forward>().size(), 1U);
    ++this->owned.view;
    this->owned.other_members = {};
    this->owned.removed = {removed_owner, peer};
    this->apply_ownership();
    auto held = this->entry(key, 1, true);
    *held.mutable_owner() = wire::to_wire(peer);
    this->report_ledger({held});
    this->submit(request(key, 3));
    this->advance_clock(seconds(2));
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].start.task().index(), 2U);
}

// Guards against restarting a task that two ledgers hold. The first agent refuses the task after
// its ledger was read. The removed owner had sent the task to a second agent before the ledger of
// the second agent was read.
TEST_F(shard_owner_test, does_not_restart_a_refused_task_that_another_agent_holds)
{
    auto const key = this->key("k");
    model::process_id const other{"a2", 1};
    this->add_agent(other.name, other.incarnation);
    this->owner.agent_linked(hello(other.name, other.incarnation), this->clock.steady_now());
    this->remove_previous_owner();
    this->report_ledger({this->entry(key, 0, false)});
    this->report_ledger(other, {this->entry(key, 0, false)});
    this->refuse(this->agent, wire::make_task_ref({"r", key}, 0), wire::refusal_target_refused);
    this->advance_clock(seconds(2));
    this->submit(request(key, 3));
    EXPECT_EQ(this->take<send_start>().size(), 2U) << "only the tasks that no agent holds";
    this->finish(other, wire::make_task_ref({"r", key}, 0));
    EXPECT_EQ(this->query_report(key).finished(), 1U);
}

// Guards against a false "not run" from an owner that was replaced while its process was paused.
TEST_F(shard_owner_test, does_not_report_not_run_while_unconfirmed)
{
    auto const key = this->key("k");
    auto urgent = request(key, 5);
    urgent.mutable_job()->set_deadline_ms(1500);
    this->submit(urgent);
    ASSERT_EQ(this->take<send_start>().size(), 4U);
    this->owner.set_confirmed(false, this->clock.steady_now());
    this->advance_clock(seconds(2));
    EXPECT_EQ(this->query_report(key).finished(), 0U) << "an unconfirmed owner rejected a task";
    this->owner.set_confirmed(true, this->clock.steady_now());
    this->advance_clock(milliseconds(50));
    this->owner.agent_unlinked(this->agent, this->clock.steady_now());
    this->advance_clock(seconds(10));
    EXPECT_EQ(this->query_report(key).results(4).outcome(), wire::outcome_not_run);
    this->owner.set_confirmed(false, this->clock.steady_now());
    this->submit(urgent);
    EXPECT_EQ(this->reply_of<wire::request_error>().not_run(), "unknown");
    this->submit(request(key, 1, "other"));
    EXPECT_EQ(this->reply_of<wire::request_error>().not_run(), "unknown");
}

// Guards against jobs that never end because their caller has stopped and does not resubmit them.
TEST_F(shard_owner_test, ends_an_interrupted_job_after_the_recovery_timeout)
{
    auto const key = this->key("k");
    this->remove_previous_owner();
    this->report_ledger({this->entry(key, 0, true)});
    this->advance_clock(seconds(30));
    EXPECT_EQ(this->query_report(key).state(), wire::job_state_interrupted);
    this->advance_clock(seconds(31));
    auto const report = this->query_report(key);
    EXPECT_EQ(report.state(), wire::job_state_failed);
    EXPECT_EQ(report.results(0).body(), "answer 0");
    EXPECT_EQ(report.results(1).outcome(), wire::outcome_not_run);
}

// Guards against restarting a task that a lost ledger may hold.
TEST_F(shard_owner_test, reports_may_have_run_when_an_agent_does_not_answer_the_fence)
{
    auto const key = this->key("k");
    this->remove_previous_owner();
    this->submit(request(key, 2));
    this->advance_clock(seconds(4));
    auto const report = this->reply_of<wire::job_report>();
    EXPECT_EQ(report.state(), wire::job_state_failed);
    EXPECT_EQ(report.results(0).outcome(), wire::outcome_may_have_run);
    EXPECT_TRUE(this->take<send_start>().empty());
}

// Guards against restarting a cancelled task because its first start was refused.
TEST_F(shard_owner_test, does_not_restart_a_cancelled_task)
{
    auto const key = this->key("k");
    this->submit(request(key, 1));
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 1U);
    this->owner.cancel(++this->last_request, query_of(key), this->clock.steady_now(),
                       this->clock.system_now());
    EXPECT_EQ(this->take<send_cancel>().size(), 1U);
    this->refuse(this->agent, starts[0].start.task(), wire::refusal_no_slot);
    this->advance_clock(seconds(5));
    EXPECT_EQ(this->query_report(key).results(0).outcome(), wire::outcome_not_run);
    EXPECT_TRUE(this->take<send_start>().empty());
}

// Guards against a cancellation that is lost with the agent's link, so that the task runs on.
TEST_F(shard_owner_test, repeats_a_cancellation_on_the_next_link)
{
    auto const key = this->key("k");
    this->submit(request(key, 1));
    ASSERT_EQ(this->take<send_start>().size(), 1U);
    this->owner.agent_unlinked(this->agent, this->clock.steady_now());
    this->owner.cancel(++this->last_request, query_of(key), this->clock.steady_now(),
                       this->clock.system_now());
    EXPECT_TRUE(this->take<send_cancel>().empty());
    auto second_hello = hello("a1", 1);
    *second_hello.add_open() = this->entry(key, 0, false);
    this->owner.agent_linked(second_hello, this->clock.steady_now());
    EXPECT_EQ(this->take<send_cancel>().size(), 1U);
    // The link is lost once more, perhaps before the agent has read the cancellation.
    this->owner.agent_unlinked(this->agent, this->clock.steady_now());
    this->owner.agent_linked(second_hello, this->clock.steady_now());
    EXPECT_EQ(this->take<send_cancel>().size(), 1U);
    EXPECT_TRUE(this->take<send_start>().empty());
}

// Guards against an owner that forgets a job, and starts it again, after its wall clock was ahead
// for a moment.
TEST_F(shard_owner_test, keeps_ended_jobs_when_the_wall_clock_was_ahead)
{
    auto const key = this->key("k");
    this->submit(request(key, 1));
    auto const starts = this->take<send_start>();
    ASSERT_EQ(starts.size(), 1U);
    this->finish(this->agent, starts[0].start.task());
    this->clock.shift_system(std::chrono::minutes(20));
    this->advance_clock(seconds(1));
    this->clock.shift_system(-std::chrono::minutes(20));
    this->advance_clock(seconds(1));
    this->submit(request(key, 1));
    EXPECT_TRUE(this->take<send_start>().empty());
    EXPECT_EQ(this->query_report(key).results(0).outcome(), wire::outcome_succeeded);
}

// Guards against an owner that starts the keys of the previous owner as new ones, because its wall
// clock was behind when it became the owner.
TEST_F(shard_owner_test, looks_up_earlier_keys_when_the_wall_clock_was_behind)
{
    auto const key = this->key("k");
    this->advance_clock(seconds(1));
    this->clock.shift_system(-std::chrono::hours(1));
    ++this->owned.view;
    this->owned.other_members = {peer};
    this->apply_ownership();
    this->clock.shift_system(std::chrono::hours(1));
    this->advance_clock(seconds(1));
    this->submit(request(key, 1));
    EXPECT_EQ(this->take<send_lookup>().size(), 1U);
    EXPECT_TRUE(this->take<send_start>().empty());
    // Keys from long enough after the change need no lookup.
    this->advance_clock(seconds(10));
    this->take<send_lookup>();
    this->submit(request(this->key("new"), 1));
    EXPECT_EQ(this->take<send_start>().size(), 1U);
}

// Guards against unbounded memory, and against answers that are discarded to save memory.
TEST_F(shard_owner_test, refuses_jobs_over_the_memory_bound_and_keeps_answers)
{
    auto const first = this->key("first");
    this->submit(request(first, 1, std::string(1000, 'x')));
    auto const starts = this->take<send_start>();
    this->finish(this->agent, starts.at(0).start.task());
    wire::request_error error;
    for (int i = 0; i < 10 && error.code().empty(); ++i)
    {
        this->take<reply>();
        this->submit(request(this->key(std::to_string(i)), 1, std::string(30UL << 20U, 'x')));
        auto const replies = this->take<reply>();
        if (auto const* const refused = std::get_if<wire::request_error>(&replies.at(0).answer))
        {
            error = *refused;
        }
    }
    EXPECT_EQ(error.not_run(), "yes");
    EXPECT_LE(this->owner.held_bytes(), owner_options{}.max_bytes);
    EXPECT_EQ(this->query_report(first).results_size(), 1);
}

// Guards against losing the answers of an owner that leaves, and against running their keys again.
TEST_F(shard_owner_test, hands_over_answers_and_acknowledged_keys_to_the_new_owner)
{
    auto const kept = this->key("kept");
    auto const acknowledged = this->key("acknowledged");
    for (auto const& key : {kept, acknowledged})
    {
        this->submit(request(key, 1));
        this->finish(this->agent, this->take<send_start>().at(0).start.task());
    }
    this->owner.acknowledge(++this->last_request, query_of(acknowledged), this->clock.steady_now(),
                            this->clock.system_now());
    auto const handover = this->owner.take_handover();
    EXPECT_EQ(this->owner.take_handover().jobs_size(), 0);
    shard_owner next{peer, "svc", 0, {}, scheduling::scheduler::builder().build()};
    next.set_confirmed(true, this->clock.steady_now());
    next.set_ownership(this->owned, this->clock.steady_now(), this->clock.system_now());
    next.accept_handover(handover, this->clock.steady_now(), this->clock.system_now());
    std::swap(this->owner, next);
    this->take<reply>();
    EXPECT_EQ(this->query_report(kept).results(0).body(), "answer 0");
    this->submit(request(acknowledged, 1));
    EXPECT_EQ(this->reply_of<wire::request_error>().code(), "acknowledged");
}

// Guards against a team that reads the answers of another team.
TEST_F(shard_owner_test, refuses_the_query_of_another_team)
{
    auto const key = this->key("k");
    this->submit(request(key, 1));
    this->take<reply>();
    auto query = query_of(key);
    query.set_team("other");
    this->owner.query(++this->last_request, query, this->clock.steady_now(),
                      this->clock.system_now());
    EXPECT_EQ(this->reply_of<wire::request_error>().code(), "wrong_team");
}

} // namespace
} // namespace filbertroad::submission

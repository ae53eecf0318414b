#include "filbertroad/scheduling/scheduler_fixture.hpp"

#include <map>

namespace filbertroad::scheduling
{
namespace
{

using namespace std::chrono_literals;

using slots = scheduler_fixture;
using order = scheduler_fixture;
using admission = scheduler_fixture;
using expiry = scheduler_fixture;

TEST_F(slots, cold_target_does_not_receive_a_burst)
{
    this->add_target("a", 8);
    ASSERT_TRUE(this->admit(1, 100).has_value());
    EXPECT_EQ(this->dispatch().size(), 1U);
    this->now += 1s;
    EXPECT_EQ(this->dispatch().size(), 4U);
    this->now += 1s;
    EXPECT_EQ(this->dispatch().size(), 3U);
}

TEST_F(slots, refused_task_is_retried_first_on_another_target)
{
    this->add_target("a", 1);
    ASSERT_TRUE(this->admit(1, 3).has_value());
    this->now += 3s;
    auto const first = this->dispatch();
    ASSERT_EQ(first.size(), 1U);
    this->queue.task_refused(first[0].task, start_refusal::unreachable, this->now);
    EXPECT_TRUE(this->dispatch().empty());
    this->add_target("b", 1);
    auto const second = this->dispatch();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].task, first[0].task);
    EXPECT_EQ(second[0].target, "b");
}

TEST_F(slots, slot_limit_recovers_after_a_no_slot_refusal)
{
    this->add_target("a", 4);
    ASSERT_TRUE(this->admit(1, 20).has_value());
    this->now += 3s;
    auto started = this->dispatch();
    ASSERT_EQ(started.size(), 4U);
    this->queue.task_refused(started[3].task, start_refusal::no_slot, this->now);
    EXPECT_TRUE(this->dispatch().empty());
    this->now += 1s;
    EXPECT_EQ(this->dispatch().size(), 1U);
}

TEST_F(slots, removed_target_with_running_tasks_gets_no_new_ones)
{
    this->add_target("a", 2);
    ASSERT_TRUE(this->admit(1, 3).has_value());
    this->now += 3s;
    auto const started = this->dispatch();
    ASSERT_EQ(started.size(), 2U);
    this->queue.remove_target("a", this->now);
    this->finish_all({started[0]}, task_outcome::succeeded, 1s);
    EXPECT_TRUE(this->dispatch().empty());
    EXPECT_EQ(this->queue.targets().size(), 1U);
    this->finish_all({started[1]}, task_outcome::succeeded, 1s);
    EXPECT_TRUE(this->queue.targets().empty());
}

TEST_F(slots, adopted_tasks_occupy_slots)
{
    this->queue.adopt_running({9, 1}, "depot", "a", this->now);
    this->add_target("a", 2);
    ASSERT_TRUE(this->admit(1, 3).has_value());
    this->now += 3s;
    EXPECT_EQ(this->dispatch().size(), 1U);
    this->queue.task_finished({9, 1}, task_outcome::succeeded, 1s, this->now);
    EXPECT_EQ(this->dispatch().size(), 1U);
}

TEST_F(slots, prefetch_is_bounded_and_used_only_with_a_backlog)
{
    this->queue.update_target(
        {.name = "a", .zone = "khi-b", .labels = {}, .slots = 2, .prefetch_limit = 1}, this->now);
    this->now += 3s;
    ASSERT_TRUE(this->admit(1, 4).has_value());
    EXPECT_EQ(this->dispatch().size(), 2U);
    ASSERT_TRUE(this->admit(2, 4).has_value());
    EXPECT_EQ(this->dispatch().size(), 1U);
    EXPECT_TRUE(this->dispatch().empty());
    EXPECT_EQ(this->status_of("a").running, 3U);
}

TEST_F(order, small_job_does_not_wait_behind_a_large_one)
{
    this->add_target("a", 1);
    ASSERT_TRUE(this->admit(1, 200).has_value());
    ASSERT_TRUE(this->admit(2, 1).has_value());
    EXPECT_EQ(this->dispatch().at(0).task.job, 2U);
}

TEST_F(order, large_job_does_not_wait_forever_behind_small_ones)
{
    this->add_target("a", 1);
    ASSERT_TRUE(this->admit(1, 270).has_value());
    bool large_started = false;
    for (std::uint64_t job = 2; job < 100 && !large_started; ++job)
    {
        this->now += 100ms;
        ASSERT_TRUE(this->admit(job, 1).has_value());
        auto const started = this->dispatch();
        large_started = started.at(0).task.job == 1;
        this->finish_all(started, task_outcome::succeeded, 100ms);
    }
    EXPECT_TRUE(large_started);
}

TEST_F(order, team_over_its_quota_leaves_slots_to_others)
{
    std::vector<team_limits> const teams{{"depot", 1, 2, 1000}, {"press", 1, 8, 1000}};
    this->queue.set_teams(teams);
    this->add_target("a", 8);
    ASSERT_TRUE(this->admit(1, 100, "depot").has_value());
    ASSERT_TRUE(this->admit(2, 100, "press").has_value());
    this->now += 3s;
    std::map<std::uint64_t, int> started;
    for (auto const& assigned : this->dispatch())
    {
        ++started[assigned.task.job];
    }
    EXPECT_EQ(started[1], 2);
    EXPECT_EQ(started[2], 6);
}

TEST_F(admission, full_queue_refuses_with_overloaded_and_retry_after)
{
    this->queue = scheduler::builder().seed(1).max_queued_tasks(10).build();
    ASSERT_TRUE(this->admit(1, 10).has_value());
    auto const refused = this->admit(2, 1);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, admission_code::overloaded);
    EXPECT_GE(refused.error().retry_after, 100ms);
    EXPECT_EQ(this->queue.cancel_job(1).size(), 10U);
    EXPECT_TRUE(this->admit(2, 1).has_value());
}

TEST_F(admission, queued_bytes_do_not_exceed_their_bound)
{
    this->queue = scheduler::builder().seed(1).max_queued_bytes(1000).build();
    ASSERT_TRUE(this->admit(1, 10).has_value());
    EXPECT_FALSE(this->admit(2, 1).has_value());
}

TEST_F(admission, team_does_not_fill_the_share_of_other_teams)
{
    std::vector<team_limits> const teams{{"depot", 1, 2, 10}, {"press", 1, 8, 10}};
    this->queue.set_teams(teams);
    ASSERT_TRUE(this->admit(1, 10, "depot").has_value());
    auto const refused = this->admit(2, 1, "depot");
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, admission_code::team_over_quota);
    EXPECT_TRUE(this->admit(3, 10, "press").has_value());
    EXPECT_FALSE(this->admit(4, 1, "unknown").has_value());
}

TEST_F(admission, job_that_would_miss_its_deadline_is_refused_early)
{
    this->add_target("a", 1);
    ASSERT_TRUE(this->admit(1, 100).has_value());
    this->now += 3s;
    for (int i = 0; i < 50; ++i)
    {
        this->finish_all(this->dispatch(), task_outcome::succeeded, 300ms);
    }
    auto const refused = this->admit(2, 100, "depot", {}, 100ms);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, admission_code::deadline_unreachable);
}

TEST_F(admission, small_job_with_a_deadline_passes_a_backlog_of_large_ones)
{
    this->add_target("a", 8);
    this->now += 3s;
    for (std::uint64_t job = 1; job <= 50; ++job)
    {
        ASSERT_TRUE(this->admit(job, 270).has_value());
    }
    EXPECT_TRUE(this->admit(51, 1, "depot", {}, 1000ms).has_value());
    EXPECT_FALSE(this->admit(52, 270, "depot", {}, 1000ms).has_value());
}

TEST_F(admission, estimated_wait_respects_the_team_quota)
{
    std::vector<team_limits> const teams{{"depot", 1, 1, 1000}};
    this->queue.set_teams(teams);
    this->add_target("a", 8);
    this->now += 3s;
    EXPECT_FALSE(this->admit(1, 40, "depot", {}, 2000ms).has_value());
    EXPECT_TRUE(this->admit(2, 40, "depot", {}, 60'000ms).has_value());
}

TEST_F(admission, reused_placement_index_does_not_mix_jobs)
{
    this->add_target("a", 8, "khi-b");
    ASSERT_TRUE(this->admit(1, 2, "depot", {.zones = {"lhr-a"}, .labels = {}}).has_value());
    this->now += 3s;
    for (std::uint64_t job = 2; job < 300; ++job)
    {
        placement_rule const rule{{"khi-b", "zone-" + std::to_string(job)}, {}};
        ASSERT_TRUE(this->admit(job, 1, "depot", rule).has_value());
        auto const started = this->dispatch();
        ASSERT_EQ(started.size(), 1U);
        ASSERT_EQ(started[0].task.job, job);
        this->finish_all(started, task_outcome::succeeded, 10ms);
    }
    this->now += 5s;
    EXPECT_EQ(this->expire().size(), 2U);
}

TEST_F(expiry, unplaceable_job_is_rejected_with_a_reason)
{
    this->add_target("a", 1, "khi-b");
    ASSERT_TRUE(this->admit(1, 2, "depot", {.zones = {"lhr-a"}, .labels = {}}).has_value());
    this->now += 4s;
    EXPECT_TRUE(this->expire().empty());
    this->now += 1s;
    auto const rejected = this->expire();
    ASSERT_EQ(rejected.size(), 2U);
    EXPECT_NE(rejected[0].reason.find("placement"), std::string::npos);
    EXPECT_EQ(this->queue.queue().queued, 0U);
}

TEST_F(expiry, unavailable_target_does_not_reject_its_queue)
{
    this->add_target("a", 1, "khi-b");
    this->queue.set_target_available("a", false, this->now);
    ASSERT_TRUE(this->admit(1, 2).has_value());
    this->now += 60s;
    EXPECT_TRUE(this->expire().empty());
    this->queue.set_target_available("a", true, this->now);
    EXPECT_EQ(this->dispatch().size(), 1U);
}

TEST_F(expiry, task_past_its_deadline_does_not_start)
{
    this->add_target("a", 1);
    ASSERT_TRUE(this->admit(1, 2, "depot", {}, 700ms).has_value());
    EXPECT_EQ(this->dispatch().size(), 1U);
    this->now += 701ms;
    ASSERT_EQ(this->expire().size(), 1U);
}

TEST_F(expiry, age_of_the_oldest_job_is_reported)
{
    ASSERT_TRUE(this->admit(1, 2).has_value());
    this->now += 4s;
    ASSERT_TRUE(this->admit(2, 2).has_value());
    EXPECT_EQ(this->queue.queue().oldest_age, 4000ms);
    EXPECT_EQ(this->queue.queue().queued, 4U);
}

} // namespace
} // namespace filbertroad::scheduling

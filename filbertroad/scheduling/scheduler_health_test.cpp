#include "filbertroad/scheduling/scheduler_fixture.hpp"

namespace filbertroad::scheduling
{
namespace
{

using namespace std::chrono_literals;

using health = scheduler_fixture;

TEST_F(health, fast_failing_target_does_not_attract_work)
{
    this->add_target("bad", 8);
    this->add_target("good", 8);
    this->now += 3s;
    int failures = 0;
    for (std::uint64_t job = 1; job <= 3000; ++job)
    {
        ASSERT_TRUE(this->admit(job, 1).has_value());
        this->now += 1ms;
        for (auto const& started : this->dispatch())
        {
            bool const bad = started.target == "bad";
            failures += bad;
            this->queue.task_finished(
                started.task, bad ? task_outcome::failed : task_outcome::succeeded, 1ms, this->now);
        }
    }
    EXPECT_LT(failures, 30);
    EXPECT_NE(this->status_of("bad").health, "in_service");
    EXPECT_EQ(this->status_of("good").health, "in_service");
}

TEST_F(health, job_that_fails_everywhere_does_not_eject_targets)
{
    for (auto const* name : {"a", "b", "c", "d"})
    {
        this->add_target(name, 8);
    }
    this->now += 3s;
    for (std::uint64_t job = 1; job < 200; ++job)
    {
        ASSERT_TRUE(this->admit(job, 20).has_value());
        for (int round = 0; round < 20; ++round)
        {
            this->now += 10ms;
            for (auto const& started : this->dispatch())
            {
                bool const fails = started.task.job % 4 == 0;
                this->queue.task_finished(started.task,
                                          fails ? task_outcome::failed : task_outcome::succeeded,
                                          10ms, this->now);
            }
        }
        for (auto const& target : this->queue.targets())
        {
            ASSERT_EQ(target.health, "in_service") << "job " << job << " target " << target.name;
        }
    }
}

TEST_F(health, at_most_half_of_the_pool_is_ejected)
{
    for (auto const* name : {"a", "b", "c", "d", "e"})
    {
        this->add_target(name, 2);
    }
    this->now += 3s;
    for (std::uint64_t job = 1; job < 2000; ++job)
    {
        ASSERT_TRUE(this->admit(job, 1).has_value());
        this->now += 5ms;
        for (auto const& started : this->dispatch())
        {
            bool const good = started.target == "e";
            this->queue.task_finished(started.task,
                                      good ? task_outcome::succeeded : task_outcome::failed, 5ms,
                                      this->now);
        }
        int unhealthy = 0;
        for (auto const& target : this->queue.targets())
        {
            unhealthy += target.health != "in_service";
        }
        ASSERT_LE(unhealthy, 2);
    }
}

TEST_F(health, recovered_target_returns_to_service)
{
    this->add_target("a", 4);
    this->add_target("b", 4);
    this->now += 3s;
    bool was_ejected = false;
    for (std::uint64_t job = 1; job < 4000; ++job)
    {
        ASSERT_TRUE(this->admit(job, 1).has_value());
        this->now += 5ms;
        for (auto const& started : this->dispatch())
        {
            bool const fails = started.target == "b" && job < 400;
            this->queue.task_finished(started.task,
                                      fails ? task_outcome::failed : task_outcome::succeeded, 5ms,
                                      this->now);
        }
        was_ejected |= this->status_of("b").health == "ejected";
    }
    EXPECT_TRUE(was_ejected);
    EXPECT_EQ(this->status_of("b").health, "in_service");
}

TEST_F(health, slowed_target_loses_preference_within_a_few_tasks)
{
    this->add_target("a", 8);
    this->add_target("b", 8);
    this->now += 3s;
    for (std::uint64_t job = 1; job <= 70; ++job)
    {
        // 60 rounds with one task on every slot, then ten rounds in which target a is eight times
        // slower.
        ASSERT_TRUE(this->admit(job, 16).has_value());
        for (auto const& started : this->dispatch())
        {
            bool const slow = started.target == "a" && job > 60;
            this->queue.task_finished(started.task, task_outcome::succeeded, slow ? 800ms : 100ms,
                                      this->now);
        }
        if (job == 60)
        {
            EXPECT_NEAR(this->status_of("a").slowness, 1, 0.1);
        }
    }
    EXPECT_GT(this->status_of("a").slowness / this->status_of("b").slowness, 2);
    ASSERT_TRUE(this->admit(71, 1).has_value());
    EXPECT_EQ(this->dispatch().at(0).target, "b");
}

} // namespace
} // namespace filbertroad::scheduling

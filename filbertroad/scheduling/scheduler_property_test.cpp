#include "filbertroad/scheduling/scheduler.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace filbertroad::scheduling
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t target_count = 11;
constexpr std::uint32_t slots_per_target = 8;
constexpr std::uint32_t team_count = 4;
constexpr std::uint32_t quotas[team_count] = {10, 20, 40, 88};

std::string make_name(char const* kind, std::uint64_t number)
{
    return kind + std::to_string(number);
}

/// Drives a scheduler with random events and checks every assignment against a reference model.
class simulation
{
public:
    explicit simulation(std::uint64_t seed, std::uint32_t max_queued = 5000)
        : generator(seed),
          queue(scheduler::builder().seed(seed).max_queued_tasks(max_queued).build())
    {
        std::vector<team_limits> teams;
        for (std::uint32_t team = 0; team < team_count; ++team)
        {
            teams.push_back({make_name("team", team), team + 1, quotas[team], 2000});
        }
        this->queue.set_teams(teams);
        for (std::uint32_t target = 0; target < target_count; ++target)
        {
            this->announce(target);
        }
    }

    std::uint64_t random_below(std::uint64_t bound) { return this->generator() % bound; }

    void announce(std::uint64_t target)
    {
        this->queue.update_target({.name = make_name("target", target),
                                   .zone = make_name("zone", target % 3),
                                   .labels = {},
                                   .slots = slots_per_target},
                                  this->now);
    }

    bool submit(std::uint64_t tasks, std::uint64_t team)
    {
        job_spec spec;
        spec.job = this->next_job++;
        spec.team = make_name("team", team);
        spec.route = make_name("route", spec.job % 2);
        spec.tasks.resize(tasks);
        std::iota(spec.tasks.begin(), spec.tasks.end(), 0);
        spec.bytes = tasks * 50;
        if (!this->queue.admit(spec, this->now).has_value())
        {
            return false;
        }
        this->arrivals[spec.job] = this->now;
        for (auto const index : spec.tasks)
        {
            this->queued[{spec.job, index}] = static_cast<std::uint32_t>(team);
        }
        return true;
    }

    void cancel(std::uint64_t job)
    {
        for (auto const index : this->queue.cancel_job(job))
        {
            EXPECT_EQ(this->queued.erase({job, index}), 1U) << "cancelled a task that started";
        }
    }

    void dispatch()
    {
        std::vector<assignment> out;
        this->queue.dispatch(this->now, out);
        for (auto const& started : out)
        {
            auto const found = this->queued.find(started.task);
            ASSERT_NE(found, this->queued.end()) << "task assigned twice or after its cancellation";
            auto const team = found->second;
            this->queued.erase(found);
            ASSERT_LE(++this->team_running[team], quotas[team]);
            ASSERT_LE(++this->target_running[started.target], slots_per_target);
            ASSERT_FALSE(this->unavailable_targets.contains(started.target));
            this->longest_wait =
                std::max(this->longest_wait, this->now - this->arrivals[started.task.job]);
            auto const run_time = 50ms + 1ms * this->random_below(600);
            this->running.push(
                {this->now + run_time, started.task, started.target, team, run_time});
            this->assignment_log << started.task.job << ' ' << started.task.index << ' '
                                 << started.target << '\n';
        }
        ASSERT_EQ(this->queue.queue().queued, this->queued.size());
        ASSERT_EQ(this->queue.queue().running, this->running.size());
    }

    /// Ends the next running task if it ends by `until`. One in `refusals` is reported as refused
    /// instead, and one in `failures` as failed; zero means none.
    bool finish_next(base::steady_time until, std::uint64_t refusals, std::uint64_t failures)
    {
        if (this->running.empty() || this->running.top().end > until)
        {
            this->now = until;
            return false;
        }
        auto const ended = this->running.top();
        this->running.pop();
        this->now = ended.end;
        --this->team_running[ended.team];
        --this->target_running[ended.target];
        if (refusals > 0 && this->random_below(refusals) == 0)
        {
            this->queue.task_refused(ended.task, static_cast<start_refusal>(this->random_below(3)),
                                     this->now);
            this->queued[ended.task] = ended.team;
            return true;
        }
        bool const fails = failures > 0 && this->random_below(failures) == 0;
        this->queue.task_finished(ended.task,
                                  fails ? task_outcome::failed : task_outcome::succeeded,
                                  ended.run_time, this->now);
        ++this->finished;
        ++this->team_finished[ended.team];
        return true;
    }

    void run_until(base::steady_time until, std::uint64_t refusals = 0, std::uint64_t failures = 0)
    {
        while (this->finish_next(until, refusals, failures))
        {
            this->dispatch();
        }
        this->dispatch();
    }

    void toggle_availability(std::uint64_t target)
    {
        auto const name = make_name("target", target);
        bool const available = this->unavailable_targets.erase(name) == 0;
        if (available)
        {
            this->unavailable_targets.insert(name);
        }
        this->queue.set_target_available(name, !available, this->now);
    }

    struct running_task
    {
        base::steady_time end;
        task_id task;
        std::string target;
        std::uint32_t team;
        std::chrono::milliseconds run_time;

        bool operator<(running_task const& other) const
        {
            return this->end != other.end ? this->end > other.end : this->task > other.task;
        }
    };

    std::mt19937_64 generator;
    scheduler queue;
    base::steady_time now{1h};
    std::uint64_t next_job = 1;
    std::map<std::uint64_t, base::steady_time> arrivals;
    std::map<task_id, std::uint32_t> queued;
    std::priority_queue<running_task> running;
    std::map<std::uint32_t, std::uint32_t> team_running;
    std::map<std::uint32_t, std::uint64_t> team_finished;
    std::map<std::string, std::uint32_t> target_running;
    std::set<std::string> unavailable_targets;
    base::steady_time::duration longest_wait{};
    std::uint64_t finished = 0;
    std::ostringstream assignment_log;
};

/// Simulates random jobs, cancellations, refusals, failures, and targets that leave and return.
/// Returns the log of all assignments.
std::string simulate_random_events(std::uint64_t seed)
{
    simulation run(seed);
    for (int step = 0; step < 3000; ++step)
    {
        switch (run.random_below(12))
        {
        case 0:
            run.cancel(1 + run.random_below(run.next_job));
            break;
        case 1:
            if (run.random_below(10) == 0)
            {
                run.toggle_availability(run.random_below(target_count));
            }
            break;
        case 2:
            run.announce(run.random_below(target_count));
            break;
        default:
            run.submit(
                1 + (run.random_below(20) == 0 ? run.random_below(270) : run.random_below(8)),
                run.random_below(team_count));
        }
        run.run_until(run.now + 1ms * run.random_below(40), 50, 20);
        if (testing::Test::HasFatalFailure())
        {
            return {};
        }
    }
    while (!run.unavailable_targets.empty())
    {
        run.toggle_availability(std::stoul(run.unavailable_targets.begin()->substr(6)));
    }
    run.run_until(run.now + 300s);
    EXPECT_EQ(run.queue.queue().queued, 0U) << "seed " << seed << ": queued tasks never started";
    EXPECT_EQ(run.queue.queue().running, 0U);
    return run.assignment_log.str();
}

class scheduler_property : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(scheduler_property, slots_quotas_and_single_assignment_hold_and_replay_is_identical)
{
    auto const first = simulate_random_events(this->GetParam());
    EXPECT_FALSE(first.empty());
    EXPECT_EQ(first, simulate_random_events(this->GetParam()));
}

TEST_P(scheduler_property, no_job_starves_under_overload)
{
    simulation run(this->GetParam(), 2000);
    for (int step = 0; step < 4000; ++step)
    {
        run.submit(1 + (run.random_below(20) == 0 ? run.random_below(270) : run.random_below(4)),
                   run.random_below(team_count));
        run.run_until(run.now + 10ms);
        ASSERT_FALSE(this->HasFatalFailure());
    }
    // 2,000 queued tasks at about 200 tasks/s take 10 s. The order penalty of a job is at most that
    // of 270 tasks.
    EXPECT_LT(run.longest_wait, 60s);
    EXPECT_LT(run.queue.queue().oldest_age, 60s);
}

TEST_P(scheduler_property, team_within_quota_is_not_starved_by_team_over_quota)
{
    simulation run(this->GetParam());
    run.run_until(run.now + 3s);
    for (int step = 0; step < 600; ++step)
    {
        run.submit(200, 3);
        if (step % 10 == 0)
        {
            run.submit(20, 1);
        }
        run.run_until(run.now + 100ms);
        ASSERT_FALSE(this->HasFatalFailure());
    }
    // Team 1 submits 20 tasks/s, far less than its share. All but those of the last second must
    // have ended.
    EXPECT_GE(run.team_finished[1], 20U * 59);
}

TEST_P(scheduler_property, mass_cancellation_leaks_no_slots_or_quota)
{
    simulation run(this->GetParam());
    for (int round = 0; round < 20; ++round)
    {
        while (run.submit(1 + run.random_below(270), run.random_below(team_count)))
        {
        }
        run.run_until(run.now + 100ms);
        for (std::uint64_t job = 1; job < run.next_job; ++job)
        {
            run.cancel(job);
        }
        ASSERT_EQ(run.queue.queue().queued, 0U);
        ASSERT_EQ(run.queue.queue().oldest_age, 0ms);
    }
    run.run_until(run.now + 10s);
    EXPECT_EQ(run.queue.queue().running, 0U);
    for (auto const& target : run.queue.targets())
    {
        EXPECT_EQ(target.running, 0U);
    }
    // Team 0 can use its whole queue limit again, and each other team its reservation.
    EXPECT_TRUE(run.submit(2000, 0));
    EXPECT_TRUE(run.submit(500, 1));
    EXPECT_TRUE(run.submit(750, 2));
    EXPECT_TRUE(run.submit(1000, 3));
}

TEST_P(scheduler_property, tenfold_overload_keeps_throughput_and_queue_bound)
{
    simulation run(this->GetParam(), 3000);
    run.run_until(run.now + 3s);
    auto const begin = run.now;
    std::uint64_t finished_in_first_second = 0;
    for (int step = 0; step < 6000; ++step)
    {
        // The capacity is 88 slots / 0.35 s = 251 tasks/s; the offered load is about 2,500 tasks/s.
        run.submit(1 + run.random_below(49), run.random_below(team_count));
        run.run_until(run.now + 10ms);
        ASSERT_FALSE(this->HasFatalFailure());
        ASSERT_LE(run.queue.queue().queued, 3000U);
        finished_in_first_second = step == 99 ? run.finished : finished_in_first_second;
    }
    auto const seconds = std::chrono::duration<double>(run.now - begin).count() - 1;
    auto const capacity = target_count * slots_per_target / 0.3495 * seconds;
    EXPECT_GE(static_cast<double>(run.finished - finished_in_first_second), 0.98 * capacity);
}

INSTANTIATE_TEST_SUITE_P(seeds, scheduler_property, testing::Values(1, 2, 3, 4, 5));

} // namespace
} // namespace filbertroad::scheduling

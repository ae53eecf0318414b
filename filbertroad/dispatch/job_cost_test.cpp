#include "filbertroad/dispatch/dispatcher_fixture.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace filbertroad::dispatch
{
namespace
{

/// Guards against jobs whose shape makes the entry examine far more tasks or targets than the job
/// has. The bounds are multiples of the size of the job.
class job_cost_test : public dispatcher_fixture
{
protected:
    static constexpr std::size_t agent_count = 4;

    job_cost_test()
    {
        for (std::size_t number = 0; number < agent_count; ++number)
        {
            this->add_agent("agent-" + std::to_string(number), 64'000);
        }
    }

    static job_request make_large_job(std::uint32_t tasks)
    {
        auto job = make_patient_job("large");
        job.steps.front().count = tasks;
        job.steps.front().resources = {1, 0, 0};
        return job;
    }

    /// A job whose steps of one task each wait for the one before.
    static job_request make_chain(std::uint32_t steps)
    {
        auto job = make_large_job(1);
        for (std::uint32_t step = 1; step < steps; ++step)
        {
            job.steps.push_back(job.steps.front());
            job.steps.back().after = {step - 1};
        }
        return job;
    }

    /// Ends all runs that were started since the last call; returns their number.
    std::size_t end_started()
    {
        std::size_t ended = 0;
        for (std::size_t number = 0; number < agent_count; ++number)
        {
            auto const agent = "agent-" + std::to_string(number);
            for (auto const& order : this->starts_at(agent))
            {
                this->end(order, agent, run_end::succeeded);
                ++ended;
            }
        }
        return ended;
    }

    [[nodiscard]] std::uint64_t task_visits() const { return this->dispatcher.visited().tasks; }
    [[nodiscard]] std::uint64_t target_visits() const { return this->dispatcher.visited().targets; }
};

TEST_F(job_cost_test, chain_of_steps_costs_a_multiple_of_its_length)
{
    constexpr std::uint32_t steps = 1'000;
    this->submit(make_chain(steps));
    std::size_t ended = 0;
    while (auto const count = this->end_started())
    {
        ended += count;
    }
    EXPECT_EQ(ended, steps);
    EXPECT_EQ(this->outcome("large"), job_outcome::completed);
    EXPECT_LE(this->task_visits(), 10 * steps);
    EXPECT_LE(this->target_visits(), 10UL * steps * agent_count);
}

TEST_F(job_cost_test, repeated_predecessors_cost_nothing_at_the_end_of_a_task)
{
    auto job = make_large_job(1'000);
    job.steps.push_back(job.steps.front());
    job.steps.back().count = 1;
    job.steps.back().after.assign(10'000, 0);
    this->submit(std::move(job));
    auto const before = this->task_visits();
    EXPECT_EQ(this->end_started(), 1'000U);
    EXPECT_EQ(this->end_started(), 1U);
    EXPECT_EQ(this->outcome("large"), job_outcome::completed);
    EXPECT_LE(this->task_visits() - before, 10 * 1'001U);
}

TEST_F(job_cost_test, tasks_without_a_target_cost_nothing_in_each_check)
{
    for (std::size_t number = 0; number < agent_count; ++number)
    {
        auto status = make_status(64'000);
        status.accepting = false;
        this->report("agent-" + std::to_string(number), status);
    }
    this->submit(make_large_job(10'000));
    auto const before = this->target_visits();
    this->advance_time(milliseconds(250));
    EXPECT_FALSE(this->outcome("large"));
    EXPECT_LE(this->target_visits() - before, 100 * agent_count);
}

TEST_F(job_cost_test, blocked_steps_cost_nothing_in_each_check)
{
    this->submit(make_chain(1'000));
    auto const before = this->task_visits();
    this->advance_time(milliseconds(250));
    EXPECT_LE(this->task_visits() - before, 100U);
}

TEST_F(job_cost_test, constrained_tasks_cost_a_multiple_of_their_number)
{
    constexpr std::uint32_t tasks = 1'000;
    auto job = make_large_job(tasks);
    job.steps.front().constraints.emplace();
    job.steps.front().constraints->max_per_target = tasks;
    job.steps.front().constraints->same_rack = true;
    this->submit(std::move(job));
    EXPECT_EQ(this->end_started(), tasks);
    EXPECT_EQ(this->outcome("large"), job_outcome::completed);
    EXPECT_LE(this->task_visits(), 10 * tasks);
}

TEST_F(job_cost_test, length_of_a_queue_follows_submissions_starts_and_answers)
{
    EXPECT_EQ(this->dispatcher.waiting_jobs("route"), 0U);
    this->submit(make_job("started", 1));
    EXPECT_EQ(this->dispatcher.waiting_jobs("route"), 0U);
    for (std::size_t number = 0; number < agent_count; ++number)
    {
        this->dispatcher.agent_disconnected("agent-" + std::to_string(number));
    }
    this->submit(make_patient_job("first"));
    this->submit(make_patient_job("second"));
    EXPECT_EQ(this->dispatcher.waiting_jobs("route"), 2U);
    EXPECT_EQ(this->dispatcher.waiting_jobs("other"), 0U);
    EXPECT_TRUE(this->dispatcher.cancel("first"));
    EXPECT_EQ(this->dispatcher.waiting_jobs("route"), 1U);
}

} // namespace
} // namespace filbertroad::dispatch

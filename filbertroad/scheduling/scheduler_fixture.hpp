#ifndef FILBERTROAD_SCHEDULING_SCHEDULER_FIXTURE_HPP
#define FILBERTROAD_SCHEDULING_SCHEDULER_FIXTURE_HPP

/// Fixture of the scheduler's unit tests; for test programs only.

#include "filbertroad/scheduling/scheduler.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <numeric>
#include <string>
#include <vector>

namespace filbertroad::scheduling
{

/// A scheduler and a simulated clock.
struct scheduler_fixture : testing::Test
{
    base::steady_time now{std::chrono::hours(1)};
    scheduler queue = scheduler::builder().seed(7).build();

    void add_target(std::string const& name, std::uint32_t slots, std::string const& zone = "khi-b")
    {
        this->queue.update_target({.name = name, .zone = zone, .labels = {}, .slots = slots},
                                  this->now);
    }
    auto admit(std::uint64_t job, std::uint32_t tasks, std::string const& team = "depot",
               placement_rule const& rule = {}, std::chrono::milliseconds deadline = {})
    {
        job_spec spec{.job = job,
                      .team = team,
                      .route = "stock",
                      .placement = rule,
                      .tasks = {},
                      .bytes = tasks * 100UL,
                      .deadline = deadline};
        spec.tasks.resize(tasks);
        std::iota(spec.tasks.begin(), spec.tasks.end(), 0);
        return this->queue.admit(spec, this->now);
    }
    std::vector<assignment> dispatch()
    {
        std::vector<assignment> out;
        this->queue.dispatch(this->now, out);
        return out;
    }
    std::vector<rejection> expire()
    {
        std::vector<rejection> out;
        this->queue.expire(this->now, out);
        return out;
    }
    void finish_all(std::vector<assignment> const& started, task_outcome outcome,
                    std::chrono::microseconds run_time)
    {
        for (auto const& assigned : started)
        {
            this->queue.task_finished(assigned.task, outcome, run_time, this->now);
        }
    }
    target_status status_of(std::string const& name)
    {
        for (auto const& target : this->queue.targets())
        {
            if (target.name == name)
            {
                return target;
            }
        }
        return {};
    }
};

} // namespace filbertroad::scheduling

#endif

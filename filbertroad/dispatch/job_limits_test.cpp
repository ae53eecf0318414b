#include "filbertroad/dispatch/dispatcher_fixture.hpp"

#include <gtest/gtest.h>

namespace filbertroad::dispatch
{
namespace
{

class job_limits_test : public dispatcher_fixture
{
protected:
    /// Submits a job that waits, and returns its outcome if it is refused.
    static std::optional<answer_job> submit_to(job_dispatcher& dispatcher, job_request job)
    {
        dispatcher.submit(std::move(job));
        std::optional<answer_job> result;
        for (auto& action : dispatcher.take_actions())
        {
            if (auto* const answer = std::get_if<answer_job>(&action))
            {
                result = std::move(*answer);
            }
        }
        return result;
    }
};

// Guards against a small number of jobs whose tasks take the memory of the entry, and against a
// refusal after which a task runs.
TEST_F(job_limits_test, job_beyond_the_total_of_tasks_is_refused_as_not_run)
{
    dispatch_limits limits;
    limits.max_tasks = 1'000;
    limits.large_job_tasks = limits.max_tasks;
    job_dispatcher dispatcher(this->clock, limits);
    EXPECT_FALSE(submit_to(dispatcher, make_job("wide", 900)));
    auto const refused = submit_to(dispatcher, make_job("refused", 101));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->outcome, job_outcome::not_run);
    EXPECT_TRUE(refused->retry_after);
    EXPECT_FALSE(dispatcher.holds("refused"));
    EXPECT_EQ(dispatcher.task_count(), 900U);
    EXPECT_FALSE(submit_to(dispatcher, make_job("small", 100)));
    EXPECT_TRUE(dispatcher.cancel("wide"));
    static_cast<void>(dispatcher.take_actions());
    EXPECT_EQ(dispatcher.task_count(), 100U);
    EXPECT_FALSE(submit_to(dispatcher, make_job("next", 900)));
}

// Guards against payloads and lists of predecessors that take the memory of the entry.
TEST_F(job_limits_test, job_beyond_the_total_of_bytes_is_refused_until_others_end)
{
    dispatch_limits limits;
    limits.max_job_bytes = 100'000;
    job_dispatcher dispatcher(this->clock, limits);
    auto first = make_job("first", 10);
    first.payload = std::string(4'000, 'p');
    EXPECT_FALSE(submit_to(dispatcher, first));
    auto second = make_job("second", 10);
    second.payload = std::string(4'000, 'p');
    second.steps.push_back(second.steps.front());
    second.steps.back().after.assign(10'000, 0);
    EXPECT_EQ(submit_to(dispatcher, second)->outcome, job_outcome::not_run);
    EXPECT_TRUE(dispatcher.cancel("first"));
    static_cast<void>(dispatcher.take_actions());
    second.steps.pop_back();
    EXPECT_FALSE(submit_to(dispatcher, second));
}

// Guards against a limit that refuses a job within the stated limits at an entry without load.
TEST_F(job_limits_test, only_job_is_admitted_whatever_its_size)
{
    dispatch_limits limits;
    limits.max_tasks = 10;
    limits.max_job_bytes = 1'000;
    job_dispatcher dispatcher(this->clock, limits);
    EXPECT_FALSE(submit_to(dispatcher, make_job("only", 270)));
    EXPECT_EQ(dispatcher.task_count(), 270U);
}

// Guards against a crowd of large jobs that fills the entry and every target, so that small jobs
// find no room.
TEST_F(job_limits_test, large_jobs_leave_room_for_small_ones)
{
    dispatch_limits limits;
    limits.max_tasks = 4'000;
    limits.max_runs_per_target = 1'000;
    job_dispatcher dispatcher(this->clock, limits);
    dispatcher.agent_connected({"a", 1});
    auto status = make_status(64'000);
    dispatcher.status_received("a", status);
    auto const make_large = [](std::string const& key)
    {
        auto job = make_patient_job(key);
        job.steps.front().count = 1'000;
        job.steps.front().resources = {1, 0, 0};
        return job;
    };
    for (std::string const key : {"1", "2", "3"})
    {
        EXPECT_FALSE(submit_to(dispatcher, make_large(key))) << key;
    }
    EXPECT_EQ(submit_to(dispatcher, make_large("4"))->outcome, job_outcome::not_run);
    dispatcher.submit(make_patient_job("small"));
    std::size_t starts = 0;
    for (auto const& action : dispatcher.take_actions())
    {
        starts += std::holds_alternative<send_start>(action) ? 1 : 0;
    }
    EXPECT_EQ(starts, 1U);
}

} // namespace
} // namespace filbertroad::dispatch

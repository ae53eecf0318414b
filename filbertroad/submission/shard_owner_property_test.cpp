#include "filbertroad/submission/internal/test_cluster.hpp"

#include <cstdlib>
#include <gtest/gtest.h>

namespace filbertroad::submission
{
namespace
{

/// Schedules of one run; SUBMISSION_SEED=n runs the schedule of that seed only.
constexpr std::uint64_t schedule_count = 2000;
constexpr int fault_steps = 250;
constexpr std::int64_t recovery_limit_ms = 120'000;

/// The replay of one schedule in this many is compared.
constexpr std::uint64_t replay_interval = 10;

// Guards against a task that starts twice, a job that never ends, a false "not run", an answer with
// the wrong tasks or bodies, a start on an agent that is not registered, and decisions that depend
// on anything but the events.
TEST(shard_owner_property, preserves_invariants_under_entry_agent_and_link_faults)
{
    auto const* const chosen = std::getenv("SUBMISSION_SEED");
    auto const first = chosen == nullptr ? 1 : std::strtoull(chosen, nullptr, 10);
    auto const last = chosen == nullptr ? schedule_count : first;
    std::size_t answers = 0;
    std::size_t starts = 0;
    for (auto seed = first; seed <= last; ++seed)
    {
        internal::test_cluster cluster(seed);
        cluster.run(fault_steps, recovery_limit_ms);
        if (seed % replay_interval == 0 || chosen != nullptr)
        {
            cluster.check_replay();
        }
        answers += cluster.answers;
        starts += cluster.executions.starts.size();
        for (auto const& violation : cluster.executions.violations)
        {
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        }
        if (HasFailure())
        {
            break;
        }
    }
    if (chosen == nullptr && !HasFailure())
    {
        EXPECT_GT(answers, schedule_count) << "the schedules must reach answers";
        EXPECT_GT(starts, schedule_count) << "the schedules must reach starts";
    }
}

} // namespace
} // namespace filbertroad::submission

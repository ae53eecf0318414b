#include "filbertroad/submission/internal/test_cluster.hpp"

#include <cstdlib>
#include <gtest/gtest.h>

namespace filbertroad::submission
{
namespace
{

/// Number of random schedules per run. SUBMISSION_SEED=n runs only the schedule of seed n.
constexpr std::uint64_t schedule_count = 2000;
constexpr int fault_steps = 250;
constexpr std::int64_t recovery_limit_ms = 120'000;

/// Every how many schedules the replay is checked.
constexpr std::uint64_t replay_interval = 10;

// Guards against a task that starts twice, a job that never ends, a false "not run", an answer with
// wrong tasks or bodies, a start sent to an agent that is not registered, and actions that depend
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
        EXPECT_GT(answers, schedule_count) << "too few answers in all schedules";
        EXPECT_GT(starts, schedule_count) << "too few task starts in all schedules";
    }
}

} // namespace
} // namespace filbertroad::submission

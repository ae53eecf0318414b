#ifndef FILBERTROAD_MEASURE_REPLAY_HPP
#define FILBERTROAD_MEASURE_REPLAY_HPP

/// Replays a trace in a discrete-event simulation with fixed delays. The network delays messages by
/// the latencies of the trace and loses none. A target runs one task per slot, for exactly the run
/// time of the task times the slowness of the target. Decisions of the owner take no time.
///
///     auto result = measure::replay_scheduler(trace, {});
///     auto reference = measure::replay_ideal(trace, measure::ideal_policy::earliest_finish);
///
/// Each replay is a pure function of its arguments and thread-safe.

#include "filbertroad/measure/trace.hpp"

#include <cstdint>
#include <vector>

namespace filbertroad::measure
{

inline constexpr time_us not_answered = -1;

/// A completed task.
struct completion
{
    time_us time = 0;
    /// Run time of the task on a target of slowness 1, in microseconds.
    std::uint32_t work = 0;

    friend bool operator<(completion const& a, completion const& b) { return a.time < b.time; }
};

struct replay_result
{
    /// Response time of each job as seen by its caller, or not_answered if the job was refused.
    std::vector<time_us> response_times;
    /// Completed tasks in the order in which they ended at their targets.
    std::vector<completion> completions;
    /// Messages between owner and agents, and those of them that carried neither accepted work nor
    /// a result.
    std::uint64_t messages = 0;
    std::uint64_t wasted_messages = 0;
    std::uint32_t longest_queue = 0;
};

/// Interval in which a zone is out of service.
struct zone_outage
{
    std::uint32_t zone = 0;
    time_us from = 0;
    time_us until = 0;
};

struct replay_options
{
    std::uint64_t seed = 1;
    std::uint32_t max_queued_tasks = 200'000;
    /// Tasks that an agent may queue beyond its slots.
    std::uint32_t prefetch_limit = 0;
    std::vector<zone_outage> outages;
};

/// Replays a trace with scheduling::scheduler.
[[nodiscard]] replay_result replay_scheduler(trace const& input, replay_options const& options);

/// How an ideal scheduler orders jobs and selects targets. Unless stated otherwise the order is
/// that of the scheduler: teams by the number of running tasks; within a team, jobs by arrival plus
/// 10 ms for each task that has not started.
enum class ideal_policy
{
    /// Each task goes, in order, to the target on which it ends first, even if it has to wait there
    /// for a busy slot. This policy is the reference of the response ratio.
    earliest_finish,
    /// Each task starts on the fastest target with a free slot; the policy does not use run times.
    fastest_free,
    /// As earliest_finish, but with jobs in order of arrival.
    first_come_first_served,
};

/// Replays a trace with an ideal scheduler: one global queue with exact speeds and run times.
/// It incurs the network latency once each way: a task is at a target one latency after its job has
/// arrived, and a slot is reused at the moment in which it becomes free.
[[nodiscard]] replay_result replay_ideal(trace const& input, ideal_policy policy,
                                         std::vector<zone_outage> const& outages = {});

/// Simple policies that send each task as soon as it arrives. Each agent queues its tasks in order
/// of arrival.
enum class baseline_policy
{
    /// Each target in turn.
    round_robin,
    /// Power of two choices: the one of two random targets with fewer tasks sent and not answered.
    two_choices,
    /// A random target. Its agent refuses a task if as many tasks as it has slots wait for them.
    /// Refused tasks are sent again.
    agent_queue,
};

[[nodiscard]] replay_result replay_baseline(trace const& input, baseline_policy policy,
                                            std::uint64_t seed);

} // namespace filbertroad::measure

#endif

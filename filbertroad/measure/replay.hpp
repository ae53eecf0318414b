#ifndef FILBERTROAD_MEASURE_REPLAY_HPP
#define FILBERTROAD_MEASURE_REPLAY_HPP

/// Replays a trace through a network and targets with fixed delays. The network delays messages by
/// the latencies of the trace and loses none; a target runs one task in each slot for exactly its
/// run time times its slowness; decisions of the owner take no time.
///
///     auto outcome = measure::replay_scheduler(recorded, {});
///     auto reference = measure::replay_ideal(recorded);
///
/// Each replay is a pure function of its arguments and thread safe.

#include "filbertroad/measure/trace.hpp"

#include <cstdint>
#include <vector>

namespace filbertroad::measure
{

inline constexpr time_us not_answered = -1;

/// A task that ended, with its run time on a target of slowness 1.
struct completion
{
    time_us time = 0;
    std::uint32_t work = 0;

    friend bool operator<(completion const& a, completion const& b) { return a.time < b.time; }
};

/// What a replay observed.
struct replay_result
{
    /// Response time of each job at its caller, or not_answered if it was refused.
    std::vector<time_us> response_times;
    /// Tasks that ended at their target, in order of time.
    std::vector<completion> completions;
    /// Messages between owner and agents, and those of them that carried no accepted work or
    /// answer.
    std::uint64_t messages = 0;
    std::uint64_t wasted_messages = 0;
    std::uint32_t longest_queue = 0;
};

/// A zone that is taken out and returns.
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
    /// Starts that an agent holds beyond its slots.
    std::uint32_t prefetch_limit = 0;
    /// Empty, or the zones that leave and return.
    std::vector<zone_outage> outages;
};

/// The scheduler of this repository.
[[nodiscard]] replay_result replay_scheduler(trace const& input, replay_options const& options);

/// How the ideal orders jobs and chooses targets. Unless stated otherwise the order is that of the
/// scheduler: teams by running tasks; within a team arrival plus 10 ms for each task that has not
/// started.
enum class ideal_policy
{
    /// Each task goes, in order, to the target on which it ends first, waiting there for a busy
    /// slot if need be. This is the reference of the response ratio.
    earliest_finish,
    /// Each task starts on the fastest free target; run times are not used for the choice.
    fastest_free,
    /// As ends_first, but jobs in order of arrival.
    first_come_first_served,
};

/// One global queue that knows every speed and run time and pays the network once each way: a task
/// is at a target one latency after its job arrived, and a slot is taken again at the moment in
/// which it becomes free.
[[nodiscard]] replay_result replay_ideal(trace const& input, ideal_policy policy,
                                         std::vector<zone_outage> const& outages = {});

/// Simple ways to send each task as soon as it arrives; each agent has a queue in order of arrival.
enum class baseline_policy
{
    /// Each target in turn.
    round_robin,
    /// The less loaded of two random targets, by tasks sent and not yet answered.
    two_choices,
    /// A random target whose agent refuses when more than a second set of tasks waits for its
    /// slots; refused tasks are sent again.
    agent_queue,
};

[[nodiscard]] replay_result replay_baseline(trace const& input, baseline_policy policy,
                                            std::uint64_t seed);

} // namespace filbertroad::measure

#endif

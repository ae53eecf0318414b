#ifndef FILBERTROAD_SCHEDULING_SCHEDULER_HPP
#define FILBERTROAD_SCHEDULING_SCHEDULER_HPP

/// Scheduler of one service shard. It admits jobs, orders their tasks and assigns each task to a
/// target with a free slot. For each target it tracks the slots, the learnt speed and the health.
/// It has no clock, thread, socket or random source of its own: the caller passes time and seed.
///
///     auto queue = scheduling::scheduler::builder().seed(7).max_queued_tasks(100'000).build();
///     queue.update_target({.name = "t1", .zone = "khi-b", .slots = 8}, now);
///     auto admitted = queue.admit(job, now);
///     std::vector<scheduling::assignment> assignments;
///     queue.dispatch(now, assignments);
///     queue.task_finished(assignments[0].task, scheduling::task_outcome::succeeded, run_time,
///                         now);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::scheduling
{

/// Identifies a task. `job` is a number that the user of the scheduler assigns.
struct task_id
{
    std::uint64_t job = 0;
    std::uint32_t index = 0;

    // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(task_id const&, task_id const&) = default;
};

/// Announcement of a target.
struct target_info
{
    std::string name;
    std::string zone;
    std::vector<std::string> labels;
    std::uint32_t slots = 0;
    /// Tasks beyond `slots` that the agent may queue until a slot is free. Prefetching is used only
    /// while more tasks are queued than slots are available. It saves a round trip between two
    /// tasks of a slot.
    std::uint32_t prefetch_limit = 0;
};

/// Restricts the targets on which the tasks of a job may run.
struct placement_rule
{
    /// Empty means every zone.
    std::vector<std::string> zones;
    /// Labels that the target must carry.
    std::vector<std::string> labels;

    friend bool operator==(placement_rule const&, placement_rule const&) = default;
};

struct team_limits
{
    std::string name;
    std::uint32_t weight = 1;
    /// Share of this shard in the team's quota.
    std::uint32_t max_running = 0;
    std::uint32_t max_queued = 0;
};

struct job_spec
{
    std::uint64_t job = 0;
    std::string team;
    std::string route;
    placement_rule placement;
    /// Indexes of the tasks to queue. When a recovered job is resubmitted, these are only the tasks
    /// of which no start is known.
    std::vector<std::uint32_t> tasks;
    /// Total size of the payloads in bytes.
    std::size_t bytes = 0;
    /// The last task must start within this time of the admission; zero means no deadline.
    std::chrono::milliseconds deadline{0};
};

enum class admission_code
{
    overloaded,
    team_over_quota,
    deadline_unreachable,
};

struct admission_error
{
    admission_code code;
    std::string detail;
    /// Delay before the next attempt, jitter included.
    std::chrono::milliseconds retry_after;
};

enum class task_outcome
{
    succeeded,
    failed,
    /// The result is unknown; counts as a failure of the target.
    lost,
    cancelled,
};

enum class start_refusal
{
    /// All slots of the target were busy. The scheduler lowers the target's slot limit.
    no_slot,
    /// The target or its zone accepts no work, because of its configuration or because the
    /// confirmation that a start requires is missing.
    not_accepting,
    unreachable,
};

struct assignment
{
    task_id task;
    std::string target;
};

/// A queued task that was removed because it cannot run. It has not started.
struct rejection
{
    task_id task;
    std::string reason;
};

struct target_status
{
    std::string name;
    std::string zone;
    std::string health;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    /// Learnt run time relative to the mean of the shard: 1 is average, 4 is four times slower.
    double slowness = 1;
};

struct queue_status
{
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::chrono::milliseconds oldest_age{0};
};

class scheduler
{
public:
    class builder;

    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;
    ~scheduler();

    /// Adds a target or updates its announcement. The slots of a new target ramp up.
    void update_target(target_info const& target, base::steady_time now);
    /// Marks a target as available, or as unavailable because it or its zone is out of service, it
    /// is leaving, or it is unreachable. Running tasks are not affected. A target that becomes
    /// available again ramps up.
    void set_target_available(std::string_view target, bool available, base::steady_time now);
    /// Removes a target. If it has running tasks, it gets no new ones and is removed after the last
    /// of them has ended.
    void remove_target(std::string_view target, base::steady_time now);
    /// Replaces the limits of all teams. Running tasks of a team that is missing go on; its queued
    /// tasks are rejected by expire().
    void set_teams(std::span<team_limits const> teams);

    /// Queues a job, or returns why it is refused. No task of a refused job has run. Does nothing
    /// if the job has no tasks or has queued tasks already.
    [[nodiscard]] base::result<void, admission_error> admit(job_spec const& job,
                                                            base::steady_time now);
    /// Registers a task that a recovery found running: it occupies a slot of its target and counts
    /// against the quota of its team.
    void adopt_running(task_id const& task, std::string_view team, std::string_view target,
                       base::steady_time now);
    /// Removes the queued tasks of a job and returns their indexes. Running tasks are not affected.
    std::vector<std::uint32_t> cancel_job(std::uint64_t job);

    /// Reports the end of a running task and frees its slot. Unknown tasks are ignored.
    void task_finished(task_id const& task, task_outcome outcome,
                       std::chrono::microseconds run_time, base::steady_time now);
    /// Reports a start that was refused before the task ran. The task is queued again as the first
    /// of its job. Unknown tasks are ignored.
    void task_refused(task_id const& task, start_refusal reason, base::steady_time now);

    /// Appends the assignments to start now.
    void dispatch(base::steady_time now, std::vector<assignment>& out);
    /// Removes and appends queued tasks whose deadline has passed, whose team has no quota, or for
    /// which no registered target meets the placement rule for the unplaceable timeout.
    void expire(base::steady_time now, std::vector<rejection>& out);

    [[nodiscard]] queue_status queue() const;
    [[nodiscard]] std::vector<target_status> targets() const;

private:
    struct state;
    explicit scheduler(std::unique_ptr<state> impl);
    std::unique_ptr<state> impl;
};

/// Builds a scheduler. The default limits suit a shard of 64 targets.
class scheduler::builder
{
public:
    builder();
    /// Seed of the jitter.
    builder& seed(std::uint64_t value);
    builder& max_queued_tasks(std::uint32_t value);
    builder& max_queued_bytes(std::size_t value);
    /// Time after which a task is rejected if no registered target meets its placement rule.
    builder& unplaceable_timeout(std::chrono::milliseconds value);
    /// Time in which the slots of a new target rise from one to all.
    builder& ramp_up(std::chrono::milliseconds value);
    [[nodiscard]] scheduler build() const;

private:
    std::uint64_t seed_value = 1;
    std::uint32_t max_queued_tasks_value = 200'000;
    std::size_t max_queued_bytes_value = 64UL * 1024 * 1024;
    std::chrono::milliseconds unplaceable_timeout_value{5000};
    std::chrono::milliseconds ramp_up_value{2000};
};

} // namespace filbertroad::scheduling

#endif

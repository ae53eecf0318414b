#ifndef FILBERTROAD_SCHEDULING_SCHEDULER_HPP
#define FILBERTROAD_SCHEDULING_SCHEDULER_HPP

/// The queue of one service shard: which task goes to which target next. It admits jobs, orders
/// them, knows the slots, learnt speed and health of each target, and assigns a task only to a
/// target with a free slot. No clock, thread, socket or random source of its own.
///
///     auto queue = scheduling::scheduler::builder().seed(7).max_queued_tasks(100'000).build();
///     queue.update_target({.name = "t1", .zone = "khi-b", .slots = 8}, now);
///     auto admitted = queue.admit(job, now);
///     std::vector<scheduling::assignment> assignments;
///     queue.dispatch(now, assignments);
///     queue.task_finished(assignments[0].task, scheduling::finish::succeeded, run_time, now);
///
/// Not safe for several threads.

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

/// A task of a job of this owner. `job` is a number that the caller of the scheduler chooses.
struct task_id
{
    std::uint64_t job = 0;
    std::uint32_t index = 0;

    // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(task_id const&, task_id const&) = default;
};

/// A target as it is announced.
struct target_info
{
    std::string name;
    std::string zone;
    std::vector<std::string> labels;
    std::uint32_t slots = 0;
    /// Starts that the agent may hold until a slot is free, beyond `slots`. They are used only
    /// while more tasks are queued than slots are open, and save a round trip between two tasks of
    /// a slot.
    std::uint32_t prefetch_limit = 0;
};

/// Where the tasks of a job may go.
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
    /// This owner's part of the quota.
    std::uint32_t max_running = 0;
    std::uint32_t max_queued = 0;
};

struct job_spec
{
    std::uint64_t job = 0;
    std::string team;
    std::string route;
    placement_rule placement;
    /// Indexes of the tasks to run; after a recovery some are left out.
    std::vector<std::uint32_t> tasks;
    /// Sum of the payloads in bytes.
    std::size_t bytes = 0;
    /// Time until which the last task must start; zero means no deadline.
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
    /// When to try again, with jitter.
    std::chrono::milliseconds retry_after;
};

enum class task_outcome
{
    succeeded,
    failed,
    /// The outcome is not known; counts as a failure of the target.
    lost,
    cancelled,
};

enum class start_refusal
{
    /// The target had no room: its usable slots are lowered.
    no_slot,
    /// The target or its zone takes no work for a reason of configuration or confirmation.
    not_accepting,
    /// The target could not be reached.
    unreachable,
};

struct assignment
{
    task_id task;
    std::string target;
};

/// A queued task that can not run; it did not start.
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
    /// Learnt run time relative to the mean of the shard; 1 is average, 4 is four times slower.
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

    /// Adds a target or changes its announcement. A new target's slots ramp up.
    void update_target(target_info const& target, base::steady_time now);
    /// Opens or closes a target: out of service (zone or target), leaving, or unreachable. Running
    /// tasks are not touched. A target that is opened again ramps up.
    void set_target_available(std::string_view target, bool available, base::steady_time now);
    /// Forgets a target that has no running task left; otherwise closes it until it has none.
    void remove_target(std::string_view target, base::steady_time now);
    /// Sets the limits of all teams; teams that are missing keep their running tasks only.
    void set_teams(std::span<team_limits const> teams);

    /// Adds a job to the queue, or says why not; a refused job has not run.
    [[nodiscard]] base::result<void, admission_error> admit(job_spec const& job,
                                                            base::steady_time now);
    /// Counts a task that runs already, learnt from a recovery, against its target.
    void adopt_running(task_id const& task, std::string_view team, std::string_view target,
                       base::steady_time now);
    /// Takes the queued tasks of a job off the queue and returns them.
    std::vector<std::uint32_t> cancel_job(std::uint64_t job);

    /// The end of a running task. Unknown tasks are ignored.
    void task_finished(task_id const& task, task_outcome how, std::chrono::microseconds run_time,
                       base::steady_time now);
    /// A start that was refused before the target ran it; the task is queued again, in front.
    void task_refused(task_id const& task, start_refusal reason, base::steady_time now);

    /// Appends what to start now.
    void dispatch(base::steady_time now, std::vector<assignment>& out);
    /// Appends tasks that no target can ever run, or whose deadline passed.
    void expire(base::steady_time now, std::vector<rejection>& out);

    [[nodiscard]] queue_status queue() const;
    [[nodiscard]] std::vector<target_status> targets() const;

private:
    struct state;
    explicit scheduler(std::unique_ptr<state> impl);
    std::unique_ptr<state> impl;
};

/// Builds a scheduler; every bound has a default that suits a shard of 64 targets.
class scheduler::builder
{
public:
    builder();
    /// Seed of the jitter.
    builder& seed(std::uint64_t value);
    builder& max_queued_tasks(std::uint32_t value);
    builder& max_queued_bytes(std::size_t value);
    /// Time after which a task that no registered target could run is rejected.
    builder& unplaceable_timeout(std::chrono::milliseconds value);
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

#ifndef FILBERTROAD_DISPATCH_MESSAGES_HPP
#define FILBERTROAD_DISPATCH_MESSAGES_HPP

/// Messages between entries and agents about runs. A run is one attempt to execute a task; the runs
/// of a task are numbered from 1.

#include "filbertroad/dispatch/target_announcement.hpp"
#include "filbertroad/model/resources.hpp"
#include "filbertroad/model/shared_text.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::dispatch
{

using std::chrono::milliseconds;

/// Number of priority classes in load reports. All priorities from `priority_classes` - 1 on are
/// counted in the last class.
inline constexpr std::size_t priority_classes = 3;

/// One process of an entry or an agent. A restarted process has a greater incarnation.
struct process_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    friend bool operator==(process_id const&, process_id const&) = default;
};

/// An entry and the address (IP:PORT) at which it accepts links.
struct entry_address
{
    std::string name;
    std::string link;

    friend bool operator==(entry_address const&, entry_address const&) = default;
};

/// Identity of a run: the task and the number of the run, from 1.
struct run_id
{
    std::string task;
    std::uint32_t run = 0;

    friend bool operator==(run_id const&, run_id const&) = default;
};

/// Request of an entry to an agent to start a run.
struct start_order
{
    run_id id;
    model::shared_text payload;
    model::resources resources;
    /// Estimated run time on a target of speed 1.
    milliseconds estimate{};
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Longest time in the agent's queue; a run not started by then is reported as not started. A
    /// run with 0 is returned at once if it cannot be started immediately.
    milliseconds queue_timeout{};
    std::string route;
    /// Labels without which the target must not start the run.
    std::vector<std::string> required_labels = {};
    /// Most runs of the task's step on the target at the same time; 0 if there is no limit.
    std::uint32_t max_per_target = 0;
};

enum class run_end
{
    succeeded,
    /// The target reported a failure.
    failed,
    /// The target has not started the run and will not start it.
    not_started,
    /// The run was started, or may have been, and certainly is no longer running; it has no result.
    lost,
};

[[nodiscard]] std::string_view to_string(run_end end);

/// Reason of the answer to a job that its caller has cancelled or whose callers have left, and of
/// the end of a run that its entry has cancelled.
inline constexpr std::string_view cancelled_reason = "cancelled";

/// Report of an agent that a run ended. `reason` is a text for display and logs.
struct run_report
{
    run_id id;
    run_end end = run_end::lost;
    std::string reason;
    /// Time from the start to the end of the run; 0 if unknown. A run that was lost with its target
    /// ended when the target was last heard from.
    milliseconds elapsed{};
    /// Time spent in the agent's queue before the start.
    milliseconds queued{};
    /// Whether a lost run ended because its target crashed or became silent under it. False for
    /// other causes of a loss, and where the cause is unknown.
    bool target_lost = false;
};

/// Whether a target makes progress, from all of its runs.
enum class target_progress_state
{
    /// Not reported: the agent is of an earlier version.
    unknown,
    /// Runs end as expected; those that do not are long because of their tasks.
    normal,
    /// So many runs are overdue that the target is the cause.
    delayed,
};

/// Why an entry cancels a run and runs the task again on another target.
enum class move_reason
{
    none,
    /// The run is overdue, and runs of its route do not normally take so long.
    overdue,
    /// The run is overdue, and the other runs on its target show that the target is the cause.
    target_delayed,
    /// The run takes longer than even the longest tasks of its route.
    longer_than_tail,
};

[[nodiscard]] std::string_view to_string(move_reason reason);

/// Load and readiness of a target, reported by its agent to an entry.
struct target_status
{
    /// Timestamp of the status by the agent's clock, in milliseconds. The entry echoes it.
    std::uint64_t stamp_ms = 0;
    std::uint64_t snapshot_offset = 0;
    /// Start requests that the agent has received on this link from the entry it reports to.
    std::uint64_t starts_seen = 0;
    bool accepting = false;
    std::string service;
    std::string zone;
    model::resources capacity;
    model::resources free;
    /// Estimated remaining work of the runs on the target, in core-milliseconds at the target's own
    /// speed.
    double running_work = 0;
    /// Estimated work of queued runs in the same unit, by priority class.
    std::array<double, priority_classes> queued_work{};
    /// Estimated run times divided by measured run times.
    double speed = 1;
    /// Recent share of the cores used by runs of each priority class, 0 to 1.
    std::array<double, priority_classes> class_load{};
    /// Crashes of the target under running tasks that this agent has observed.
    std::uint64_t crash_count = 0;
    /// Routes of the runs that started right before the last crash, if that was recent.
    std::vector<std::string> crash_routes;
    target_progress_state progress = target_progress_state::unknown;
    target_labels labels;
};

/// Request of an entry to another one to cancel a job. `number` is returned with the reply.
struct cancel_query
{
    std::uint64_t number = 0;
    std::string key;

    friend bool operator==(cancel_query const&, cancel_query const&) = default;
};

struct cancel_reply
{
    std::uint64_t number = 0;
    /// The entry held the job and has cancelled it.
    bool held = false;

    friend bool operator==(cancel_reply const&, cancel_reply const&) = default;
};

/// Heartbeat of an entry to an agent.
struct entry_heartbeat
{
    /// Newest `target_status::stamp_ms` received from the agent; 0 if none.
    std::uint64_t echoed_stamp_ms = 0;
    std::uint64_t snapshot_offset = 0;
};

} // namespace filbertroad::dispatch

#endif

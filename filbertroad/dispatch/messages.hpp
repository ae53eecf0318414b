#ifndef FILBERTROAD_DISPATCH_MESSAGES_HPP
#define FILBERTROAD_DISPATCH_MESSAGES_HPP

/// Values that entries and agents exchange about runs. A task may be started several times; each
/// start is a run, numbered from 1 for each task.

#include "filbertroad/model/resources.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::dispatch
{

using std::chrono::milliseconds;

/// Priorities from this one on share a queue class in reports of load.
inline constexpr std::size_t priority_classes = 3;

/// One process of an entry or an agent; a restart has a greater incarnation.
struct process_identity
{
    std::string name;
    std::uint64_t incarnation = 0;

    friend bool operator==(process_identity const&, process_identity const&) = default;
};

/// An entry and where its links are accepted (IP:PORT).
struct entry_address
{
    std::string name;
    std::string link;

    friend bool operator==(entry_address const&, entry_address const&) = default;
};

/// One run of a task.
struct run_id
{
    std::string task;
    std::uint32_t run = 0;

    friend bool operator==(run_id const&, run_id const&) = default;
};

/// Order of an entry to start a run.
struct start_order
{
    run_id id;
    std::string payload;
    model::resources resources;
    /// Rough run time on a target of speed 1.
    milliseconds estimate{};
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Time left in which a start is of use; a run not started by then is returned.
    milliseconds queue_timeout{};
};

enum class run_end
{
    succeeded,
    /// The target reports a failure.
    failed,
    /// The target never began the run and will not.
    not_started,
    /// The run was begun and is proved over without a result.
    lost,
};

[[nodiscard]] std::string_view to_string(run_end end);

/// How a run ended. `reason` is for people.
struct run_report
{
    run_id id;
    run_end end = run_end::lost;
    std::string reason;
    /// Time from the start to the end on the target; 0 if unknown.
    milliseconds elapsed{};
    /// Time in the agent's queue before the start.
    milliseconds queued{};
};

/// Load and readiness of a target, told by its agent.
struct target_status
{
    /// Agent's clock when the status was made; the entry echoes it.
    std::uint64_t stamp_ms = 0;
    std::uint64_t snapshot_offset = 0;
    /// Starts received from the reader of this status on this link.
    std::uint64_t starts_seen = 0;
    bool accepting = false;
    std::string service;
    std::string zone;
    model::resources capacity;
    model::resources free;
    /// Estimated work left in runs on the target, in core-milliseconds of the target's own time.
    double running_work = 0;
    /// The same for queued runs, by class of priority.
    std::array<double, priority_classes> queued_work{};
    /// Estimated run times divided by measured ones.
    double speed = 1;
    /// Share of the cores that runs of each class have used lately.
    std::array<double, priority_classes> class_load{};
};

/// Proof of life of an entry, told to an agent.
struct entry_heartbeat
{
    /// Newest `target_status::stamp_ms` received; 0 if none.
    std::uint64_t echoed_stamp_ms = 0;
    std::uint64_t snapshot_offset = 0;
};

} // namespace filbertroad::dispatch

#endif

#ifndef FILBERTROAD_SUBMISSION_INTERNAL_JOB_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_JOB_HPP

/// A job and its tasks as the owner stores them. Tasks are stored without their identity, and
/// history lines without text, to save memory: an owner holds every key of the last 15 minutes.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/scheduling/scheduler.hpp"
#include "filbertroad/submission/internal/task_lifecycle.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace filbertroad::submission::internal
{

struct agent_record;

/// The result of a task, without the identity of the task.
struct task_answer
{
    wire::outcome outcome = wire::outcome_unset;
    std::string body;
    std::string reason;
    std::string target;
    std::uint32_t run_time_us = 0;
    std::uint64_t started_unix_ms = 0;
};

/// Converts a result. A result without an outcome becomes "may have run".
[[nodiscard]] task_answer to_answer(wire::task_result const& result);

struct task
{
    task_state state = task_state::queued;
    /// The task was started by a previous owner, and its start is known from a ledger.
    bool adopted = false;
    /// Job id of the task in the scheduler while the task is queued or at an agent.
    std::uint64_t scheduler_job_id = 0;
    /// The agent that the task was sent to. Null unless the task is at the agent or was lost there.
    agent_record* agent = nullptr;
    /// Empty once the task has ended.
    std::string payload;
    std::unique_ptr<task_answer> answer;
};

enum class history_event : std::uint8_t
{
    accepted,
    recovered,
    resumed,
    sent,
    refused,
    not_received,
    running,
    cancel_requested,
    ended,
    handed_over,
    /// Marks that later lines are omitted, which bounds memory.
    truncated,
};

/// One line of `explain`. `target` is an id from job_table::intern_name.
struct history_line
{
    std::uint64_t unix_ms = 0;
    std::uint32_t index = 0;
    std::uint32_t target = 0;
    history_event event = history_event::accepted;
    wire::refusal refusal = wire::refusal_unset;
};

/// Task index of history lines that concern the whole job.
inline constexpr std::uint32_t whole_job = 0xffffffffU;

/// The parts of a job that are dropped once its answers are acknowledged.
struct job_content
{
    std::string traceparent;
    std::vector<task> tasks;
    std::vector<history_line> history;
    std::vector<std::string> needs;
    scheduling::placement_rule placement;
    std::chrono::milliseconds task_timeout{0};
    std::chrono::milliseconds deadline{0};
    /// Ids in the scheduler that tasks of this job have or had.
    std::vector<std::uint64_t> scheduler_job_ids;
    /// Requests that wait for the end of the job.
    std::vector<std::uint64_t> waiting_request_numbers;
    std::string reason;
    /// When the job became known from a ledger.
    base::steady_time interrupted_at;
    /// The view in which a key lookup found that no other member holds the key.
    std::uint64_t lookup_completed_view = 0;
    std::uint32_t interrupted_tasks = 0;
    std::uint32_t queued_tasks = 0;
    std::uint32_t succeeded_tasks = 0;
    /// This owner has received the caller's request, or the job in a handover.
    bool submitted = false;
    bool repeatable = false;
    bool cancel_requested = false;
    /// At least one answer says that its task did not run.
    bool reports_not_run = false;
};

struct job
{
    /// Points to the key of the job in job_table.
    model::job_id const* identity = nullptr;
    std::string digest;
    base::system_time created;
    base::system_time ended_at;
    base::steady_time key_expires_at;
    /// Null once the answers were acknowledged or have expired.
    std::unique_ptr<job_content> content;
    /// Order of acceptance at this owner.
    std::uint64_t serial = 0;
    std::size_t bytes = 0;
    std::uint32_t task_count = 0;
    std::uint32_t ended_tasks = 0;
    /// Id of the team name from job_table::intern_name.
    std::uint32_t team = 0;
    bool failed = false;
    bool handed_over = false;
    /// Starts by a previous owner may have been lost with a ledger, perhaps under another body.
    bool in_doubt = false;

    [[nodiscard]] model::job_id const& id() const { return *this->identity; }
    [[nodiscard]] bool has_ended() const { return this->ended_tasks == this->task_count; }
};

} // namespace filbertroad::submission::internal

#endif

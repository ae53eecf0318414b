#ifndef FILBERTROAD_DISPATCH_INTERNAL_DISPATCH_JOB_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_DISPATCH_JOB_HPP

/// Jobs and tasks of a job dispatcher; for its sources only.
///
///     for (auto& item : owner.tasks) if (item.state == task_state::waiting) ...

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include <string>
#include <vector>

namespace filbertroad::dispatch
{

enum class job_dispatcher::task_state
{
    /// Earlier steps are not done.
    blocked,
    /// To be placed on an agent.
    waiting,
    /// Sent to an agent; its end is not known.
    sent,
    succeeded,
};

struct job_dispatcher::task
{
    std::string name;
    std::size_t step = 0;
    /// Run time at speed 1; raised when runs prove it too low.
    milliseconds estimate{};
    task_state state = task_state::blocked;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    std::string agent;
    start_order order;
    base::steady_time sent{};
    /// Expected wait and run time at the time of sending.
    milliseconds expected{};
    bool is_cancel_sent = false;
    /// Agent that stalled or failed the last run; used again only if no other is open.
    std::string avoided;
};

struct job_dispatcher::job
{
    job_request request;
    base::steady_time arrived{};
    base::steady_time deadline{};
    milliseconds objective{};
    /// Time after which the answer is of no use; no task is started for an end after it.
    base::steady_time expires_at{};

    /// Until when a run may end. Its estimate, and so the objective, may be far too low; a run that
    /// takes free room delays no other and may use all of the caller's time.
    [[nodiscard]] base::steady_time latest_end(bool needs_queue) const
    {
        return needs_queue ? this->expires_at : this->deadline;
    }
    std::vector<task> tasks;
    std::size_t unfinished = 0;
    /// Starts sent to agents.
    std::uint32_t runs = 0;
    /// Whether a run may have begun on a target.
    bool may_have_run = false;
    bool is_ended = false;
};

namespace internal
{

/// `time` multiplied by `factor`, in whole milliseconds.
[[nodiscard]] inline milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace internal

} // namespace filbertroad::dispatch

#endif

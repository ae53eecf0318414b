#ifndef FILBERTROAD_DISPATCH_INTERNAL_DISPATCH_JOB_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_DISPATCH_JOB_HPP

/// Jobs and tasks of a job dispatcher; internal to its source files.
///
///     added.create_tasks();
///     added.change(added.tasks[0], task_state::sent);
///     if (added.sent.empty()) ...

#include "filbertroad/dispatch/internal/task_index_list.hpp"
#include "filbertroad/dispatch/job_dispatcher.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::dispatch
{

enum class job_dispatcher::task_state
{
    /// Earlier steps have not completed.
    blocked,
    /// Not yet placed on an agent.
    waiting,
    /// Sent to an agent; its end has not been reported.
    sent,
    succeeded,
};

struct job_dispatcher::task
{
    std::string name;
    std::size_t step = 0;
    /// Estimated run time at speed 1; raised when a run shows that it is too low.
    milliseconds estimate{};
    task_state state = task_state::blocked;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    /// Lost runs that the entry had not cancelled, or that were lost with their target.
    std::uint32_t losses = 0;
    /// Runs lost with their target.
    std::uint32_t target_losses = 0;
    std::string agent;
    start_order order;
    base::steady_time sent{};
    /// Expected wait, run time and network round trip when the start was sent.
    milliseconds expected{};
    /// Expected run time when the start was sent.
    milliseconds expected_run{};
    bool is_cancel_sent = false;
    /// Starts that agents returned because they had no free resources.
    std::uint32_t returns = 0;
    /// Agent on which the last run stalled or failed; used again only if no other is available.
    std::string avoided;
    /// Why the last run was moved.
    move_reason moved = move_reason::none;
    /// Agent chosen for a task with constraints while the admission of its job is decided.
    std::string planned_agent;
    /// Of the newest start: run time there over the run time near the task's data.
    double run_factor = 1;
    task_place place = task_place::any;
    /// Times that the task was returned from the queue of a near place.
    std::uint32_t near_waits = 0;
    /// Whether the newest run was returned from there.
    bool is_near_wait_over = false;
};

/// Targets that a task with constraints may use.
struct job_dispatcher::target_filter
{
    placement_constraints const& constraints;
    /// Number of tasks of the step by agent; null unless the step limits it.
    std::map<std::string, std::uint32_t, std::less<>> const* occupied = nullptr;
    /// Permits only targets on `rack`, or only others.
    enum class rack_rule
    {
        any,
        on_rack,
        off_rack,
    } rule = rack_rule::any;
    std::string_view rack = {};
    /// Run time on the permitted targets over the run time near the task's data.
    double run_factor = 1;

    [[nodiscard]] bool permits(std::string_view agent, target_labels const& labels) const;
};

struct job_dispatcher::job
{
    job_request request;
    base::steady_time arrived{};
    base::steady_time deadline{};
    milliseconds objective{};
    /// Time after which the answer is useless to the caller. No task is queued that would end
    /// later.
    base::steady_time expires_at{};

    /// Latest time at which a run may end. The estimate, and therefore the objective, may be far
    /// too low. A run on free resources delays no other run, so it may use all of the caller's time
    /// budget.
    [[nodiscard]] base::steady_time latest_end(bool needs_queue) const
    {
        return needs_queue ? this->expires_at : this->deadline;
    }
    /// Progress of a step. Kept up to date with each change of a task, so that a change does not
    /// cost a pass over the tasks of the job.
    struct step_progress
    {
        /// Index of the step's first task; the others follow it.
        std::uint32_t first_task = 0;
        /// Tasks that have not succeeded.
        std::uint32_t unfinished = 0;
        /// Tasks that are sent or have succeeded.
        std::uint32_t placed = 0;
        /// Elements of `after` that name a step with unfinished tasks.
        std::uint32_t blocking = 0;
        /// Position of the steps that wait for this one in `successors`.
        std::uint32_t first_successor = 0;
        std::uint32_t successor_count = 0;
        /// Tasks by agent that are planned there or whose run there may not have ended. Only kept
        /// if the step limits them.
        std::map<std::string, std::uint32_t, std::less<>> occupied;
    };

    /// Creates the tasks of all steps; those of steps without predecessors are waiting.
    void create_tasks();
    /// Changes the state of a task. When it is the last of its step to succeed, the tasks of steps
    /// that wait for no other step become waiting too.
    void change(task& item, task_state next);
    void unblock_successors(step_progress const& completed);
    /// Counts a task on the agent that is planned for it or to which it is sent.
    void occupy(task const& item, std::string const& agent);
    /// Index after the last task of the step of `item`.
    [[nodiscard]] std::uint32_t end_of_step(task const& item) const
    {
        return this->steps[item.step].first_task + this->request.steps[item.step].count;
    }
    [[nodiscard]] bool limits_targets(task const& item) const
    {
        auto const& constraints = this->request.steps[item.step].constraints;
        return constraints && constraints->max_per_target != 0;
    }

    /// Tasks of a step are adjacent.
    std::vector<task> tasks;
    std::vector<step_progress> steps;
    std::vector<std::uint32_t> successors;
    internal::task_index_list waiting;
    internal::task_index_list sent;
    std::size_t unfinished = 0;
    /// Counts towards the waiting jobs of its route: no start of it has been sent.
    bool is_counted_as_waiting = false;
    /// Rack of each step that is to run on one; empty if the step is spread.
    std::map<std::size_t, std::string> racks;
    /// Part of the estimate of the bytes that all jobs hold.
    std::size_t bytes = 0;
    /// Starts sent to agents.
    std::uint32_t runs = 0;
    /// Whether a run may have started on a target.
    bool may_have_run = false;
    bool is_ended = false;
    /// Time after which the caller may send the job again if it is refused; the default if absent.
    std::optional<std::chrono::seconds> retry_after;
    /// Share of such jobs that was refused when this one arrived.
    double refused_share = 0;
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

#ifndef FILBERTROAD_DISPATCH_JOB_DISPATCHER_HPP
#define FILBERTROAD_DISPATCH_JOB_DISPATCHER_HPP

/// Decisions of an entry: which jobs are accepted, which agent gets which task, when a task is
/// started again, and when a job's answer is known. The entry that received a job owns it until
/// its answer; other entries do not know it. No input or output: the process feeds events and
/// carries out the actions that take_actions() returns.
///
///     job_dispatcher dispatcher(clock, {});
///     dispatcher.agent_connected({"agent-1", 1});
///     dispatcher.status_received("agent-1", status);
///     dispatcher.submit(std::move(job));
///     for (auto& action : dispatcher.take_actions()) carry_out(action);
///
/// A task is started again only when its earlier run is proved over: by the agent's report, by a
/// new incarnation of the agent, or because the agent's authority and its target's lease are over.
///
/// Not safe for several threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/internal/agent_view.hpp"
#include "filbertroad/dispatch/internal/overload_detector.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace filbertroad::dispatch
{

struct dispatch_limits
{
    /// Silence of an agent after which its runs for this entry are being stopped, so that they
    /// cannot succeed any more; `agent_limits::authority`.
    milliseconds entry_lease{600};
    /// Silence of an agent after which its runs are over: authority, patience with stops and a
    /// lease on the slowest clock of `agent_limits`, and 50 ms for the end of a run.
    milliseconds runs_expire_after{1'565};
    /// Share of the latency objective for which a job may wait for a target that takes work.
    double placement_timeout_factor = 0.25;
    /// Time before the latency objective at which a run must be expected to end for its target to
    /// count as fast enough; covers the ways of the request and the answer. An estimate that is
    /// off by 40 % moves the run time and the objective alike, so that no share of the run time is
    /// kept back.
    milliseconds objective_margin{25};
    /// Share by which a run may take longer than its estimate, from the platform's runs.
    std::int64_t max_overrun_percent = 40;
    /// Multiple of the latency objective after which an answer is of no use to the caller.
    double expiry_factor = 3;
    /// Jobs held at the same time; more are refused.
    std::size_t max_jobs = 20'000;
    /// A run is given up as stalled after this multiple of its expected time, and `stall_slack`.
    double stall_factor = 2.5;
    milliseconds stall_slack{150};
    /// Time between entry and target and back that is expected beside waiting and running.
    milliseconds round_trip_time{4};
    /// Wait in an agent's queue after which a task is placed anew: this multiple of the expected
    /// one and the slack. A task that is placed anew loses its turn, so that both are generous.
    std::int64_t queue_factor = 4;
    milliseconds queue_slack{400};
    /// When a caller may come back after a refusal.
    std::chrono::seconds retry_after{1};
};

/// Tasks of a job that are alike.
struct job_step
{
    std::uint32_t count = 0;
    model::resources resources;
    milliseconds estimate{};
    /// Earlier steps, by position, whose tasks must all have succeeded.
    std::vector<std::uint32_t> after;
};

struct job_request
{
    /// Unique name; task names begin with it.
    std::string key;
    std::string route;
    std::string service;
    std::string payload;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double stretch = 1;
    milliseconds target_latency{};
    /// Time from now in which the caller waits for the answer.
    milliseconds time_budget{};
    std::vector<job_step> steps;
};

enum class job_outcome
{
    completed,
    /// A task has failed as often as its route allows.
    failed,
    /// Some task has run or may have run, and the job cannot be completed in time.
    given_up,
    /// No task has run, and none will.
    not_run,
};

[[nodiscard]] std::string_view to_string(job_outcome outcome);

struct send_start
{
    std::string agent;
    start_order order;
    /// Expected waiting and running time there.
    milliseconds wait{};
    milliseconds run{};
};

struct send_cancel
{
    std::string agent;
    run_id id;
};

struct send_acknowledgement
{
    std::string agent;
    run_id id;
};

/// All runs that an agent still has for this entry, after its link came up again.
struct send_resume
{
    std::string agent;
    std::vector<start_order> orders;
};

struct answer_job
{
    std::string key;
    job_outcome outcome = job_outcome::failed;
    std::string reason;
    /// Set for jobs that were not run.
    std::optional<std::chrono::seconds> retry_after;
    milliseconds held{};
    std::uint32_t runs = 0;
};

using dispatch_action =
    std::variant<send_start, send_cancel, send_acknowledgement, send_resume, answer_job>;

class job_dispatcher
{
public:
    job_dispatcher(base::clock const& clock, dispatch_limits limits);
    ~job_dispatcher();
    job_dispatcher(job_dispatcher const&) = delete;
    job_dispatcher& operator=(job_dispatcher const&) = delete;

    /// Takes a job. A job whose key is present already replaces nothing: the answer of the present
    /// one serves both. The answer comes as an action, at once if the job is refused.
    void submit(job_request request);
    /// The caller has left, or cancels: the job's runs are stopped. Returns whether it was present.
    bool cancel(std::string_view key);
    [[nodiscard]] bool holds(std::string_view key) const;

    void agent_connected(process_identity const& agent);
    void agent_disconnected(std::string_view agent);
    void status_received(std::string_view agent, target_status const& status);
    void run_ended(std::string_view agent, run_report const& report);
    void tick();

    [[nodiscard]] std::vector<dispatch_action> take_actions();
    [[nodiscard]] std::size_t job_count() const { return this->jobs.size(); }
    /// Jobs of `route` of which no task has been started.
    [[nodiscard]] std::size_t waiting_jobs(std::string_view route) const;
    [[nodiscard]] std::size_t open_agents() const;

private:
    enum class task_state;
    struct task;
    struct job;
    struct task_location
    {
        job* owner = nullptr;
        std::size_t index = 0;
    };
    /// The lower one goes first; within one rank the least expected completion does.
    enum class placement_rank
    {
        /// Room is free now and the run ends within the objective.
        immediate,
        /// The run waits for room and ends within the objective.
        in_time,
        /// Room is free now and the answer is late, but still of use to the caller. A late task on
        /// an idle target delays no other; in the queue of a fast target it makes others late.
        immediate_but_late,
        late,
    };

    struct placement
    {
        std::string const* agent = nullptr;
        milliseconds wait{};
        milliseconds run{};
        placement_rank rank = placement_rank::late;

        [[nodiscard]] bool is_better_than(placement const& other) const;
    };

    /// The open agent with the best rank and then the least expected completion. `avoided` only if
    /// no other is open.
    [[nodiscard]] std::optional<placement> choose_placement(job const& owner, task const& item,
                                                            std::string const& avoided) const;
    [[nodiscard]] placement_rank rank(job const& owner, placement const& candidate,
                                      base::steady_time now) const;
    [[nodiscard]] bool is_too_late(job const& owner, placement const& chosen,
                                   base::steady_time now) const;
    [[nodiscard]] bool are_most_agents_suspended(base::steady_time now) const;
    void unblock_tasks(job& owner);
    void place_waiting_tasks(job& owner);
    /// Counts the task as load of the chosen agent.
    void reserve(job const& owner, task const& item, placement const& chosen);
    void send(job& owner, task& item, placement const& chosen);
    /// Whether it is certain that no task of the job has run.
    [[nodiscard]] static bool is_not_run(job const& owner);
    /// Ends a job that cannot be completed; tells the caller whether a task may have run.
    void give_up(job& owner, std::string_view reason);
    bool give_up_if_too_late(job& owner);
    /// Places the tasks of a new job, or refuses it as a whole.
    void admit(job& owner);
    void remove_if_ended(job& owner);
    void finish(job& owner, job_outcome outcome, std::string_view reason);
    void check_job(job& owner);
    void check_task(job& owner, task& item);
    void handle_run_end(job& owner, task& item, std::string_view agent, run_report const& report);
    /// A run of the task was cancelled after `work`, the run time at speed 1, without an end. With
    /// the estimate as it was, the next run would be cancelled at the same point, and so on.
    static void raise_estimate(task& item, milliseconds work);
    void mark_agent_runs_lost(std::string_view agent, std::string_view reason);

    base::clock const& clock;
    dispatch_limits limits;
    std::map<std::string, internal::agent_view, std::less<>> agents;
    std::map<std::string, std::unique_ptr<job>, std::less<>> jobs;
    std::unordered_map<std::string, task_location> tasks;
    std::vector<dispatch_action> actions;
    internal::overload_detector overload;
};

} // namespace filbertroad::dispatch

#endif

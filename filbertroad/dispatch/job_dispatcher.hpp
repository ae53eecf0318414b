#ifndef FILBERTROAD_DISPATCH_JOB_DISPATCHER_HPP
#define FILBERTROAD_DISPATCH_JOB_DISPATCHER_HPP

/// State machine of an entry: it decides which jobs are admitted, which agent gets which task, when
/// a task is retried, and when a job is answered. The entry that received a job owns it until it is
/// answered; other entries have no record of the job. The dispatcher does no input or output: the
/// process feeds events and executes the actions that take_actions() returns.
///
///     job_dispatcher dispatcher(clock, {});
///     dispatcher.agent_connected({"agent-1", 1});
///     dispatcher.status_received("agent-1", status);
///     dispatcher.submit(std::move(job));
///     for (auto& action : dispatcher.take_actions()) carry_out(action);
///
/// A task is retried only when its earlier run has certainly ended. That is shown by the agent's
/// report, by a new incarnation of the agent, or by the expiry of this entry's lease at the agent
/// and of the lease of the agent's target.
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/admission_counts.hpp"
#include "filbertroad/dispatch/admission_policy.hpp"
#include "filbertroad/dispatch/internal/agent_view.hpp"
#include "filbertroad/dispatch/internal/crash_evidence.hpp"
#include "filbertroad/dispatch/internal/load_shedder.hpp"
#include "filbertroad/dispatch/internal/locality_choice.hpp"
#include "filbertroad/dispatch/internal/overload_detector.hpp"
#include "filbertroad/dispatch/internal/route_work.hpp"
#include "filbertroad/dispatch/internal/straggler_policy.hpp"
#include "filbertroad/dispatch/messages.hpp"
#include "filbertroad/dispatch/placement_constraints.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace filbertroad::dispatch
{

/// Timeouts, factors and limits of a job dispatcher.
struct dispatch_limits
{
    /// Duration of this entry's lease at an agent, `agent_limits::entry_lease`. After this time
    /// without a message the agent stops its runs for this entry, so that they cannot succeed.
    milliseconds entry_lease{600};
    /// Time without a message from an agent after which its runs have ended. Sum of the following
    /// values of `agent_limits`: the entry lease, and a target lease that is counted from the last
    /// contact, on the slowest clock; and 50 ms for the end of a run. Callers of a crashed entry
    /// send their jobs again after 1,300 ms, so it must be less.
    milliseconds runs_expire_after{1'275};
    /// Interval between two calls of tick() above which this process counts as paused. Messages
    /// that arrived meanwhile have not been read, so that no agent counts as silent.
    milliseconds longest_tick_interval{200};
    /// Time after a pause in which messages that arrived during the pause are read.
    milliseconds catch_up_time{100};
    /// Share of the latency objective for which a job may wait for a target that accepts starts.
    double placement_timeout_factor = 0.25;
    /// Time from the start of the entry until it is linked to its agents. Until then a job that
    /// fits no known target waits for others.
    milliseconds agent_discovery_time{1'000};
    /// A target counts as fast enough if the run is expected to end this long before the latency
    /// objective. The margin covers the transfer of the request and the answer. It contains no
    /// share of the run time, because an estimate that is off by 40 % changes the run time and the
    /// objective alike.
    milliseconds objective_margin{25};
    /// Percentage by which a run may exceed its estimate, as observed on the platform.
    std::int64_t max_overrun_percent = 40;
    /// Multiple of the latency objective after which an answer is useless to the caller.
    double expiry_factor = 3;
    /// Maximum number of concurrent jobs; more are refused.
    std::size_t max_jobs = 20'000;
    /// Maximum number of tasks of concurrent jobs, and of bytes that the jobs hold as estimated by
    /// internal::job_footprint(). A job beyond them is refused, unless it is the only one.
    std::size_t max_tasks = 200'000;
    std::size_t max_job_bytes = 1024UL * 1024 * 1024;
    /// Starts sent to one agent whose ends are not known. An agent with so many gets no further
    /// ones from this entry: each of its reports costs a pass over its runs.
    std::size_t max_runs_per_target = 1'000;
    /// Jobs with more tasks leave a quarter of `max_tasks`, `max_job_bytes` and
    /// `max_runs_per_target` to others.
    std::size_t large_job_tasks = 270;
    /// A run counts as stalled after this multiple of its expected time plus `stall_slack`.
    double stall_factor = 2.5;
    milliseconds stall_slack{150};
    /// Expected network round-trip time between entry and target.
    milliseconds round_trip_time{4};
    /// A task is placed again after waiting in an agent's queue for this multiple of the expected
    /// wait plus `queue_slack`. Both are large, because a task that is placed again loses its
    /// position in the queue.
    std::int64_t queue_factor = 4;
    milliseconds queue_slack{400};
    /// A start that expects free resources is returned by an agent that has none, and the task is
    /// placed again with the load that the agent reports with it. After so many returns the task
    /// waits in the agent's queue instead.
    std::uint32_t max_returns = 3;
    /// A job is given up when so many runs of one of its tasks were lost with their target. The
    /// task may be what crashes the targets, and would crash more of them.
    std::uint32_t max_target_losses = 2;
    /// A job is given up when so many runs of one of its tasks were lost, whatever the cause,
    /// except by cancellation. A crash of the target is hidden if the agent ends at the same time.
    std::uint32_t max_losses = 5;
    /// Share of the targets of a service that run the tasks of routes that crash their targets.
    double isolated_share = 0.25;
    /// Run time of a task away from its place or its group over the run time there; at least 1.
    double far_factor = 1;
    /// Weight of the waiting that the extra work of a far run causes, in the choice between a wait
    /// and a far run; 1 counts the time of other tasks like that of the task itself.
    double extra_work_weight = 1;
    /// Waits for a near place that a task gives up before it no longer waits for one.
    std::uint32_t max_near_waits = 2;
    /// Replaces the choice by a fixed time for which a task waits for a near place. Only for
    /// comparisons in simulations.
    std::optional<milliseconds> fixed_near_wait = {};
    /// How jobs that must wait for a target are admitted.
    admission_policy admission = admission_policy::detector;
    /// Targets with recent reports from which on the shared policy is used; with fewer, one long
    /// run in a queue counts as a backlog of all, and the detector is used.
    std::size_t min_shared_targets = 24;
    /// Entries up to which the shared policy is used. An agent reports to eight entries: with more
    /// than twice as many, an entry sees less than half of the targets, and the entries refuse
    /// different shares.
    std::size_t max_shared_entries = 16;
    /// Time after which a caller may retry a refused job.
    std::chrono::seconds retry_after{1};
};

/// Group of tasks of a job with equal requirements.
struct job_step
{
    std::uint32_t count = 0;
    model::resources resources;
    milliseconds estimate{};
    /// Indexes of earlier steps whose tasks must all have succeeded before this step starts.
    std::vector<std::uint32_t> after;
    /// Absent if the tasks run equally well on every target.
    std::optional<placement_constraints> constraints = {};
};

struct job_request
{
    /// Unique name; the names of the job's tasks start with it.
    std::string key;
    std::string route;
    std::string service;
    /// Shared by the orders of all tasks.
    model::shared_text payload;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double stretch = 1;
    milliseconds target_latency{};
    /// Time from submission for which the caller waits for the answer.
    milliseconds time_budget{};
    std::vector<job_step> steps;
};

enum class job_outcome
{
    completed,
    /// A task failed in `max_attempts` runs. Lost runs do not count.
    failed,
    /// A task has run or may have run, and the job cannot be completed in time.
    given_up,
    /// No task has run, and none will.
    not_run,
};

[[nodiscard]] std::string_view to_string(job_outcome outcome);

/// Where a task with a preferred place is sent.
enum class task_place
{
    /// The task has no preferred place.
    any,
    /// Its place, with free resources, or in the queue.
    near,
    near_queue,
    far,
};

[[nodiscard]] std::string_view to_string(task_place place);

struct send_start
{
    /// Key of the job.
    std::string key;
    std::string agent;
    start_order order;
    /// Expected wait and run time on the agent's target.
    milliseconds wait{};
    milliseconds run{};
    /// Why the previous run of the task was moved.
    move_reason previous_run = move_reason::none;
    task_place place = task_place::any;
    /// Whether the run before this one was returned from the queue of a near place.
    bool has_given_up_wait = false;
};

struct send_cancel
{
    std::string agent;
    run_id id;
    /// Set if the task is run again on another target.
    move_reason reason = move_reason::none;
    /// Core-milliseconds that the run has probably used until now; set together with `reason`.
    double discarded_work = 0;
};

struct send_acknowledgement
{
    std::string agent;
    run_id id;
};

/// Lists the runs that this entry still needs, for an agent that reconnected. The agent stops its
/// other runs of this entry.
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
    /// Set only for `job_outcome::not_run`.
    std::optional<std::chrono::seconds> retry_after;
    /// Time from the arrival of the job to its answer.
    milliseconds latency{};
    /// Number of starts sent to agents.
    std::uint32_t runs = 0;
};

/// Elements that the dispatcher has examined since its start. They show how its processor time
/// grows with the size of a job, independently of the machine.
struct dispatch_visits
{
    std::uint64_t tasks = 0;
    /// Agents that were considered for a task.
    std::uint64_t targets = 0;
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

    /// Submits a job. A job whose key is already present is ignored: the answer of the present job
    /// serves both. The answer is an action; a refused job is answered immediately.
    void submit(job_request request);
    /// Answers a job as not run without considering it. Precondition: no job of this key is
    /// present.
    void refuse(job_request const& request, std::string_view reason);
    /// Stops the job's runs because its caller disconnected or cancelled it. Returns whether the
    /// job was present.
    bool cancel(std::string_view key);
    /// Ends all jobs because this process is about to exit. Each is answered by what is certain:
    /// not run, or given up if a start of it was sent.
    void give_up_all(std::string_view reason);
    /// Whether a job with this key has not been answered yet.
    [[nodiscard]] bool holds(std::string_view key) const;

    /// A link to an agent is established. A new incarnation of the agent means that all runs of the
    /// earlier one have ended; an older incarnation is ignored.
    void agent_connected(process_id const& agent);
    void agent_disconnected(std::string_view agent);
    /// Whether the agent is not connected and none of its runs may go on.
    [[nodiscard]] bool can_forget(std::string_view agent) const;
    /// Drops what is known about an agent. Precondition: can_forget().
    void forget_agent(std::string_view agent);
    void status_received(std::string_view agent, target_status const& status);
    void run_ended(std::string_view agent, run_report const& report);
    /// Number of entries known, including this one.
    void set_entry_count(std::size_t count) { this->entry_count = count; }
    /// Applies timeouts to all jobs and places tasks that are waiting.
    void tick();

    /// Returns and removes the actions since the last call, in the order of execution.
    [[nodiscard]] std::vector<dispatch_action> take_actions();
    [[nodiscard]] std::size_t job_count() const { return this->jobs.size(); }
    /// Number of tasks of the jobs that have not been answered.
    [[nodiscard]] std::size_t task_count() const { return this->tasks.size(); }
    /// Number of jobs of `route` for which no start has been sent.
    [[nodiscard]] std::size_t waiting_jobs(std::string_view route) const;
    /// Number of agents to which starts can be sent now.
    [[nodiscard]] std::size_t accepting_agents() const;
    [[nodiscard]] dispatch_visits const& visited() const { return this->visits; }
    /// Decisions on the admission of jobs since the start.
    [[nodiscard]] admission_counts const& admissions() const { return this->admission_record; }

private:
    enum class task_state;
    struct task;
    struct job;
    struct task_location
    {
        job* parent_job = nullptr;
        std::size_t index = 0;
    };
    /// Lower ranks are preferred; within a rank, the earliest expected completion is preferred.
    enum class placement_rank
    {
        /// Resources are free now and the run ends within the objective.
        immediate,
        /// The run waits for resources and ends within the objective.
        in_time,
        /// Resources are free now and the answer is late, but still useful to the caller. A late
        /// task on an idle target delays no other task. In the queue of a fast target it would make
        /// others late.
        immediate_but_late,
        late,
    };

    struct target_filter;

    struct placement
    {
        std::string const* agent = nullptr;
        milliseconds wait{};
        milliseconds run{};
        placement_rank rank = placement_rank::late;
        /// Number of such starts for which the agent has free resources, at least 1.
        double spare_starts = 1;
        /// Whether the target is used only because there is no other.
        bool is_last_resort = false;
        /// Run time there over the run time near the task's data.
        double run_factor = 1;
        task_place place = task_place::any;
        /// Longest wait that is worth it; 0 if no other place is an alternative to the wait.
        milliseconds longest_wait{};

        [[nodiscard]] bool is_better_than(placement const& other) const;
    };

    /// The available agent with the best rank, and among these the earliest expected completion.
    /// Returns `avoided` only if no other agent is available.
    [[nodiscard]] std::optional<placement> choose_placement(job const& parent_job, task const& item,
                                                            std::string const& avoided) const;
    /// The same among the targets that `filter` permits; among all if it is null.
    [[nodiscard]] std::optional<placement> choose_target(job const& parent_job, task const& item,
                                                         std::string const& avoided,
                                                         target_filter const* filter) const;
    /// choose_placement() for a task whose step has constraints.
    [[nodiscard]] std::optional<placement>
    choose_constrained(job const& parent_job, task const& item, std::string const& avoided) const;
    [[nodiscard]] static bool is_constrained(job const& parent_job, task const& item);
    /// choose_constrained() for a task with a near rack: a near place at once, a wait for one, or a
    /// far place.
    [[nodiscard]] std::optional<placement> choose_near_or_far(job const& parent_job,
                                                              task const& item,
                                                              std::string const& avoided,
                                                              target_filter filter) const;
    /// Chooses a rack for each step that is to run on one and of which no task has been placed, or
    /// spreads it.
    void place_groups(job& parent_job) const;
    /// The rack on which the last task of the step ends first; empty if spreading is better.
    [[nodiscard]] std::string choose_rack(job const& parent_job, job_step const& step) const;
    /// choose_constrained() for a task of such a step: on its rack while a target of it takes
    /// starts.
    [[nodiscard]] std::optional<placement> choose_in_group(job const& parent_job, task const& item,
                                                           std::string const& avoided,
                                                           target_filter filter) const;
    /// Times of the caller that a placement is compared with.
    [[nodiscard]] internal::caller_times times_of(job const& parent_job) const;
    /// `near` with a bounded wait, or `far`.
    [[nodiscard]] placement decide_wait(job const& parent_job, task const& item,
                                        placement const& near, placement const& far) const;
    /// Load of the targets of `service` on `rack`, or on all racks if it is null, by such tasks.
    [[nodiscard]] internal::pool_load rack_load(std::string const& service, std::string const* rack,
                                                model::resources const& resources) const;
    /// Why a step can never be placed on the known targets; empty if it can.
    [[nodiscard]] std::string unplaceable_reason(job const& parent_job) const;
    [[nodiscard]] std::string unplaceable_reason(job const& parent_job, job_step const& step) const;
    /// The best of `candidates`, of which there is at least one. Among targets that are free and
    /// about equally fast it draws one, with more weight for more free resources: entries that
    /// chose the same target from the same reports would fill it beyond its capacity. Tasks of a
    /// job draw alike, so that few messages carry them.
    [[nodiscard]] placement choose_among(std::span<placement const> candidates,
                                         std::string_view job_key) const;
    [[nodiscard]] placement_rank rank(job const& parent_job, placement const& candidate,
                                      base::steady_time now) const;
    [[nodiscard]] bool is_too_late(job const& parent_job, placement const& chosen,
                                   base::steady_time now) const;
    /// Whether routes that crash targets are to be isolated from the others of `service`. If they
    /// have most of the work, few targets are not enough for it, and crashes with another cause
    /// are likely to be blamed on them.
    [[nodiscard]] bool isolates_suspects(std::string const& service) const;
    /// Whether tasks of the job may crash their targets and run on isolated targets only.
    [[nodiscard]] bool is_isolated(job const& parent_job) const;
    /// Agents of the targets of `service` for isolated routes. Other tasks avoid them. All entries
    /// choose the same ones. Empty while no route is isolated.
    [[nodiscard]] std::set<std::string_view> isolated_agents(std::string const& service) const;
    [[nodiscard]] bool are_most_agents_ejected(base::steady_time now) const;
    /// Whether a task of the job exceeds the capacity of every known target, so that the job cannot
    /// complete.
    [[nodiscard]] bool exceeds_every_target(job const& parent_job) const;
    void place_waiting_tasks(job& parent_job);
    /// Adds the task to the in-flight load of the chosen agent.
    void reserve(job const& parent_job, task const& item, placement const& chosen);
    void send(job& parent_job, task& item, placement const& chosen);
    /// The part of `limit` that a job with so many tasks may use.
    [[nodiscard]] std::size_t share_of(std::size_t limit, std::size_t job_tasks) const
    {
        return job_tasks > this->limits.large_job_tasks ? limit / 4 * 3 : limit;
    }
    /// Whether there is no room for a further job.
    [[nodiscard]] bool is_full(job_request const& request) const;
    /// Whether it is certain that no task of the job has been started.
    [[nodiscard]] static bool is_not_run(job const& parent_job);
    /// Ends a job that cannot be completed. Its outcome says whether a task may have run.
    void give_up(job& parent_job, std::string_view reason);
    bool give_up_if_too_late(job& parent_job);
    /// Decides whether to admit a job whose tasks would end `expected_end` from now;
    /// `queued_share` is the share of its tasks that have to wait.
    [[nodiscard]] admission_result decide_admission(job& parent_job, milliseconds expected_end,
                                                    double queued_share);
    /// Whether the admission policy admits the job. `lateness` is its expected time to completion
    /// divided by its latency objective.
    [[nodiscard]] bool is_within_load(job& parent_job, double lateness, double queued_share);
    void record_admission(job const& parent_job, admission_result result);
    /// Load of the targets that the job may use, from recent reports.
    [[nodiscard]] internal::fleet_load load_of_targets(job const& parent_job) const;
    /// Places all tasks of a new job that can start, or refuses the job.
    void admit(job& parent_job);
    void remove_if_ended(job& parent_job);
    void finish(job& parent_job, job_outcome outcome, std::string_view reason);
    void record_work(job_request const& request);
    void check_job(job& parent_job);
    void check_task(job& parent_job, task& item);
    /// Moves the run of the task to another target if it is overdue because of its target.
    void move_if_overdue(job& parent_job, task& item);
    /// Time since the run of the task has probably started, and whether it counts as stalled.
    [[nodiscard]] internal::run_time time_so_far(job const& parent_job, task const& item) const;
    /// Records the run time of a run that ended by itself, or that this entry stopped.
    void learn_run_time(job const& parent_job, task const& item, run_report const& report);
    /// Records that the runs of a job that has ended take at least as long as they have taken.
    void learn_from_stopped_runs(job const& parent_job);
    void handle_run_end(job& parent_job, task& item, std::string_view agent,
                        run_report const& report);
    /// Counts a lost run, and ends the job if the task has had too many.
    void count_loss(job& parent_job, task& item, run_report const& report);
    /// Raises the estimate of a task whose run was cancelled as stalled. `work` is the run time
    /// until then, at speed 1. With an unchanged estimate every further run would be cancelled at
    /// the same point.
    static void raise_estimate(task& item, milliseconds work);
    void mark_agent_runs_lost(std::string_view agent, std::string_view reason);
    template <class Use>
    void for_each_sent_to(std::string_view agent, Use use);
    /// Removes the job from the number of waiting jobs of its route, if it counts there.
    void stop_counting_as_waiting(job& parent_job);

    base::clock const& clock;
    dispatch_limits limits;
    base::steady_time started;
    std::optional<base::steady_time> last_tick;
    /// End of the newest pause of this process.
    base::steady_time pause_ended_at{};
    std::map<std::string, internal::agent_view, std::less<>> agents;
    std::map<std::string, std::unique_ptr<job>, std::less<>> jobs;
    std::unordered_map<std::string, task_location> tasks;
    /// Estimate of the bytes that the jobs hold.
    std::size_t job_bytes = 0;
    std::vector<dispatch_action> actions;
    mutable dispatch_visits visits;
    /// By route.
    std::map<std::string, std::size_t, std::less<>> waiting_job_counts;
    std::size_t entry_count = 1;
    internal::overload_detector overload;
    admission_counts admission_record;
    internal::crash_evidence crashes;
    internal::straggler_policy stragglers;
    /// By service and route.
    std::map<std::pair<std::string, std::string>, internal::route_work> recent_work;
};

} // namespace filbertroad::dispatch

#endif

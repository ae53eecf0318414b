#ifndef FILBERTROAD_DISPATCH_RUN_AGENT_HPP
#define FILBERTROAD_DISPATCH_RUN_AGENT_HPP

/// State machine of the agent of one target: it decides when a run starts, and determines when a
/// run has certainly ended. The agent is the only client of its target. It therefore enforces the
/// target's capacity, the evacuation of a zone, and the limit of one run of a task at a time. It
/// does no input or output: the process feeds events and executes the actions from take_actions().
///
///     run_agent agent(clock, "khi-b", limits);
///     agent.target_announced(announcement);
///     agent.entry_connected({"entry-1", 1});
///     agent.start_ordered("entry-1", order);
///     for (auto& action : agent.take_actions()) carry_out(action);
///
/// Entry lease: a run may start and continue only while its entry has echoed a timestamp of this
/// agent that is younger than `agent_limits::entry_lease`. An entry that receives nothing from the
/// agent can therefore determine without a message when all of its runs at the agent have ended.
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/internal/class_load.hpp"
#include "filbertroad/dispatch/internal/run_table.hpp"
#include "filbertroad/dispatch/internal/speed_estimate.hpp"
#include "filbertroad/dispatch/internal/target_announcements.hpp"
#include "filbertroad/dispatch/internal/target_progress.hpp"
#include "filbertroad/dispatch/messages.hpp"
#include "filbertroad/dispatch/target_announcement.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertroad::dispatch
{

/// Timeouts and lease durations. They are constants of the protocol between agents and entries:
/// `dispatch_limits::runs_expire_after` of the entry is derived from them.
struct agent_limits
{
    /// Duration of an entry's lease: the age of its newest echoed timestamp up to which its runs
    /// may start and continue.
    milliseconds entry_lease{600};
    /// Duration of the lease of the target's runs. It is short, because a run on the target of a
    /// frozen agent only ends when its lease expires. It covers two lost renewals.
    milliseconds target_lease{600};
    /// Longest lease that a target grants, whatever an order asks for.
    milliseconds longest_target_lease{1'000};
    /// Time after which an unanswered poll that verifies a start is sent again, and time after
    /// which an unanswered stop is sent again.
    milliseconds order_timeout{60};
    /// Time that a target may take to end a run after a stop.
    milliseconds stop_grace_period{50};
    /// Time without confirmation that a stopped run has ended, after which the target's lease is no
    /// longer renewed and no run is started. An entry whose lease has expired relies on the end of
    /// the target's lease. Less than the target lease, which is not extended by this time.
    milliseconds stop_confirmation_timeout{300};
    /// Lowest rate of a target's clock relative to true time.
    double min_clock_rate = 0.98;
    /// Time without starts after the target refused one because it is unhealthy.
    milliseconds unhealthy_backoff{200};
    /// Time since the last answer of the target after which its lease is no longer renewed and no
    /// run is started.
    milliseconds contact_timeout{400};
    /// Tasks that a target cannot handle mostly crash it at the start. Runs that were older when
    /// the target was last heard from are not suspected.
    milliseconds crash_suspicion_time{30};
    /// Time for which a crash is reported to entries.
    milliseconds crash_report_time{10'000};
    /// Longest delay of an answer of the target relative to a later one that overtakes it.
    milliseconds max_reordering_delay{1'000};
    /// Time after the end of its lease for which an entry's session is kept.
    milliseconds session_retention{30'000};
};

/// A run that the target lists as running.
struct listed_run
{
    run_id id;
};

enum class finish_reason
{
    done,
    failed,
    stopped,
    /// The target's lease had expired.
    expired,
    /// The target gave another reason.
    other,
};

/// A run that ended. The target lists it until a renewal acknowledges its number.
struct finished_run
{
    std::uint64_t number = 0;
    run_id id;
    finish_reason end = finish_reason::other;
};

/// Answer of the target to a renewal of its lease: its running runs and unacknowledged ends.
struct run_list
{
    std::uint64_t incarnation = 0;
    std::uint64_t clock_ms = 0;
    std::vector<listed_run> running;
    std::vector<finished_run> finished;
};

/// Renewal of the target's lease.
struct renewal
{
    std::uint64_t fencing_token = 0;
    std::uint64_t last_seen = 0;
    /// New end of the lease on the target's clock. Absent while that clock is unknown or the target
    /// is unreachable, and when the lease is to expire.
    std::optional<std::uint64_t> lease_until_ms;
    /// Creation time of the renewal; passed back with the answer.
    base::steady_time made{};
};

enum class start_answer
{
    accepted,
    /// The target has seen a higher fencing token.
    fenced,
    /// The run number is not higher than that of a run of the task that ended on the target.
    stale_run,
    /// The lease in the order had expired on the target's clock.
    lease_expired,
    insufficient_resources,
    /// The target refuses starts while it is unhealthy; the run was not started.
    unhealthy,
    /// Refused for another reason; the run was not started.
    rejected,
    /// The order was not sent. This says nothing about the target's health.
    not_sent,
    /// No answer, or one that does not tell: the order may have been executed, or may still be
    /// executed later.
    none,
};

struct start_run
{
    run_id id;
    /// Unique among the starts of an agent, unlike `id`; passed back with the answer.
    std::uint64_t order_number = 0;
    /// Name of the process that the order is meant for; empty if it is not known.
    std::string target_process;
    model::shared_text payload;
    std::uint64_t lease_until_ms = 0;
    std::uint64_t fencing_token = 0;
};

struct stop_run
{
    run_id id;
    /// As in start_run.
    std::string target_process;
    std::uint64_t fencing_token = 0;
};

struct send_report
{
    std::string entry;
    run_report report;
};

/// Load or readiness has changed: send a status to the entries.
struct publish_status
{
};

/// Send a renewal at once that the target answers immediately instead of waiting for a run to end.
/// The list in its answer shows which stopped runs have ended.
struct poll_runs
{
};

using agent_action = std::variant<start_run, stop_run, send_report, publish_status, poll_runs>;

/// Agent of one target; see the head of this file. Time advances only between calls: the process
/// calls tick() periodically and executes the actions from take_actions() after each call.
class run_agent
{
public:
    /// `clock` must outlive the agent. `fencing_token` must be higher than that of every earlier
    /// agent of the same target.
    run_agent(base::clock const& clock, std::string zone, agent_limits limits,
              std::uint64_t fencing_token);

    /// Has an effect only if it is, or becomes, the newest announcement of the process that answers
    /// the renewals.
    void target_announced(target_announcement const& announcement);
    /// The target has been removed permanently.
    void target_removed(std::string_view name);

    /// A link to an entry is established. A new incarnation stops the runs of the earlier one.
    void entry_connected(process_id const& entry);
    /// The entry echoed a timestamp, in milliseconds: extends its lease. Ignores timestamps of the
    /// future and unknown entries.
    void entry_heartbeat_received(std::string_view entry, std::uint64_t echoed_stamp_ms);
    /// Queues a run. If it cannot be accepted now, it is reported as not started.
    void start_ordered(std::string_view entry, start_order order);
    /// Runs that the entry still needs after it reconnected. Its other runs are stopped.
    void runs_resumed(std::string_view entry, std::vector<start_order> orders);
    /// Stops the run if `entry` started it; ignored otherwise.
    void cancel_ordered(std::string_view entry, run_id const& id);
    /// The entry has received the report, which is then no longer resent.
    void report_acknowledged(std::string_view entry, run_id const& id);

    /// `id` and `order_number` are those of the start that is answered. Ignored if the run has
    /// ended or has been started anew since.
    void start_answered(run_id const& id, std::uint64_t order_number, start_answer answer);
    /// `answered` is false if the target did not answer.
    void stop_answered(run_id const& id, bool answered);

    /// Next renewal of the lease to send to the target.
    [[nodiscard]] renewal make_renewal();
    /// `sent` is the renewal that `list` answers. Ignores lists older than the newest one, except
    /// for the ends that they contain.
    void renewal_answered(renewal const& sent, run_list const& list);
    /// The target refused the renewal because it has seen a higher fencing token.
    void renewal_fenced(renewal const& sent);

    void set_zone_out_of_service(bool is_out);
    /// Starts a graceful shutdown: queued runs are returned, running ones finish.
    void begin_shutdown();
    /// Applies timeouts: expires leases and queued runs, resends orders, and starts queued runs.
    void tick();

    /// Returns and removes the actions since the last call, in the order of execution.
    [[nodiscard]] std::vector<agent_action> take_actions();
    /// Status to send to `entry` now.
    [[nodiscard]] target_status make_status(std::string_view entry) const;
    /// Whether every run of an earlier agent has ended, so that this agent may connect to entries.
    [[nodiscard]] bool is_recovered() const { return this->recovered; }
    /// Whether no run is queued or on the target.
    [[nodiscard]] bool is_idle() const { return this->runs.empty(); }
    /// Whether a run or an unacknowledged report of `entry` remains.
    [[nodiscard]] bool has_work_for(std::string_view entry) const;
    /// Whether the target has answered within `agent_limits::contact_timeout`.
    [[nodiscard]] bool is_reachable() const;
    /// Why no run can be started; empty if runs can be started.
    [[nodiscard]] std::string_view unavailable_reason() const;

private:
    using entry_run = internal::agent_run;

    struct entry_session
    {
        std::uint64_t incarnation = 0;
        /// End of the entry's lease, from the newest echoed timestamp.
        base::steady_time entry_lease_until{};
        std::uint64_t starts_seen = 0;
        std::map<std::string, run_report> unacknowledged;
    };

    /// Uses the newest announcement of the process with `incarnation`, if there is one.
    void use_announcement(std::uint64_t incarnation);
    /// Name of the process that answers the renewals; empty if it has not been announced.
    [[nodiscard]] std::string answering_process() const;
    /// Speed estimate, lowered immediately while several runs take much longer than expected.
    [[nodiscard]] double current_speed() const;
    /// Whether the run on the target has taken much longer than expected.
    [[nodiscard]] bool is_overdue(entry_run const& run, milliseconds elapsed) const;
    /// Records the runs that have become overdue since the last call.
    void record_overdue_runs();
    /// Records that the target has completed `run`.
    void record_completed_run(entry_run const& run, milliseconds elapsed);
    /// Adds a run time to the speed estimate.
    void observe_speed(entry_run const& run, milliseconds elapsed);
    /// The clock's epoch if the entry has never had a lease.
    [[nodiscard]] base::steady_time entry_lease_end(std::string_view entry) const;
    [[nodiscard]] bool has_entry_lease(std::string_view entry) const;
    /// Whether the target's present lease may last longer than one that begins at the end of the
    /// entry's lease. The entry does not wait so long for the end of its runs.
    [[nodiscard]] bool does_lease_outlast(std::string_view entry) const;
    /// When `run` has to end: when it was stopped, or when the lease of its entry ends. `run` is
    /// not queued.
    [[nodiscard]] base::steady_time end_due(entry_run const& run) const;
    /// Whether a stop has been unconfirmed for so long that the target's lease has to expire.
    [[nodiscard]] bool is_lease_withheld() const;
    /// Duration of a lease that begins now. It ends no later than a lease that began when a run had
    /// to end, in case the target does not execute the stop.
    [[nodiscard]] milliseconds lease_duration() const;
    /// Returns the end of a lease that begins now, on the target's clock, and extends
    /// `leases_expire_at` to cover it.
    std::uint64_t grant_lease();
    /// Accounts for a lease that an order to the target's earlier process, also by an earlier
    /// agent, may have given the present one: that order names a time on the clock of the earlier
    /// process. `token` is that of an order that the target has answered.
    void cover_lease_of_earlier_orders(std::uint64_t token);
    void enqueue(std::string_view entry, start_order order);
    void start_queued();
    /// Whether the target has as many runs of the order's step as the order permits. They may be of
    /// an earlier submission of the job at another entry, of which the sender does not know.
    [[nodiscard]] bool is_step_limit_reached(start_order const& order) const;
    void start(entry_run& run);
    void stop(entry_run& run, std::string_view reason);
    void return_queued_runs(std::string_view reason);
    void end_run(std::string const& task, run_end end, std::string_view reason);
    void expire_entries();
    void expire_queued();
    void expire_leases();
    void resend_unanswered_orders();
    void send_stop(entry_run& run);
    void target_restarted(renewal const& sent);
    /// Whether the target still had the run, as far as this agent knows, when it last answered.
    [[nodiscard]] bool had_run_at_last_contact(entry_run const& run) const;
    /// Records which routes may have crashed a target that has been lost.
    void record_crash();
    /// Whether `run` started so shortly before the target was last heard from that it may have
    /// crashed it.
    [[nodiscard]] bool started_before_crash(entry_run const& run) const;
    /// Removes the start of the run from the actions. Returns false if it has been taken.
    bool withdraw_start(entry_run const& run);
    /// Marks the run as lost with its target, unless the target had ended it before.
    void mark_lost_with_target(entry_run& run) const;
    /// Whether the target has been silent although this agent was able to read its answers.
    [[nodiscard]] bool is_target_silent() const;
    void handle_finished_run(finished_run const& finish);
    void reconcile_with_list(renewal const& sent, run_list const& list);
    void stop_unknown_runs(run_list const& list);
    [[nodiscard]] bool ended_recently(run_id const& id) const;
    void requeue(entry_run& run);
    /// Polls the target to find out whether it executed an unanswered start. A stop would be more
    /// expensive, since it needs an answer and a list, and it would end a run of which only the
    /// answer was lost.
    void verify_start(entry_run& run);
    /// Raises the fencing token of later orders to `used` + `step`. Has no effect if the token is
    /// already higher than `used`.
    void raise_fencing_token(std::uint64_t used, std::uint64_t step);
    void mark_status_changed() { this->status_changed = true; }

    base::clock const& clock;
    std::string zone;
    agent_limits limits;
    std::uint64_t fencing_token;

    internal::target_announcements announcements;
    /// Announcement in use: that of the process that answers the renewals, or that of an earlier
    /// one until the present one is announced.
    std::optional<target_announcement> target;
    std::uint64_t listed_incarnation = 0;
    /// Newest time read from the target's clock, and when it was received.
    std::uint64_t target_clock_ms = 0;
    base::steady_time target_clock_at{};
    /// Time on this agent's clock at which every lease granted so far has expired on the target's.
    base::steady_time leases_expire_at{};
    /// Set from the start of this agent, and from a restart of the target, until the target has
    /// answered an order with this token or a higher one. It refuses orders of an earlier agent, or
    /// to its earlier process, from then on.
    std::optional<std::uint64_t> token_after_restart;
    /// The target runs tasks that this agent did not start; their resources are unknown.
    bool has_unknown_runs = false;
    /// Newest incarnation of the target that was draining or removed. Its end is no crash.
    std::uint64_t leaving_incarnation = 0;
    std::uint64_t crash_count = 0;
    std::vector<std::string> crash_routes;
    base::steady_time crashed_at{};
    /// `target_clock_at` at the last crash that was recorded.
    base::steady_time last_heard_before_crash{};
    std::optional<base::steady_time> last_tick;
    /// End of the newest pause of this process longer than `limits.contact_timeout`.
    base::steady_time pause_ended_at{};
    std::uint64_t last_seen = 0;
    std::uint64_t last_order_number = 0;
    bool recovered = false;
    bool zone_out_of_service = false;
    bool shutting_down = false;
    base::steady_time backoff_until{};
    /// When the target last refused a start as unhealthy.
    base::steady_time last_unhealthy{};

    /// Run number and end time of runs that ended within `limits.max_reordering_delay`, by task. An
    /// older list that arrives after the one with their end may still name them.
    std::map<std::string, std::pair<std::uint32_t, base::steady_time>> recently_ended_runs;

    internal::run_table runs;
    internal::speed_estimate speed;
    internal::target_progress progress;
    internal::class_load load;
    std::map<std::string, entry_session, std::less<>> sessions;
    std::vector<agent_action> actions;
    bool status_changed = false;
};

} // namespace filbertroad::dispatch

#endif

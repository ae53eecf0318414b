#ifndef FILBERTROAD_DISPATCH_RUN_AGENT_HPP
#define FILBERTROAD_DISPATCH_RUN_AGENT_HPP

/// Decisions of the agent beside one target: which run starts when, and when a run is proved over.
/// The agent is the only caller of its target, so the limit of room, the evacuation of a zone and
/// one run of a task at a time are decided here. No input or output: the process feeds events and
/// carries out the actions that take_actions() returns.
///
///     run_agent agent(clock, "khi-b", limits);
///     agent.target_announced(announcement);
///     agent.entry_connected({"entry-1", 1});
///     agent.start_ordered("entry-1", order);
///     for (auto& action : agent.take_actions()) carry_out(action);
///
/// Authority: a run starts, and stays, only while its entry has echoed a stamp of this agent that
/// is younger than `agent_limits::authority`. An entry that hears nothing from the agent can so
/// tell, without asking, when all of its runs here are over.
///
/// Not safe for several threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/internal/class_load.hpp"
#include "filbertroad/dispatch/internal/run_table.hpp"
#include "filbertroad/dispatch/internal/speed_estimate.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertroad::dispatch
{

/// Periods that agents and entries agree on. They are constants of the protocol between them:
/// `time_until_runs_are_over` of the entry is derived from them.
struct agent_limits
{
    /// Age of an echoed stamp up to which an entry's runs may start and stay.
    milliseconds entry_lease{600};
    /// Lease of the target's runs. Short, because a run on a frozen agent's target is only over
    /// once its lease is; long enough for two renewals to be lost.
    milliseconds target_lease{600};
    /// Time after which an unanswered start is followed by a (further) look at the target's runs,
    /// and an unanswered stop by a further stop.
    milliseconds order_timeout{60};
    /// Time that a target may take to end a run that it was told to stop.
    milliseconds stop_grace_period{50};
    /// An unproved stop of an entry without authority ends the renewal of the lease after this.
    milliseconds stop_confirmation_timeout{300};
    /// Slowest clock of a target, as a share of true time.
    double min_clock_rate = 0.98;
    /// Pause in starts after the target refused one as unhealthy.
    milliseconds unhealthy_backoff{200};
    /// Silence of the target after which its lease is no longer renewed and nothing is started.
    milliseconds contact_timeout{400};
    /// Longest time by which two answers of the target overtake each other.
    milliseconds max_reordering_delay{1'000};
    /// Time after which a session without authority and runs is forgotten.
    milliseconds session_retention{30'000};
};

/// What a target says of itself.
struct target_announcement
{
    std::string name;
    /// Start of the target's process in Unix milliseconds; tells a restart under the same name.
    std::uint64_t incarnation = 0;
    std::string service;
    model::resources capacity;
    bool draining = false;
    std::uint64_t sequence = 0;
};

/// An entry of a target's list of running runs.
struct listed_run
{
    run_id id;
};

enum class finish_reason
{
    done,
    failed,
    stopped,
    /// Its lease was over.
    expired,
    /// Another reason of the target.
    other,
};

/// An end that the target lists until it is acknowledged by number.
struct finished_run
{
    std::uint64_t number = 0;
    run_id id;
    finish_reason end = finish_reason::other;
};

/// Answer of the target to a renewal of its lease.
struct run_list
{
    std::uint64_t incarnation = 0;
    std::uint64_t clock_ms = 0;
    std::vector<listed_run> running;
    std::vector<finished_run> finished;
};

/// What a renewal of the lease carries.
struct renewal
{
    std::uint64_t fencing_token = 0;
    std::uint64_t last_seen = 0;
    /// Absent while the target's clock is unknown, or when runs are to lapse.
    std::optional<std::uint64_t> lease_until_ms;
    /// When the renewal was made; handed back with the answer.
    base::steady_time made{};
};

enum class start_answer
{
    accepted,
    /// A higher fencing token was seen by the target.
    fenced,
    /// The number of the run is not higher than one that ended there.
    stale_run,
    /// The lease in the order was over on the target's clock.
    lease_expired,
    insufficient_resources,
    /// The target refuses while it is unhealthy; nothing was done.
    unhealthy,
    /// Refused for another reason; nothing was done.
    rejected,
    /// It never left for the target, and says nothing about it.
    not_sent,
    /// No answer: it may have been carried out, or may still be.
    none,
};

struct start_run
{
    run_id id;
    std::string payload;
    std::uint64_t lease_until_ms = 0;
    std::uint64_t fencing_token = 0;
};

struct stop_run
{
    run_id id;
    std::uint64_t fencing_token = 0;
};

struct send_report
{
    std::string entry;
    run_report report;
};

/// Load or readiness has changed; a status goes to the entries.
struct publish_status
{
};

/// A renewal is due at once, answered without waiting for an end: its list proves stopped runs
/// over.
struct poll_runs
{
};

using agent_action = std::variant<start_run, stop_run, send_report, publish_status, poll_runs>;

class run_agent
{
public:
    /// `fencing_token` must be higher than that of an earlier agent of the same target.
    run_agent(base::clock const& clock, std::string zone, agent_limits limits,
              std::uint64_t fencing_token);

    /// A late announcement of an earlier process or sequence has no effect.
    void target_announced(target_announcement const& announcement);
    /// The target has left for good.
    void target_removed(std::string_view name);

    /// A link to an entry is up. A new incarnation ends the runs of the earlier one.
    void entry_connected(process_identity const& entry);
    void entry_heartbeat_received(std::string_view entry, std::uint64_t echoed_stamp_ms);
    void start_ordered(std::string_view entry, start_order order);
    /// Runs that the entry still wants, after its link came up again. Others are stopped.
    void runs_resumed(std::string_view entry, std::vector<start_order> orders);
    void cancel_ordered(std::string_view entry, run_id const& id);
    void report_acknowledged(std::string_view entry, run_id const& id);

    void start_answered(run_id const& id, start_answer answer);
    /// `answered` is false if the target gave no answer.
    void stop_answered(run_id const& id, bool answered);

    /// The next renewal of the lease, to be sent to the target.
    [[nodiscard]] renewal make_renewal();
    void renewal_answered(renewal const& sent, run_list const& list);
    /// The target refused the renewal, since it has seen a higher fencing token.
    void renewal_fenced(renewal const& sent);

    void set_zone_out_of_service(bool is_out);
    /// Planned stop: queued runs are returned, running ones end.
    void begin_shutdown();
    void tick();

    [[nodiscard]] std::vector<agent_action> take_actions();
    [[nodiscard]] target_status make_status(std::string_view entry) const;
    /// Whether every run of an earlier agent is over, so that entries may be told of this one.
    [[nodiscard]] bool is_recovered() const { return this->recovered; }
    /// Whether nothing runs or waits.
    [[nodiscard]] bool is_idle() const { return this->runs.empty(); }
    /// Whether the target has answered lately.
    [[nodiscard]] bool is_reachable() const;
    /// Why nothing may be started; empty if starts are possible.
    [[nodiscard]] std::string_view unavailable_reason() const;
    [[nodiscard]] bool has_target() const { return this->target.has_value(); }

private:
    using entry_run = internal::agent_run;

    struct entry_session
    {
        std::uint64_t incarnation = 0;
        /// Until when runs may start; from the newest echoed stamp.
        base::steady_time entry_lease_until{};
        std::uint64_t starts_seen = 0;
        std::map<std::string, run_report> unacknowledged;
    };

    /// Learnt speed, lowered at once while runs take much longer than expected.
    [[nodiscard]] double current_speed() const;
    [[nodiscard]] bool has_entry_lease(std::string_view entry) const;
    /// End of a lease that begins now, on the target's clock; it is taken into account in
    /// `leases_over_at`.
    std::uint64_t grant_lease();
    void enqueue(std::string_view entry, start_order order);
    void start_queued();
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
    void handle_finished_run(finished_run const& finish);
    void reconcile_with_list(renewal const& sent, run_list const& list);
    void stop_unknown_runs(run_list const& list);
    [[nodiscard]] bool ended_recently(run_id const& id) const;
    void requeue(entry_run& run);
    /// Asks for a list that tells whether a start without answer was carried out. Cheaper than a
    /// stop, which takes an answer and a list, and ends a run of which only the answer was lost.
    void verify_start(entry_run& run);
    /// Makes every later order's token higher than `used`, by `step`; no effect if it is already.
    void raise_fencing_token(std::uint64_t used, std::uint64_t step);
    void mark_status_changed() { this->status_changed = true; }

    base::clock const& clock;
    std::string zone;
    agent_limits limits;
    std::uint64_t fencing_token;

    std::optional<target_announcement> target;
    std::uint64_t listed_incarnation = 0;
    /// Newest clock of the target and when it was received.
    std::uint64_t target_clock_ms = 0;
    base::steady_time target_clock_at{};
    /// Time by which every lease granted so far is over on the target's clock.
    base::steady_time leases_expire_at{};
    /// The target runs what this agent did not start; its room is unknown.
    bool has_unknown_runs = false;
    std::uint64_t last_seen = 0;
    bool recovered = false;
    bool zone_out_of_service = false;
    bool stopping = false;
    base::steady_time backoff_until{};

    /// Runs that ended within `limits.crossing_time`, by task, and when; a list that crossed the
    /// one with their end may still name them.
    std::map<std::string, std::pair<std::uint32_t, base::steady_time>> recently_ended_runs;

    internal::run_table runs;
    internal::speed_estimate speed;
    internal::class_load load;
    std::map<std::string, entry_session, std::less<>> sessions;
    std::vector<agent_action> actions;
    bool status_changed = false;
};

} // namespace filbertroad::dispatch

#endif

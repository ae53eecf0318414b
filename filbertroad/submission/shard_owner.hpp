#ifndef FILBERTROAD_SUBMISSION_SHARD_OWNER_HPP
#define FILBERTROAD_SUBMISSION_SHARD_OWNER_HPP

/// The owner of one service shard: deduplicates submissions, tracks the lifecycle of each task, and
/// recovers the jobs of owners that were removed. The caller reports events through the member
/// functions and performs the actions that take_actions() returns. The class has no clock, thread,
/// socket or random source of its own, so equal event sequences give equal actions.
///
///     submission::shard_owner owner(self, "pricing", 0, options, std::move(scheduler));
///     owner.set_ownership(ownership, now, wall);
///     owner.agent_linked(hello, now);
///     owner.submit(request_number, job, limits, now, wall);
///     for (auto& action : owner.take_actions()) perform(action);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/scheduling/scheduler.hpp"
#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace filbertroad::submission
{

struct owner_options
{
    /// Largest age of an accepted key, and how long answers are kept after the end of the job.
    std::chrono::milliseconds key_retention{15 * 60 * 1000};
    /// Largest difference that is tolerated between the clocks of callers and owners.
    std::chrono::milliseconds clock_skew{5000};
    /// How long other processes may act on a view after it was last confirmed as the newest; see
    /// control/confirmation.hpp.
    std::chrono::milliseconds confirmation_max_age{2000};
    /// The ledger of an agent that has not answered a fence within this time counts as lost.
    std::chrono::milliseconds fence_timeout{4000};
    /// A task whose agent has had no link for this long ends as "may have run".
    std::chrono::milliseconds agent_loss_timeout{10000};
    /// An interrupted job that the caller has not resubmitted within this time is ended.
    std::chrono::milliseconds recovery_timeout{60000};
    /// Largest total size of the payloads and answers held, with an estimate for the tables.
    std::size_t max_bytes = 128UL * 1024 * 1024;
};

/// The part of the control state that concerns this shard.
struct ownership
{
    std::uint64_t view = 0;
    /// This entry is the owner in the view. If not, jobs that it holds continue, but no new key is
    /// accepted.
    bool is_owner = false;
    /// This entry is leaving: no new key is accepted.
    bool leaving = false;
    /// The other members of the view. Each of them may hold keys.
    std::vector<model::process_id> other_members;
    /// Members that were removed within the key retention, including those that an earlier fence
    /// already covers.
    std::vector<model::process_id> removed;
    /// Agents of the service that were registered at any time within the key retention.
    std::vector<wire::agent> agents;
    /// Those of `agents` that are no longer registered. Their ledgers are still requested, but no
    /// start is sent to them, because later owners may not request their ledgers any more.
    std::vector<model::process_id> unregistered_agents;
    /// Number of shards of the service. Ledger entries of other shards are ignored: their owners
    /// handle them.
    std::uint32_t shards = 1;
};

/// Limits that the tables set for the route of a job.
struct job_limits
{
    scheduling::placement_rule placement;
    std::chrono::milliseconds task_timeout{0};
};

/// Sends a task to the agent of its target.
struct send_start
{
    model::process_id agent;
    wire::start_task start;
};

struct send_cancel
{
    model::process_id agent;
    wire::cancel_task cancel;
};

/// Acknowledges results to an agent: they are stored here and need not be resent.
struct send_finished_ack
{
    model::process_id agent;
    wire::finished_ack ack;
};

struct send_fence
{
    model::process_id agent;
    wire::fence fence;
};

struct send_lookup
{
    model::process_id member;
    wire::lookup lookup;
};

/// Answers the request that was passed in with `request_number`.
struct reply
{
    std::uint64_t request_number = 0;
    std::variant<wire::job_report, wire::request_error> answer;
};

/// Forwards a request to the member that holds its key.
struct forward
{
    std::uint64_t request_number = 0;
    model::process_id member;
};

using action = std::variant<send_start, send_cancel, send_finished_ack, send_fence, send_lookup,
                            reply, forward>;

class shard_owner
{
public:
    shard_owner(model::process_id self, std::string service, std::uint32_t shard,
                owner_options options, scheduling::scheduler scheduler);
    shard_owner(shard_owner&&) noexcept;
    shard_owner& operator=(shard_owner&&) noexcept;
    ~shard_owner();

    /// Applies a change of the view, its members or the agents.
    void set_ownership(ownership const& current, base::steady_time now, base::system_time wall);
    /// Reports that a route moved to this service. Keys created before `now` may be held by an
    /// owner of the route's previous service. Not needed after a change of the owner or of the
    /// number of shards, which set_ownership() detects.
    void routes_changed(base::steady_time now);
    /// Sets whether the control state was recently confirmed as the newest. While false, no new key
    /// is accepted and no task is started.
    void set_confirmed(bool confirmed, base::steady_time now);
    void set_teams(std::span<scheduling::team_limits const> teams);
    /// Sets whether the control state has both the target and its zone in service. A target out of
    /// service gets no starts.
    void set_target_in_service(std::string_view target, bool in_service, base::steady_time now);

    /// Reports a new link to an agent of the service. The open ledger entries in `hello` decide
    /// which tasks that were sent on an earlier link reached the agent; the others are requeued.
    void agent_linked(wire::agent_hello const& hello, base::steady_time now);
    void agent_unlinked(model::process_id const& agent, base::steady_time now);
    void target_changed(model::process_id const& agent, wire::target_description const& target,
                        base::steady_time now);
    void start_refused(model::process_id const& agent, wire::start_refused const& refused,
                       base::steady_time now);
    void task_finished(model::process_id const& agent, wire::task_result const& result,
                       base::steady_time now, base::system_time wall);
    void ledger_reported(wire::ledger_report const& report, base::steady_time now,
                         base::system_time wall);
    void lookup_answered(model::process_id const& member, wire::lookup const& lookup,
                         wire::lookup_reply const& answer, base::steady_time now);
    /// Reports that a member could not be reached. Whether it holds the key stays unknown until it
    /// answers or is removed.
    void lookup_failed(model::process_id const& member, wire::lookup const& lookup,
                       base::steady_time now);

    /// Each of the next four requests gets exactly one `reply` or `forward` with its
    /// `request_number`. A submission, query or cancellation with wait_ms is answered when the job
    /// ends or after that many milliseconds.
    void submit(std::uint64_t request_number, wire::submit_request const& request,
                job_limits const& limits, base::steady_time now, base::system_time wall);
    void query(std::uint64_t request_number, wire::job_query const& query, base::steady_time now,
               base::system_time wall);
    void cancel(std::uint64_t request_number, wire::job_query const& query, base::steady_time now,
                base::system_time wall);
    /// Discards the answers of a job that has ended. The key stays known until its retention ends.
    void acknowledge(std::uint64_t request_number, wire::job_query const& query,
                     base::steady_time now, base::system_time wall);
    /// Drops a pending request whose requester has disconnected.
    void request_abandoned(std::uint64_t request_number);

    /// Answers the key lookup of another member: whether this owner holds the key. The reply is
    /// marked as current only if the view in `lookup` is not newer than the view of this owner.
    [[nodiscard]] wire::lookup_reply answer_lookup(wire::lookup const& lookup) const;

    /// Handles timeouts and expirations, then dispatches queued tasks. Call at least every 50 ms.
    void tick(base::steady_time now, base::system_time wall);

    /// Dispatches queued tasks and returns the actions since the last call, in order.
    [[nodiscard]] std::vector<action> take_actions();

    /// Whether every job has ended, so that a graceful shutdown can go on.
    [[nodiscard]] bool is_idle() const;
    /// Returns ended jobs, with the answers that are still kept, for the new owner. Each call
    /// returns about 16 MiB; call again until the result has no job. The jobs stay known here.
    [[nodiscard]] wire::handover take_handover();
    void accept_handover(wire::handover const& jobs, base::steady_time now, base::system_time wall);

    [[nodiscard]] wire::queue_status queue_status() const;
    [[nodiscard]] std::vector<wire::target_status> target_status() const;
    /// Size in bytes of the payloads, answers and waiting requests held, with an estimate for the
    /// tables around them.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

} // namespace filbertroad::submission

#endif

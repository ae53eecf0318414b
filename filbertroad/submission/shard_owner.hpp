#ifndef FILBERTROAD_SUBMISSION_SHARD_OWNER_HPP
#define FILBERTROAD_SUBMISSION_SHARD_OWNER_HPP

/// The owner of one service shard: deduplicates submissions, runs the lifecycle of each task, and
/// recovers the jobs of owners that were removed. Events go in through the functions, actions come
/// out of take_actions(). No clock, thread, socket or random source of its own; the same events
/// give the same actions.
///
///     submission::shard_owner owner(self, "pricing", 0, options, std::move(queue));
///     owner.set_ownership(ownership, now, wall);
///     owner.agent_linked(hello, now);
///     owner.submit(request_number, job, limits, now, wall);
///     for (auto& action : owner.take_actions()) perform(action);
///
/// Not safe for several threads.

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
    /// Keys are accepted up to this age, and answers are kept up to this long after the end.
    std::chrono::milliseconds key_retention{15 * 60 * 1000};
    /// Largest difference between the clocks of callers and owners.
    std::chrono::milliseconds clock_skew{5000};
    /// Age up to which other processes act on an older view; see control/confirmation.hpp.
    std::chrono::milliseconds confirmation_max_age{2000};
    /// An agent that has not answered a fence for this long counts as lost.
    std::chrono::milliseconds fence_timeout{4000};
    /// A task whose agent is silent for this long may have run.
    std::chrono::milliseconds agent_loss_timeout{10000};
    /// An interrupted job that the caller has not resubmitted ends after this long.
    std::chrono::milliseconds recovery_timeout{60000};
    /// Bound of the bytes of payloads and answers held.
    std::size_t max_bytes = 128UL * 1024 * 1024;
};

/// What the control state says about this shard.
struct ownership
{
    std::uint64_t view = 0;
    /// This entry is the owner in the view; if not, jobs that it holds go on but no new key is
    /// accepted.
    bool is_owner = false;
    /// This entry is leaving: no new key is accepted.
    bool leaving = false;
    /// The other members, which may hold keys.
    std::vector<model::process_id> other_members;
    /// Members that were removed within the key retention, with no regard to earlier fences.
    std::vector<model::process_id> removed;
    /// Agents of the service that were registered within the key retention.
    std::vector<wire::agent> agents;
    /// Those of `agents` that are no longer registered: they are asked for their ledgers, but get
    /// no start, because later owners may not ask them any more.
    std::vector<model::process_id> unregistered_agents;
    /// Number of shards of the service; ledger entries of other shards are left to their owners.
    std::uint32_t shards = 1;
};

/// What the tables say about the route of a job.
struct job_limits
{
    scheduling::placement_rule placement;
    std::chrono::milliseconds task_timeout{0};
};

/// Sends a start to the agent of a target.
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

/// Tells an agent that the answers are kept here and need not be sent again.
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

/// Answers a request that came with `request_number`.
struct reply
{
    std::uint64_t request_number = 0;
    std::variant<wire::job_report, wire::request_error> answer;
};

/// Another member holds the key: pass the request on to it.
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
                owner_options options, scheduling::scheduler queue);
    shard_owner(shard_owner&&) noexcept;
    shard_owner& operator=(shard_owner&&) noexcept;
    ~shard_owner();

    /// The view, the members or the agents changed.
    void set_ownership(ownership const& current, base::steady_time now, base::system_time wall);
    /// A route moved to this service: keys created before now may be held by an owner of the
    /// route's earlier service. A new owner and a new number of shards need no call.
    void routes_changed(base::system_time wall);
    /// While false, no new key is accepted and no task is started.
    void set_confirmed(bool confirmed, base::steady_time now);
    void set_teams(std::span<scheduling::team_limits const> teams);
    /// Opens or closes a target for reasons of the control state (zone or target out of service).
    void set_target_in_service(std::string_view target, bool in_service, base::steady_time now);

    /// A link to an agent of the service is up. Its open ledger entries settle tasks that were sent
    /// on an earlier link.
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
    /// A member could not be asked; its keys stay uncertain until it answers or is removed.
    void lookup_failed(model::process_id const& member, wire::lookup const& lookup,
                       base::steady_time now);

    /// Each of the next four is answered once by a `reply` or `forward` with `request_number`.
    /// A submission or query with wait_ms is answered when the job ends or the time is over.
    void submit(std::uint64_t request_number, wire::submit_request const& request,
                job_limits const& limits, base::steady_time now, base::system_time wall);
    void query(std::uint64_t request_number, wire::job_query const& query, base::steady_time now,
               base::system_time wall);
    void cancel(std::uint64_t request_number, wire::job_query const& query, base::steady_time now,
                base::system_time wall);
    /// Forgets the answers of a job that has ended; the key stays known until its retention ends.
    void acknowledge(std::uint64_t request_number, wire::job_query const& query,
                     base::steady_time now, base::system_time wall);
    /// The requester is gone: a waiting request needs no answer.
    void request_abandoned(std::uint64_t request_number);

    /// Whether this owner holds the key. `asker_view` must not be newer than the own view for the
    /// answer to be current.
    [[nodiscard]] wire::lookup_reply answer_lookup(wire::lookup const& lookup) const;

    /// Runs everything that depends on time, then dispatches. Call at least every 50 ms.
    void tick(base::steady_time now, base::system_time wall);

    /// Actions since the last call, in order.
    [[nodiscard]] std::vector<action> take_actions();

    /// For a planned stop: true when no job is queued or running.
    [[nodiscard]] bool is_idle() const;
    /// The ended jobs, with the answers that are still kept, to be passed to the new owner. Returns
    /// about 16 MiB at a time; call again until it returns no job. The jobs stay known here.
    [[nodiscard]] wire::handover take_handover();
    void accept_handover(wire::handover const& jobs, base::steady_time now, base::system_time wall);

    [[nodiscard]] wire::queue_status queue_status() const;
    [[nodiscard]] std::vector<wire::target_status> target_status() const;
    /// Bytes of payloads and answers held, with an estimate for the tables around them.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

} // namespace filbertroad::submission

#endif

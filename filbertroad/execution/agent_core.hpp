#ifndef FILBERTROAD_EXECUTION_AGENT_CORE_HPP
#define FILBERTROAD_EXECUTION_AGENT_CORE_HPP

/// The decision logic of an agent: the admission of starts and the ledger of accepted starts. The
/// functions take events; take_actions() returns the actions that follow from them. The class has
/// no clock, thread or socket.
///
///     execution::agent_core core(self, "khi-b", options);
///     core.entry_linked(entry, link_number, now);
///     core.pong_received(entry, pong, now);
///     core.start_received(entry, link_number, start, now, wall);
///     for (auto& action : core.take_actions()) perform(action);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace filbertroad::execution
{

struct agent_options
{
    std::chrono::milliseconds confirmation_max_age{2000};
    /// Acknowledged starts stay in the ledger for this long plus twice the clock skew, so that late
    /// duplicates do not start the task again.
    std::chrono::milliseconds key_retention{15 * 60 * 1000};
    /// Largest difference between the clocks of callers and owners. An owner whose clock is behind
    /// accepts a key for longer than key_retention.
    std::chrono::milliseconds clock_skew{5000};
    std::size_t max_ledger_entries = 200'000;
    /// Maximum size of the ledger. Beyond it, acknowledged results are evicted, oldest first, while
    /// the identities of their starts are kept. If that does not suffice, new starts are refused.
    std::size_t max_ledger_bytes = 64UL * 1024 * 1024;
    /// Maximum number of starts that are running or not acknowledged. Limits the size of a hello.
    std::size_t max_open_entries = 20'000;
    /// The agent promises to refuse a missing member only after this long without traffic from it.
    std::chrono::milliseconds missing_member_timeout{3000};
    /// A target counts as unreachable after this long without an announcement.
    std::chrono::milliseconds announcement_timeout{3000};
    std::chrono::milliseconds ping_interval{500};
    /// A cancellation is sent to the target again after this long, until the task has ended: it may
    /// have reached the target before the start, which uses another connection.
    std::chrono::milliseconds cancel_interval{500};
};

/// Sends a message to an entry.
struct send_to_entry
{
    model::process_id entry;
    wire::link_message message;
};

/// Runs a task on the target. The target refuses a start that it reads after `start_before`.
struct run_task
{
    wire::start_task start;
    base::system_time start_before;
};

struct cancel_on_target
{
    wire::task_ref task;
};

using action = std::variant<send_to_entry, run_task, cancel_on_target>;

/// The outcome of a start on the target.
enum class execution_outcome
{
    succeeded,
    failed,
    /// The target had no free slot and did not run the task.
    refused_no_slot,
    /// The target read the start after `start_before` and did not run the task.
    refused_late,
    /// No connection could be made, so that the target has not received the start.
    not_sent,
    /// The start was sent, but no complete and matching response arrived. The task may have run.
    unknown,
    timed_out,
    cancelled,
};

class agent_core
{
public:
    agent_core(model::process_id self, std::string zone, agent_options options);
    agent_core(agent_core&&) noexcept;
    agent_core& operator=(agent_core&&) noexcept;
    ~agent_core();

    /// Call when a link to an entry is up. `link_number` increases with each link; starts from an
    /// older link of the same entry are refused. Sends hello(), followed by the results for the
    /// entry.
    void entry_linked(wire::member const& entry, std::uint64_t link_number, base::steady_time now);
    void entry_unlinked(model::process_id const& entry, std::uint64_t link_number);
    /// The hello to an entry. It lists all open ledger entries and does not depend on the receiver,
    /// which may not be known yet. The receiver ignores those that it did not send, and takes a
    /// start of its own that is missing from the list as not started.
    [[nodiscard]] wire::link_message hello() const;

    /// Call when the target announces itself. It takes tasks unless `target.leaving` is set. A
    /// target that is leaving takes tasks again if it announces itself, without `leaving`, 500 ms
    /// or more after its notice.
    void target_announced(wire::target_description const& target, base::steady_time now);
    void target_leaving(base::steady_time now);
    /// Starts a graceful shutdown: new starts are refused, running tasks finish.
    void start_draining(base::steady_time now);
    /// Whether no task is running and all results are acknowledged.
    [[nodiscard]] bool is_drained() const;

    void pong_received(model::process_id const& entry, wire::pong const& pong,
                       base::steady_time now);
    void state_received(wire::agent_state const& state, base::steady_time now);
    /// Runs the task, or refuses the start. A task that is in the ledger already is not run again:
    /// the sender becomes the recipient of its result, and gets a known result at once.
    ///
    /// Read the clock for `wall` before the one for `now`. A pause of the process between the two
    /// then makes `start_before` earlier and not later.
    void start_received(model::process_id const& entry, std::uint64_t link_number,
                        wire::start_task const& start, base::steady_time now,
                        base::system_time wall);
    void cancel_received(wire::cancel_task const& cancel);
    void finished_ack_received(model::process_id const& entry, wire::finished_ack const& ack,
                               base::steady_time now);
    void fence_received(model::process_id const& entry, wire::fence const& fence,
                        base::steady_time now);
    void promise_requested(model::process_id const& entry, wire::promise_request const& request,
                           base::steady_time now);

    /// Call with the outcome of each run_task action.
    void execution_ended(wire::task_ref const& task, execution_outcome outcome, std::string body,
                         std::string reason, std::chrono::microseconds run_time,
                         base::steady_time now);

    /// Sends pings, pending results and repeated cancellations, detects a target whose
    /// announcements timed out, and removes expired ledger entries. Call every 100 ms.
    void tick(base::steady_time now);

    [[nodiscard]] std::vector<action> take_actions();

    /// The entries to keep links to: the members of the newest known view, except those for which
    /// may_link() is false.
    [[nodiscard]] std::vector<wire::member> entries() const;
    /// False for an entry that a fence or a promise excludes. The link to it must be closed at
    /// once, since an entry that counts its linked agents must not count one that promised to
    /// refuse it.
    [[nodiscard]] bool may_link(model::process_id const& entry) const;
    /// Whether the agent accepts starts now, regardless of which entry sends them.
    [[nodiscard]] bool accepts_starts(base::steady_time now) const;
    [[nodiscard]] std::size_t unacknowledged() const;
    [[nodiscard]] std::size_t ledger_entries() const;
    [[nodiscard]] std::size_t running() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace filbertroad::execution

#endif

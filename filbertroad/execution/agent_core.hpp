#ifndef FILBERTROAD_EXECUTION_AGENT_CORE_HPP
#define FILBERTROAD_EXECUTION_AGENT_CORE_HPP

/// The decisions of an agent: the start gate and the ledger of accepted starts. Events go in
/// through the functions, actions come out of take_actions(). No clock, thread or socket of its
/// own.
///
///     execution::agent_core core(self, "khi-b", options);
///     core.entry_linked(entry, link_number, now);
///     core.pong_received(entry, pong, now);
///     core.start_received(entry, link_number, start, now, wall);
///     for (auto& action : core.take_actions()) perform(action);
///
/// Not safe for several threads.

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
    /// Acknowledged starts are remembered for this long, so that a late duplicate is refused.
    std::chrono::milliseconds key_retention{15 * 60 * 1000};
    std::size_t max_ledger_entries = 200'000;
    /// Bound of the ledger. Beyond it, answers that were acknowledged are dropped, oldest first;
    /// the identity of a start is kept. When this does not suffice, new starts are refused.
    std::size_t max_ledger_bytes = 64UL * 1024 * 1024;
    /// Most starts whose answer is not acknowledged; bounds the size of a hello.
    std::size_t max_open_entries = 20'000;
    /// An agent promises to refuse a missing member only after this long without traffic from it.
    std::chrono::milliseconds promise_silence_timeout{3000};
    /// A target that has not announced itself for this long counts as unreachable.
    std::chrono::milliseconds announcement_timeout{3000};
    std::chrono::milliseconds ping_interval{500};
};

/// Sends a message to an entry.
struct send_to_entry
{
    model::process_id entry;
    wire::link_message message;
};

/// Runs a task on the target. The target refuses it when it reads it after `start_before`.
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

/// What the target did with a start.
enum class execution_outcome
{
    succeeded,
    failed,
    /// It had no room; it did not run the task.
    refused_no_slot,
    /// It read the start after `start_before`; it did not run the task.
    refused_late,
    /// The connection could not be made, so that the target has not seen the start.
    not_sent,
    /// Sent, but no whole and matching answer: the task may have run.
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

    /// A link to an entry is up. `link_number` grows with each link; starts from an older link of
    /// the same entry are refused. Sends hello(), and then the answers that the entry is to get.
    void entry_linked(wire::member const& entry, std::uint64_t link_number, base::steady_time now);
    void entry_unlinked(model::process_id const& entry, std::uint64_t link_number);
    /// The hello, for an entry that is not known yet. It names every open ledger entry: those that
    /// the receiver did not send have no meaning to it, and it takes one that is missing as not
    /// started.
    [[nodiscard]] wire::link_message hello() const;

    /// The target announced itself: it takes work, unless `target.leaving` is set. One that said
    /// that it is leaving is back when it announces itself more than 500 ms later.
    void target_announced(wire::target_description const& target, base::steady_time now);
    void target_leaving(base::steady_time now);
    /// A planned stop of the agent: the gate closes, running tasks finish.
    void start_draining(base::steady_time now);
    /// Nothing runs and every answer is acknowledged.
    [[nodiscard]] bool is_drained() const;

    void pong_received(model::process_id const& entry, wire::pong const& pong,
                       base::steady_time now);
    void state_received(wire::agent_state const& state, base::steady_time now);
    /// Read `wall` before `now`, so that a pause between the two makes `start_before` earlier.
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

    /// The end of a task that run_task asked for.
    void execution_ended(wire::task_ref const& task, execution_outcome answer, std::string body,
                         std::string reason, std::chrono::microseconds run_time,
                         base::steady_time now);

    /// Sends pings, notices a silent target, forgets old ledger entries. Call every 100 ms.
    void tick(base::steady_time now);

    [[nodiscard]] std::vector<action> take_actions();

    /// Members of the newest view known, to keep links to, without those that may not be linked.
    [[nodiscard]] std::vector<wire::member> entries() const;
    /// False for an entry that a fence or a promise excludes. Its link must be closed at once: an
    /// entry that counts its linked agents must not count one that promised to refuse it.
    [[nodiscard]] bool may_link(model::process_id const& entry) const;
    /// Whether starts are accepted now, as far as the agent itself is concerned.
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

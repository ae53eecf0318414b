#ifndef FILBERTROAD_EXECUTION_INTERNAL_LEDGER_HPP
#define FILBERTROAD_EXECUTION_INTERNAL_LEDGER_HPP

/// The starts that an agent has accepted, with their results.
///
///     if (ledger.find(identity)) return ledger.duplicate_start_received(identity, entry, now);
///     if (!ledger.is_full()) ledger.add(identity, record);
///     ledger.finish(identity, result, now);
///     ledger.acknowledge(identity, entry, now);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/execution/internal/entry_lifecycle.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbertroad::execution::internal
{

struct task_identity
{
    model::job_id job;
    std::uint32_t index = 0;

    friend bool operator==(task_identity const&, task_identity const&) = default;
};

[[nodiscard]] task_identity identity_of(wire::task_ref const& task);

struct task_identity_hash
{
    std::size_t operator()(task_identity const& task) const noexcept;
};

struct ledger_record
{
    /// The entry that sent the start.
    model::process_id owner;
    /// The entry that receives the result: the owner, the sender of a fence that excluded the
    /// owner, or the sender of a later duplicate of the start.
    model::process_id recipient;
    std::string team;
    std::string job_digest;
    std::uint32_t task_count = 0;
    std::uint64_t started_unix_ms = 0;
    ledger_entry_state state = ledger_entry_state::running;
    base::steady_time changed_at;
    /// Sequence number of the last acknowledgement of this record; 0 before the first.
    std::uint64_t last_acknowledgement = 0;
    /// Set once the task has finished.
    wire::task_result result;
};

class ledger
{
public:
    explicit ledger(agent_options const& options);

    [[nodiscard]] ledger_record* find(task_identity const& task);
    /// Whether new starts must be refused. First evicts acknowledged results if the ledger is
    /// beyond its size limit.
    [[nodiscard]] bool is_full();
    /// Adds a running task, which must not be in the ledger yet.
    void add(task_identity const& task, ledger_record record);
    /// Stores the result of a running task. Returns its record, or null if no such task was
    /// running.
    ledger_record* finish(task_identity const& task, wire::task_result result,
                          base::steady_time now);
    /// Removes a running task that the target did not run. Returns the recipient to notify, or
    /// nothing if no such task was running.
    std::optional<model::process_id> refuse(task_identity const& task);
    /// Marks a result as acknowledged. Ignored unless `entry` is its recipient.
    void acknowledge(task_identity const& task, model::process_id const& entry,
                     base::steady_time now);
    /// Makes `sender` the recipient. A result that was already acknowledged becomes open again.
    void duplicate_start_received(task_identity const& task, model::process_id const& sender,
                                  base::steady_time now);
    /// Removes acknowledged entries after key_retention and twice the clock skew, and results that
    /// were never acknowledged after twice key_retention, when no owner accepts their keys any
    /// more.
    void expire(base::steady_time now);

    /// The tasks that are open: running, or finished and not acknowledged.
    [[nodiscard]] std::vector<task_identity> open_tasks() const;
    /// The open tasks whose owner or recipient is `entry`.
    [[nodiscard]] std::vector<task_identity> open_tasks_for(model::process_id const& entry) const;
    /// Makes `recipient` the recipient of all tasks whose owner or recipient was removed. Returns
    /// these tasks.
    [[nodiscard]] std::vector<task_identity>
    reassign_recipient(std::span<model::process_id const> removed,
                       model::process_id const& recipient);
    [[nodiscard]] wire::ledger_entry make_ledger_entry(task_identity const& task,
                                                       bool with_result) const;

    [[nodiscard]] std::size_t size() const { return this->records.size(); }
    [[nodiscard]] std::size_t running() const { return this->running_count; }
    [[nodiscard]] std::size_t unacknowledged() const { return this->open.size(); }
    [[nodiscard]] std::size_t bytes() const { return this->byte_count; }

private:
    using record_map = std::unordered_map<task_identity, ledger_record, task_identity_hash>;

    /// An acknowledgement. `task` points to a key of `records`.
    struct acknowledged_entry
    {
        base::steady_time at;
        std::uint64_t number = 0;
        task_identity const* task;
    };

    static std::size_t bytes_without_result(task_identity const& task, ledger_record const& record);
    void evict_results();
    void remove_record(record_map::iterator position);

    agent_options options;
    record_map records;
    /// Open tasks, as pointers to the keys of `records`, whose addresses are stable.
    std::unordered_set<task_identity const*> open;
    /// In the order of acknowledgement.
    std::deque<acknowledged_entry> acknowledged;
    /// Number of elements at the front of `acknowledged` that evict_results() has processed.
    std::size_t evicted_prefix = 0;
    std::uint64_t acknowledgement_count = 0;
    std::size_t running_count = 0;
    std::size_t byte_count = 0;
};

} // namespace filbertroad::execution::internal

#endif

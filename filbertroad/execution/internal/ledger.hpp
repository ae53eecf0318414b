#ifndef FILBERTROAD_EXECUTION_INTERNAL_LEDGER_HPP
#define FILBERTROAD_EXECUTION_INTERNAL_LEDGER_HPP

/// The starts that an agent accepted, with their answers.
///
///     if (auto* const known = ledger.find(identity)) return repeat_answer(*known);
///     if (!ledger.is_full()) ledger.add(identity, record, now);
///     ledger.finish(identity, result, now);
///     ledger.acknowledge(identity, entry, now);
///
/// Not safe for several threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/execution/internal/ledger_entry_lifecycle.hpp"
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
    /// Sender of the start.
    model::process_id owner;
    /// Entry that is to get the answer: the owner, the sender of a fence that excluded it, or a
    /// later sender of the same start.
    model::process_id recipient;
    std::string team;
    std::string job_digest;
    std::uint32_t task_count = 0;
    std::uint64_t started_unix_ms = 0;
    ledger_entry_state state = ledger_entry_state::running;
    base::steady_time changed_at;
    /// Number of its last acknowledgement; 0 before the first.
    std::uint64_t last_acknowledgement = 0;
    /// Set once the task has ended.
    wire::task_result result;
};

class ledger
{
public:
    explicit ledger(agent_options const& options);

    [[nodiscard]] ledger_record* find(task_identity const& task);
    /// True if a new start must be refused. Drops acknowledged answers first.
    [[nodiscard]] bool is_full();
    /// Precondition: the task is not in the ledger.
    void add(task_identity const& task, ledger_record record);
    /// Returns the record if it was running.
    ledger_record* finish(task_identity const& task, wire::task_result result,
                          base::steady_time now);
    /// Forgets a running task that the target did not run. Returns the entry to tell, if it was
    /// running.
    std::optional<model::process_id> refuse(task_identity const& task);
    void acknowledge(task_identity const& task, model::process_id const& entry,
                     base::steady_time now);
    /// `sender` gets the answer from now on, also if it was acknowledged.
    void duplicate_start_received(task_identity const& task, model::process_id const& sender,
                                  base::steady_time now);
    /// Forgets acknowledged entries after the retention, and answers that nobody took for twice as
    /// long, since no owner accepts their keys any more.
    void expire(base::steady_time now);

    /// Entries that are running or not acknowledged.
    [[nodiscard]] std::vector<task_identity> open_tasks() const;
    /// Those that `entry` sent or whose answer it gets.
    [[nodiscard]] std::vector<task_identity> open_tasks_for(model::process_id const& entry) const;
    /// Entries of the removed members. Their answers go to `recipient` from now on.
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

    /// An acknowledged entry, in the order of acknowledgement.
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
    /// Keys of `records`, whose addresses are stable.
    std::unordered_set<task_identity const*> open;
    std::deque<acknowledged_entry> acknowledged;
    /// Position in `acknowledged` up to which answers were dropped.
    std::size_t evicted_prefix = 0;
    std::uint64_t acknowledgement_count = 0;
    std::size_t running_count = 0;
    std::size_t byte_count = 0;
};

} // namespace filbertroad::execution::internal

#endif

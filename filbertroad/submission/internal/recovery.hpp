#ifndef FILBERTROAD_SUBMISSION_INTERNAL_RECOVERY_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_RECOVERY_HPP

/// Tracks the fences of removed members: which agents were asked for their ledgers, which have
/// reported them, and which ledgers are lost. A start by a removed member is in doubt (it may have
/// reached a target) while a ledger that could hold the start is lost.
///
///     recovery.start_fence(view, removed, agents, now);
///     for (auto& fence : recovery.fences_for(agent.id)) send(fence);
///     recovery.add_report(report);
///     if (recovery.is_complete(created_after_ownership, now)) accept(key);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/submission/internal/agent_table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace filbertroad::submission::internal
{

/// Route, key and index of a task.
struct task_identity
{
    model::job_id job;
    std::uint32_t index = 0;

    // clang-tidy 14 mistakes the zero of the generated comparison for a null pointer.
    friend auto operator<=>(task_identity const&,
                            task_identity const&) = default; // NOLINT(modernize-use-nullptr)
};

struct recovery_options
{
    std::chrono::milliseconds fence_timeout;
    std::chrono::milliseconds confirmation_max_age;
    std::chrono::milliseconds clock_skew;
};

class recovery
{
public:
    explicit recovery(recovery_options options) : options(options) {}

    /// Starts a fence for the members of `removed` that no active fence covers, and drops fences of
    /// which no member is in `removed` any more. Returns whether a fence was started.
    bool start_fence(std::uint64_t view, std::span<model::process_id const> removed,
                     agent_table const& agents, base::steady_time now);
    /// Deactivates all fences, because the shard has another owner. That owner may be among the
    /// members that are removed later, so the next ownership starts its own fences.
    void ownership_lost();
    /// Returns the fences that the agent has not answered, and marks its reports as expected.
    [[nodiscard]] std::vector<wire::fence> fences_for(model::process_id const& agent);
    /// Returns the fence of `view`, to request the agent's ledger again. Empty if there is no such
    /// fence.
    [[nodiscard]] std::vector<wire::fence> repeat_fence(std::uint64_t view,
                                                        model::process_id const& agent);
    /// Whether a fence excludes the owner of a ledger entry.
    [[nodiscard]] bool is_excluded(model::process_id const& owner) const;
    /// Adds a part of a ledger report. With the last part, returns all tasks that the agent
    /// reported since the request; otherwise, and if no report is expected, returns nothing.
    std::optional<std::set<task_identity>> add_report(wire::ledger_report const& report);
    /// Marks pending ledgers as lost if the agent was replaced or the fence timeout is over.
    /// Returns whether a ledger was marked.
    bool expire(agent_table const& agents, base::steady_time now);

    /// Whether every ledger was reported or is lost, and no removed member can still act on its old
    /// view, which it may do for `confirmation_max_age`. A key that a removed member cannot hold
    /// (`after_ownership`: created after every process knew this owner) does not wait for that
    /// time.
    [[nodiscard]] bool is_complete(bool after_ownership, base::steady_time now) const;
    /// Whether a task of a key created at `created` may have been started at an agent whose ledger
    /// is lost.
    [[nodiscard]] bool is_in_doubt(base::system_time created, agent_table const& agents) const;

private:
    enum class ledger_state
    {
        pending,
        reported,
        lost,
    };

    struct ledger
    {
        ledger_state state = ledger_state::pending;
        std::set<task_identity> reported_tasks;
        /// A report is expected. A duplicate report must not count as the answer to a later
        /// request.
        bool report_expected = false;
    };

    struct fence_round
    {
        std::vector<model::process_id> removed;
        std::map<model::process_id, ledger> ledgers;
        base::steady_time started;
        /// False after the ownership was lost. Only adopted tasks refer to an inactive round.
        bool active = true;
    };

    [[nodiscard]] static wire::fence make_fence(std::uint64_t view, fence_round const& round);

    recovery_options options;
    std::map<std::uint64_t, fence_round> rounds;
};

} // namespace filbertroad::submission::internal

#endif

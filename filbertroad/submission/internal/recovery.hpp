#ifndef FILBERTROAD_SUBMISSION_INTERNAL_RECOVERY_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_RECOVERY_HPP

/// Fences of removed members: which agents were asked for their ledgers, which have answered, and
/// which are lost, so that starts of the removed members stay in doubt.
///
///     recovery.exclude(view, removed, agents, now);
///     for (auto& fence : recovery.fences_for(agent.id)) send(fence);
///     recovery.answered(report);
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

    // clang-tidy 14 takes the generated comparison with zero for a null pointer.
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

    /// Starts a fence for the members of `removed` that no earlier fence covers, and forgets fences
    /// of members that are no longer in `removed`. Returns whether a fence was started.
    bool start_fence(std::uint64_t view, std::span<model::process_id const> removed,
                     agent_table const& agents, base::steady_time now);
    /// The shard has another owner: members that are removed later may include it, and the fences
    /// of the next ownership start anew.
    void ownership_lost();
    /// Fences that the agent has not answered.
    [[nodiscard]] std::vector<wire::fence> fences_for(model::process_id const& agent);
    /// Asks the agent again for the ledger of the fence of `view`.
    [[nodiscard]] std::vector<wire::fence> repeat_fence(std::uint64_t view,
                                                        model::process_id const& agent);
    /// Whether a fence excludes the owner of a ledger entry.
    [[nodiscard]] bool is_excluded(model::process_id const& owner) const;
    /// Notes a report. Returns what the agent mentioned since it was asked, once the report is
    /// whole; nothing before.
    std::optional<std::set<task_identity>> add_report(wire::ledger_report const& report);
    /// Gives up agents that were replaced or have not answered in time. Returns whether the state
    /// of a fence changed.
    bool expire(agent_table const& agents, base::steady_time now);

    /// Whether every agent has answered or is lost. A removed member may act on its old view for
    /// `confirmation_max_age`; only keys that it can not hold (`after_ownership`: created after
    /// this owner was known to all) need not wait for that.
    [[nodiscard]] bool is_complete(bool after_ownership, base::steady_time now) const;
    /// Whether a task of a key created at `created` may have been started on an agent whose ledger
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
        /// A report is due; a repeated report must not count as the answer to a later question.
        bool report_expected = false;
    };

    struct fence_round
    {
        std::vector<model::process_id> removed;
        std::map<model::process_id, ledger> ledgers;
        base::steady_time started;
        /// False after the ownership was lost: only adopted tasks refer to it.
        bool active = true;
    };

    [[nodiscard]] static wire::fence make_fence(std::uint64_t view, fence_round const& round);

    recovery_options options;
    std::map<std::uint64_t, fence_round> rounds;
};

} // namespace filbertroad::submission::internal

#endif

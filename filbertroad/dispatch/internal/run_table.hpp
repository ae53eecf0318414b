#ifndef FILBERTROAD_DISPATCH_INTERNAL_RUN_TABLE_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_RUN_TABLE_HPP

/// Runs of an agent, at most one per task, and the resources allocated to them. Not thread-safe.
///
///     run_table runs;
///     auto& run = runs.add(entry, order, now);
///     runs.change(run, run_state::starting);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertroad::dispatch::internal
{

enum class run_state
{
    queued,
    /// The start has been sent; neither an answer nor a list has confirmed it yet.
    starting,
    running,
    /// A stop has been sent. The run keeps its resources until its end is confirmed.
    stopping,
};

struct agent_run
{
    std::string entry;
    start_order order;
    run_state state = run_state::queued;
    std::uint64_t arrival_number = 0;
    base::steady_time arrived{};
    /// Run number in the orders to the target; higher than the number in `order` if the target
    /// refused that one as stale.
    std::uint32_t target_run = 0;
    base::steady_time started{};
    /// Number of the latest start.
    std::uint64_t order_number = 0;
    /// Fencing token of the latest start.
    std::uint64_t fencing_token = 0;
    /// Whether the target has accepted the start or listed the run.
    bool is_start_confirmed = false;
    /// Whether the run has been recorded as overdue.
    bool is_overdue_recorded = false;
    /// When the target was last polled to verify the start; empty unless the start got no answer.
    std::optional<base::steady_time> verification_sent;
    /// When the target accepted the start. Lists requested later name the run unless it has ended.
    base::steady_time start_answered{};
    /// When the run had to be stopped: when the first stop was sent, or when its entry's lease
    /// ended.
    base::steady_time stop_due{};
    base::steady_time stop_sent{};
    bool is_stop_answered = false;
    base::steady_time stop_answered{};
    std::string stop_reason;
    /// Whether the target crashed or became silent while it executed the run, or may have.
    bool is_target_lost = false;
    /// Last answer of the target before it was lost; valid if `is_target_lost`.
    base::steady_time target_last_heard{};
};

class run_table
{
public:
    /// Adds a queued run. Precondition: the table has no run of the same task. The reference is
    /// valid until the run is erased.
    agent_run& add(std::string_view entry, start_order order, base::steady_time now);
    [[nodiscard]] agent_run* find(std::string_view task);
    [[nodiscard]] agent_run const* find(std::string_view task) const;
    void change(agent_run& run, run_state next);
    void erase(std::string const& task);

    [[nodiscard]] bool empty() const { return this->runs.empty(); }
    /// Resources of all runs that are not queued.
    [[nodiscard]] model::resources allocated() const { return this->allocated_resources; }
    /// Queued tasks in the order in which they start: by priority, then by arrival.
    [[nodiscard]] std::vector<std::string> queued() const;
    /// The first of them; null if there is none. Unlike queued(), this copies nothing.
    [[nodiscard]] agent_run* first_queued();
    /// The queued run after `run`, which is queued too; null if it is the last.
    [[nodiscard]] agent_run* queued_after(agent_run const& run);
    /// Runs of the step of `order` that are not queued. Counted only for steps with a limit.
    [[nodiscard]] std::uint32_t present_of_step(start_order const& order) const;
    [[nodiscard]] bool has_queued() const { return !this->queue.empty(); }

    template <class Use>
    void for_each(Use use)
    {
        for (auto& [task, run] : this->runs)
        {
            use(run);
        }
    }

    template <class Use>
    void for_each(Use use) const
    {
        for (auto const& [task, run] : this->runs)
        {
            use(run);
        }
    }

private:
    struct position
    {
        std::uint32_t priority;
        std::uint64_t arrival_number;
        std::string task;

        // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(position const&, position const&) = default;
    };

    static position position_of(agent_run const& run);
    /// Adds the run to what is allocated, or removes it.
    void allocate(agent_run const& run);
    void release(agent_run const& run);

    std::map<std::string, agent_run, std::less<>> runs;
    std::set<position> queue;
    model::resources allocated_resources;
    /// By the name that the tasks of a step have in common.
    std::map<std::string, std::uint32_t, std::less<>> present_by_step;
    std::uint64_t last_arrival_number = 0;
};

} // namespace filbertroad::dispatch::internal

#endif

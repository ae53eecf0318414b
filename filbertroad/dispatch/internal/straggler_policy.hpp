#ifndef FILBERTROAD_DISPATCH_INTERNAL_STRAGGLER_POLICY_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_STRAGGLER_POLICY_HPP

/// Decides whether an overdue run is moved: cancelled, and run again on another target. It learns
/// the run times of each route and bounds the work that moves discard. Not thread-safe.
///
///     straggler_policy stragglers;
///     stragglers.observe_end("service", "route", "agent-1", {.ratio = 1.1, .is_overdue = false});
///     auto reason = stragglers.reason_to_move("service", "route", ratio, target_progress_state);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/internal/route_work.hpp"
#include "filbertroad/dispatch/internal/run_time_model.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace filbertroad::dispatch::internal
{

/// Time that a run took, or has taken so far.
struct run_time
{
    /// Time times the speed of the target, divided by the estimate of the job.
    double ratio = 0;
    /// Whether the run took longer than the time after which it counts as stalled.
    bool is_overdue = false;
    /// Whether the run was stopped before its end.
    bool is_stopped = false;
};

class straggler_policy
{
public:
    /// Records a run on the target of `agent`, which was not the cause of the time that it took. Of
    /// successive overdue runs of a route on the same target only the first is recorded: a tail
    /// shows on every target, a fault on one.
    void observe(std::string_view service, std::string_view route, std::string_view agent,
                 run_time const& run);
    /// Why a run that counts as stalled should be moved; `move_reason::none` if it is long because
    /// of its task. `ratio` is the time that it has taken so far.
    [[nodiscard]] move_reason reason_to_move(std::string_view service, std::string_view route,
                                             double ratio, target_progress_state target) const;
    /// Whether runs of the route take several times as long as expected where the target is not the
    /// cause.
    [[nodiscard]] bool has_tail(std::string_view service, std::string_view route) const;

    /// Records work that was submitted, in core-milliseconds.
    void add_work(double work, base::steady_time now) { this->submitted.add(work, now); }
    /// Whether a move that discards `work` core-milliseconds stays within the budget; if so, it is
    /// counted.
    [[nodiscard]] bool spend(double work, base::steady_time now);

private:
    struct learned
    {
        run_time_model times;
        /// Agent of the last overdue run that was recorded.
        std::string last_overdue_agent;
        std::uint64_t last_used = 0;
    };

    void observe(learned& model, std::string_view agent, run_time const& run);
    /// Share of the runs above `ratio`. A route with few runs takes the runs of all routes of the
    /// service into account.
    [[nodiscard]] double weight_above(std::string_view service, std::string_view route,
                                      double ratio) const;
    void bound_memory();

    /// By service and route; the route is empty for all routes of the service.
    std::map<std::pair<std::string, std::string>, learned, std::less<>> models;
    std::uint64_t observations = 0;
    route_work submitted;
    route_work discarded;
};

} // namespace filbertroad::dispatch::internal

#endif

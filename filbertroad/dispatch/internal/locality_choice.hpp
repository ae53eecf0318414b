#ifndef FILBERTROAD_DISPATCH_INTERNAL_LOCALITY_CHOICE_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_LOCALITY_CHOICE_HPP

/// Decides whether a task waits for a place near its data or runs far away now, where it takes
/// longer. The earlier end is better for the caller, but the extra time of a far run takes capacity
/// from other tasks, and makes them wait where the targets are nearly full.
///
///     caller_times const caller{objective_left, useful_left};
///     auto choice = choose_locality(near, far, caller, waiting_per_extra_run(load));
///     if (choice.use_near) queue(near, choice.longest_wait);

#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace filbertroad::dispatch::internal
{

/// A place for a task.
struct place_option
{
    milliseconds wait{};
    milliseconds run{};
    /// Part of `run` that the task would not take near its data.
    milliseconds extra{};

    [[nodiscard]] milliseconds end() const { return this->wait + this->run; }
};

/// Times from now.
struct caller_times
{
    /// Until the latency objective.
    milliseconds objective{};
    /// Until the answer is useless to the caller if the task waits, and if it runs at once.
    milliseconds useful_queued{};
    milliseconds useful_now{};
};

/// Load of the targets that would do the extra work.
struct pool_load
{
    /// Share of the processor time that is in use, and work that waits, in cores over cores.
    double utilization = 0;
    /// Number of such tasks that the targets can run at the same time.
    double servers = 1;
};

struct locality_decision
{
    bool use_near = true;
    /// Longest wait near that is worth it; after it the task is placed anew.
    milliseconds longest_wait{};
};

/// Total waiting time of other tasks that a unit of extra run time causes: the derivative of the
/// mean number of waiting tasks by the load, from Sakasegawa's approximation for several servers.
/// It is near 0 on half-full targets and several units on full ones.
[[nodiscard]] inline double waiting_per_extra_run(pool_load const& load)
{
    // At a load of 1 the approximation has no value. The bound keeps the price finite.
    constexpr double max_utilization = 0.98;
    auto const servers = std::max(load.servers, 1.0);
    auto const use = std::clamp(load.utilization, 0.0, max_utilization);
    if (use <= 0)
    {
        return 0;
    }
    auto const exponent = std::sqrt(2 * (servers + 1));
    auto const idle = 1 - use;
    return (exponent * std::pow(use, exponent - 1) / idle +
            std::pow(use, exponent) / (idle * idle)) /
           servers;
}

/// 0 if the task ends within the objective, 1 if its answer is late but useful, 2 if useless.
[[nodiscard]] inline int lateness(place_option const& option, caller_times const& caller)
{
    if (option.end() <= caller.objective)
    {
        return 0;
    }
    bool const is_queued = option.wait > milliseconds(0);
    return option.end() <= (is_queued ? caller.useful_queued : caller.useful_now) ? 1 : 2;
}

/// The place that is better for the caller, and among places that serve the caller equally well the
/// one with the least sum of the time until the end and the waiting that the extra work causes.
/// `price` is that waiting for each unit of extra run time.
[[nodiscard]] inline locality_decision choose_locality(place_option const& near,
                                                       place_option const& far,
                                                       caller_times const& caller, double price)
{
    auto const cost = [&](place_option const& option)
    {
        return static_cast<double>(option.end().count()) +
               price * static_cast<double>(option.extra.count());
    };
    auto const near_class = lateness(near, caller);
    auto const far_class = lateness(far, caller);
    // The wait at which the far place becomes the better one.
    auto break_even =
        milliseconds(static_cast<std::int64_t>(cost(far) - static_cast<double>(near.run.count())));
    if (far_class == 0)
    {
        // After a longer wait, a far run would be late, and the wait may well be longer than
        // expected: estimates are off, and more urgent tasks arrive.
        auto const load_cost = price * static_cast<double>(far.extra.count());
        break_even = std::min(break_even, caller.objective - far.end() +
                                              milliseconds(static_cast<std::int64_t>(load_cost)));
    }
    else if (far_class == 2)
    {
        break_even = std::max(break_even, caller.useful_queued - near.run);
    }
    // A free near place costs no wait. A far place that is faster costs capacity of fast targets.
    bool const is_near_free = near.wait == milliseconds(0);
    bool const use_near =
        near_class != far_class ? near_class < far_class : is_near_free || near.wait <= break_even;
    return {use_near, std::max({near.wait, break_even, milliseconds(1)})};
}

} // namespace filbertroad::dispatch::internal

#endif

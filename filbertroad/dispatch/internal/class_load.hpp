#ifndef FILBERTROAD_DISPATCH_INTERNAL_CLASS_LOAD_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_CLASS_LOAD_HPP

/// Exponentially decayed average of the share of a target's cores that each priority class uses.
/// Not thread-safe.
///
///     class_load load;
///     load.add(0, elapsed_ms * cores, now);
///     auto share = load.share(0, cores_of_target, now);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace filbertroad::dispatch::internal
{

class class_load
{
public:
    /// Adds the work of a run that ended, in core-milliseconds at the target's own speed.
    void add(std::size_t priority_class, double work, base::steady_time now)
    {
        this->decay(now);
        this->used[priority_class] += work;
    }

    /// Share of `cores` used by the class, 0 to 1.
    [[nodiscard]] double share(std::size_t priority_class, double cores,
                               base::steady_time now) const
    {
        auto const decayed_work = this->used[priority_class] * decay_since(this->last, now);
        return std::clamp(decayed_work / (window_ms * std::max(cores, 1.0)), 0.0, 1.0);
    }

private:
    /// Time constant of the decay. It covers about ten runs of each class and is shorter than a
    /// burst.
    static constexpr double window_ms = 1'000;

    static double decay_since(base::steady_time earlier, base::steady_time now)
    {
        auto const age = std::chrono::duration<double, std::milli>(now - earlier).count();
        return std::exp(-std::max(age, 0.0) / window_ms);
    }

    void decay(base::steady_time now)
    {
        auto const factor = decay_since(this->last, now);
        for (auto& work : this->used)
        {
            work *= factor;
        }
        this->last = now;
    }

    std::array<double, priority_classes> used{};
    base::steady_time last{};
};

} // namespace filbertroad::dispatch::internal

#endif

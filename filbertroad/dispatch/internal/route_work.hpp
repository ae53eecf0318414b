#ifndef FILBERTROAD_DISPATCH_INTERNAL_ROUTE_WORK_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_ROUTE_WORK_HPP

/// Exponentially decayed sum of the work that was submitted to a route. Not thread-safe.
///
///     route_work work;
///     work.add(core_milliseconds, now);
///     auto recent = work.recent(now);

#include "filbertroad/base/clock.hpp"

#include <chrono>
#include <cmath>

namespace filbertroad::dispatch::internal
{

class route_work
{
public:
    void add(double work, base::steady_time now)
    {
        this->sum = this->recent(now) + work;
        this->updated = now;
    }

    [[nodiscard]] double recent(base::steady_time now) const
    {
        std::chrono::duration<double> const age = now - this->updated;
        return this->sum * std::exp(-age / decay_time);
    }

    /// Whether nothing has been added for so long that the sum no longer matters.
    [[nodiscard]] bool is_negligible(base::steady_time now) const
    {
        return now - this->updated > 20 * decay_time;
    }

private:
    /// It covers many jobs of infrequent routes.
    static constexpr std::chrono::duration<double> decay_time{10};

    double sum = 0;
    base::steady_time updated{};
};

} // namespace filbertroad::dispatch::internal

#endif

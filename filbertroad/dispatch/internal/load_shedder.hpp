#ifndef FILBERTROAD_DISPATCH_INTERNAL_LOAD_SHEDDER_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_LOAD_SHEDDER_HPP

/// Refuses the share of the jobs that the targets cannot serve in time, evenly over kinds and
/// sizes. The share follows from the backlog that the agents report, so that all entries refuse the
/// same share at the same time, whatever part of the demand they get. Not thread-safe.
///
///     load_shedder shedder;
///     auto const share = shedder.refused_share(load);
///     if (is_drawn(hash_of_key, share)) refuse(load_shedder::retry_after(hash_of_key, share));

#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace filbertroad::dispatch::internal
{

/// Load of all targets that a job may use.
struct fleet_load
{
    /// Queued work, in core-milliseconds.
    double queued_work = 0;
    double cores = 0;
    /// Cores that no run uses, on targets without queued work.
    double idle_cores = 0;
    std::size_t targets = 0;

    void add(target_status const& status);
};

inline void fleet_load::add(target_status const& status)
{
    ++this->targets;
    double queued = 0;
    for (auto const work : status.queued_work)
    {
        queued += work;
    }
    this->queued_work += queued;
    this->cores += static_cast<double>(status.capacity.cpu) / 1000;
    this->idle_cores +=
        queued > 0 ? 0 : static_cast<double>(std::max<std::int64_t>(status.free.cpu, 0)) / 1000;
}

class load_shedder
{
public:
    /// Share of the jobs to refuse, 0 to `max_refused_share`.
    [[nodiscard]] static double refused_share(fleet_load const& load)
    {
        if (load.cores <= 0)
        {
            return 0;
        }
        auto const backlog = (load.queued_work - load.idle_cores * idle_horizon_ms) / load.cores;
        return std::clamp((backlog - tolerated_backlog_ms) / full_backlog_ms, 0.0,
                          max_refused_share);
    }

    /// Time after which the caller of a refused job may send it again. `draw` is between 0 and 1
    /// and differs by job.
    [[nodiscard]] static std::chrono::seconds retry_after(double draw, double share)
    {
        return shortest_pause + std::chrono::seconds(static_cast<std::int64_t>(
                                    draw * share * static_cast<double>(longest_spread.count())));
    }

private:
    /// Backlog, in time of all cores, up to which nothing is refused. It is a third of the time
    /// that the shortest jobs of the deployments may wait (96 ms), and more than occurs at 70 %
    /// utilization.
    static constexpr double tolerated_backlog_ms = 30;
    /// Backlog beyond it at which all jobs would be refused. Together they are about the time that
    /// the shortest jobs may wait. A smaller value would let the share oscillate when reports are
    /// 100 ms old.
    static constexpr double full_backlog_ms = 80;
    /// Some jobs are always admitted, so that no kind starves.
    static constexpr double max_refused_share = 0.95;
    /// Time for which idle cores count against the backlog. Work that is queued elsewhere cannot
    /// move to them, but new jobs can use them.
    static constexpr double idle_horizon_ms = 100;
    /// A burst lasts for seconds: a job that returns within one finds the same queue, and the
    /// answer to a short job is useless by then.
    static constexpr std::chrono::seconds shortest_pause{2};
    static constexpr std::chrono::seconds longest_spread{4};
};

} // namespace filbertroad::dispatch::internal

#endif

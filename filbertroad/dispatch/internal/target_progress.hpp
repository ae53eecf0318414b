#ifndef FILBERTROAD_DISPATCH_INTERNAL_TARGET_PROGRESS_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_TARGET_PROGRESS_HPP

/// Evidence that a target, and not its tasks, is the cause of overdue runs: a cumulative sum
/// (CUSUM) over the runs of all entries on the target, in the order in which they end as expected
/// or become overdue. An overdue run raises the sum, a run that ends as expected lowers it. Not
/// thread-safe.
///
///     target_progress progress;
///     progress.record_on_time();
///     progress.record_overdue();
///     if (progress.is_delayed()) ...

#include <algorithm>
#include <cmath>

namespace filbertroad::dispatch::internal
{

class target_progress
{
public:
    /// A run ended without becoming overdue.
    void record_on_time() { this->record(false); }
    /// A run became overdue; to be called once for each run.
    void record_overdue() { this->record(true); }

    /// Whether the target is the likely cause of its overdue runs.
    [[nodiscard]] bool is_delayed() const { return this->evidence >= threshold; }
    /// Whether runs are also overdue on the target while it makes progress: some tasks take much
    /// longer than others.
    [[nodiscard]] bool has_tail() const
    {
        return this->runs >= min_runs && this->overdue_share >= min_tail_share;
    }

private:
    /// Share of overdue runs on a target that is slow, or that stalls part of its runs.
    static constexpr double faulty_share = 0.4;
    /// Least share assumed for a target without a fault. The learned share is uncertain.
    static constexpr double min_healthy_share = 0.03;
    static constexpr double max_healthy_share = 0.2;
    /// Four overdue runs in succession where 3 to 4 % of the runs are overdue. The mean number of
    /// runs between two false alarms is at least exp(threshold), which is 10,000: two minutes on a
    /// target with 80 runs a second.
    static constexpr double threshold = 9.2;
    /// Highest sum: five runs that end as expected clear it.
    static constexpr double max_evidence = threshold + 2.3;
    /// The four overdue runs at the begin of a fault are less than 1.5 % of `min_runs`.
    static constexpr double min_tail_share = 0.015;
    /// Number of runs that the share covers, and the least number from which on it is used.
    static constexpr double share_runs = 500;
    static constexpr double min_runs = 300;

    void record(bool is_overdue)
    {
        if (!this->is_delayed())
        {
            this->runs = std::min(this->runs + 1, share_runs);
            this->overdue_share +=
                ((is_overdue ? 1.0 : 0.0) - this->overdue_share) / std::max(this->runs, min_runs);
        }
        auto const healthy = std::clamp(this->overdue_share, min_healthy_share, max_healthy_share);
        auto const step = is_overdue ? std::log(faulty_share / healthy)
                                     : std::log((1 - faulty_share) / (1 - healthy));
        this->evidence = std::clamp(this->evidence + step, 0.0, max_evidence);
    }

    double evidence = 0;
    double runs = 0;
    double overdue_share = 0;
};

} // namespace filbertroad::dispatch::internal

#endif

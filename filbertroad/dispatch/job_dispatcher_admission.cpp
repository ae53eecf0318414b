#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include "filbertroad/dispatch/internal/load_shedder.hpp"

#include "filbertroad/base/hash.hpp"

#include <algorithm>
#include <limits>

namespace filbertroad::dispatch
{
namespace
{

/// Seed of the draws, so that they differ from the other draws of the same key.
constexpr std::uint64_t refusal_seed = 1;
constexpr std::uint64_t pause_seed = 2;

/// Pseudo-random number in [0, 1) that differs by job. All entries draw the same number for a job,
/// so that a job that is sent again does not get a better chance at another entry.
double draw(std::string_view job_key, std::uint64_t seed)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(base::hash64(job_key, seed)) / (range + 1);
}

} // namespace

admission_result job_dispatcher::decide_admission(job& parent_job, milliseconds expected_end,
                                                  double queued_share)
{
    bool const needs_queue = queued_share > 0;
    auto const lateness =
        static_cast<double>(expected_end.count()) /
        static_cast<double>(std::max<std::int64_t>(parent_job.objective.count(), 1));
    if (!this->is_within_load(parent_job, lateness, queued_share))
    {
        return admission_result::load;
    }
    auto const end = this->clock.steady_now() + expected_end;
    return end <= parent_job.latest_end(needs_queue) ? admission_result::admitted
                                                     : admission_result::too_late;
}

void job_dispatcher::record_admission(job const& parent_job, admission_result result)
{
    this->admission_record.record(parent_job.request.priority, result, parent_job.refused_share,
                                  this->clock.steady_now());
}

bool job_dispatcher::is_within_load(job& parent_job, double lateness, double queued_share)
{
    auto const now = this->clock.steady_now();
    if (this->limits.admission == admission_policy::unlimited)
    {
        return true;
    }
    bool const sees_most_targets = this->entry_count <= this->limits.max_shared_entries;
    auto const load = this->limits.admission == admission_policy::shared && sees_most_targets
                          ? this->load_of_targets(parent_job)
                          : internal::fleet_load{};
    if (load.cores <= 0 || load.targets < this->limits.min_shared_targets)
    {
        // The present policy is the detector, or too few agents have reported recently.
        return this->overload.admits(parent_job.request.priority, lateness, now) ||
               queued_share <= 0;
    }
    auto const share = internal::load_shedder::refused_share(load);
    parent_job.refused_share = share;
    // A job that only uses free resources delays no other job. By the share of its tasks that wait,
    // wide jobs, which seldom find room for all tasks at once, are refused as often as small ones.
    if (draw(parent_job.request.key, refusal_seed) >= share * queued_share)
    {
        return true;
    }
    parent_job.retry_after =
        internal::load_shedder::retry_after(draw(parent_job.request.key, pause_seed), share);
    return false;
}

internal::fleet_load job_dispatcher::load_of_targets(job const& parent_job) const
{
    auto const now = this->clock.steady_now();
    internal::fleet_load load;
    for (auto const& [name, view] : this->agents)
    {
        auto const& status = view.status();
        bool const is_usable =
            view.accepts_starts(now) && status.service == parent_job.request.service &&
            std::any_of(parent_job.request.steps.begin(), parent_job.request.steps.end(),
                        [&](job_step const& step)
                        { return status.capacity.can_fit(step.resources); });
        if (is_usable)
        {
            load.add(status);
        }
    }
    return load;
}

} // namespace filbertroad::dispatch

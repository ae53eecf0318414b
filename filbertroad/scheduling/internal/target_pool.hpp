#ifndef FILBERTROAD_SCHEDULING_INTERNAL_TARGET_POOL_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_TARGET_POOL_HPP

/// The targets of a shard with their free slots, learnt speed and health. Selects the target for
/// the next task. Targets and placement rules have dense indexes. The index of a target is valid
/// until the target is removed; that of a placement rule until set_placement replaces the rule.
///
///     target_pool pool(seed, ramp_up);
///     pool.update(info, now);
///     pool.refresh(now);
///     auto target = pool.fastest_free(placement);
///     pool.started(*target);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/scheduling/internal/job_choice.hpp"
#include "filbertroad/scheduling/internal/run_time_distribution.hpp"
#include "filbertroad/scheduling/internal/target_health.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::scheduling::internal
{

inline constexpr std::uint32_t no_target = std::numeric_limits<std::uint32_t>::max();

/// Interval at which a slot limit that was lowered by a refusal rises by one slot.
inline constexpr std::chrono::milliseconds limit_increase_interval{500};

struct target_record
{
    target_info info;
    target_health health;
    bool announced = false;
    bool available = true;
    bool removed = false;
    std::uint32_t running = 0;
    /// Upper bound of the slots in use: the announced slots, or fewer after no_slot refusals.
    std::uint32_t slot_limit = 0;
    base::steady_time next_limit_increase{};
    base::steady_time ramp_start{};
    /// No start before this time, after failures or refused starts.
    base::steady_time backoff_until{};
    /// Sequence number of the latest start. Among equal targets, the one with the oldest start is
    /// selected.
    std::uint64_t last_start_sequence = 0;
    std::uint32_t consecutive_refusals = 0;
    std::uint32_t consecutive_failures = 0;
    /// Exponentially weighted share of failed tasks.
    double failure_rate = 0;
    std::uint32_t result_count = 0;
    /// Job of the first of the consecutive failures, and whether other jobs failed after it.
    std::uint64_t first_failed_job = 0;
    bool several_jobs_failed = false;
    /// Mean logarithm of the run time relative to the mean of its route.
    double log_slowness = 0;
    std::uint32_t samples = 0;
    /// The same over the most recent run times.
    double recent_log_slowness = 0;
    std::uint32_t recent_samples = 0;
    /// Run time relative to the mean of the targets.
    double slowness = 1;
    double speed = 1;
    /// Slots that may be used now; set by refresh().
    std::uint32_t effective_limit = 0;

    [[nodiscard]] bool has_free_slot() const { return this->running < this->effective_limit; }
    /// Whether all slots are busy and the agent may prefetch one more task.
    [[nodiscard]] bool can_prefetch() const
    {
        return this->effective_limit == this->info.slots && !this->has_free_slot() &&
               this->running < this->effective_limit + this->info.prefetch_limit;
    }
};

/// Results of a job on other targets. They show whether the job or the target is the likely cause
/// of a failure.
struct failure_evidence
{
    std::uint64_t job = 0;
    bool failed_elsewhere = false;
    bool succeeded_elsewhere = false;
};

class target_pool
{
public:
    target_pool(std::uint64_t seed, std::chrono::milliseconds ramp_up);

    void update(target_info const& info, base::steady_time now);
    void set_available(std::string_view name, bool available, base::steady_time now);
    void remove(std::string_view name);
    /// Returns the index of a target.
    [[nodiscard]] std::optional<std::uint32_t> find(std::string_view name) const;
    /// The same; adds the target if needed. Its slots are unknown, and it gets no tasks, until it
    /// is announced.
    std::uint32_t find_or_add_unannounced(std::string_view name);

    [[nodiscard]] std::optional<std::uint32_t> find_placement(placement_rule const& rule) const;
    /// Sets the rule of an index: either that of a rule to replace, or placement_count() for a new
    /// one.
    void set_placement(std::uint32_t index, placement_rule const& rule);
    /// Whether a registered target meets the rule. If not, unplaceable_since() says since when.
    [[nodiscard]] bool is_placeable(std::uint32_t placement) const;
    [[nodiscard]] base::steady_time unplaceable_since(std::uint32_t placement) const;
    [[nodiscard]] placement_rule const& rule(std::uint32_t placement) const;
    [[nodiscard]] std::size_t placement_count() const { return this->placements.size(); }
    /// Returns the index of a route; adds the route if needed.
    std::uint32_t find_or_add_route(std::string_view name);

    /// Updates the limits that depend on time. Call it before selecting targets.
    void refresh(base::steady_time now);
    [[nodiscard]] std::uint32_t free_slots() const { return this->free_slot_count; }
    /// Returns the target with a free slot on which a task of the placement is expected to end
    /// first.
    [[nodiscard]] std::optional<std::uint32_t> fastest_free(std::uint32_t placement) const;
    /// Returns the fastest target of a placement whose slots are busy and whose agent may prefetch
    /// one more task.
    [[nodiscard]] std::optional<std::uint32_t> fastest_for_prefetch(std::uint32_t placement) const;
    [[nodiscard]] std::uint32_t available_slots() const { return this->available_slot_count; }
    /// Prefetch limits of all targets that may use all of their slots now.
    [[nodiscard]] std::uint32_t prefetch_slots() const { return this->prefetch_slot_count; }
    /// Summarises the busy targets of a placement that are faster than `target`. Targets that count
    /// as equally fast are left out.
    [[nodiscard]] faster_targets faster_than(std::uint32_t placement, std::uint32_t target) const;
    [[nodiscard]] double slowness(std::uint32_t target) const
    {
        return this->targets[target].slowness;
    }
    /// Share of the available capacity in use, averaged over about 30 s.
    [[nodiscard]] double utilisation() const { return this->mean_utilisation; }
    /// Run times of all routes together.
    [[nodiscard]] run_time_distribution const& run_times() const { return this->all_run_times; }
    void started(std::uint32_t target);
    void stopped(std::uint32_t target);
    void succeeded(std::uint32_t target, std::uint32_t route, std::chrono::microseconds run_time,
                   base::steady_time now);
    void failed(std::uint32_t target, failure_evidence const& evidence, base::steady_time now);
    void refused(std::uint32_t target, start_refusal reason, base::steady_time now);

    /// Estimated throughput in tasks per second of the targets in service, from their slot limits,
    /// learnt speeds and run times.
    [[nodiscard]] double tasks_per_second(std::uint32_t placement) const;
    /// Draws from the seeded generator, uniformly in [0, 1).
    double jitter();

    [[nodiscard]] std::string const& name(std::uint32_t target) const;
    [[nodiscard]] std::vector<target_status> statuses() const;

private:
    struct placement_class
    {
        placement_rule rule;
        /// Registered targets that meet the rule.
        std::vector<std::uint32_t> targets;
        base::steady_time unplaceable_since{};
    };
    struct route_record
    {
        std::string name;
        double log_run_time = 0;
        std::uint32_t samples = 0;
    };

    void rebuild_placements(base::steady_time now);
    void update_slowness(target_record& target);
    void update_all_slowness();
    [[nodiscard]] std::uint32_t next_effective_limit(target_record& target, base::steady_time now);
    /// Whether at least half of the pool stays in service if the target is ejected or backed off.
    [[nodiscard]] bool can_eject(std::uint32_t target, base::steady_time now) const;
    [[nodiscard]] double failure_rate_of_others(std::uint32_t target) const;
    void back_off(target_record& target, std::uint32_t doublings, base::steady_time now);
    void begin_ramp_up(target_record& target, base::steady_time now);

    std::mt19937_64 generator;
    std::chrono::milliseconds ramp_up;
    std::vector<target_record> targets;
    std::vector<placement_class> placements;
    std::vector<route_record> routes;
    std::uint32_t next_route = 0;
    run_time_distribution all_run_times;
    double mean_log_slowness = 0;
    std::uint32_t samples_until_update = 1;
    std::uint32_t free_slot_count = 0;
    std::uint32_t prefetch_slot_count = 0;
    std::uint32_t available_slot_count = 0;
    /// Variance of the logarithm of run times that route and target do not explain. The initial
    /// value is that of exponentially distributed run times.
    double noise_variance = 1.6;
    /// Variance of the logarithm of the targets' speeds, without noise_variance.
    double speed_variance = 0;
    double mean_utilisation = 0;
    base::steady_time last_refresh{};
    std::uint64_t start_count = 0;
    base::steady_time latest_change{};
};

} // namespace filbertroad::scheduling::internal

#endif

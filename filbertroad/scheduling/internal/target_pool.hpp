#ifndef FILBERTROAD_SCHEDULING_INTERNAL_TARGET_POOL_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_TARGET_POOL_HPP

/// The targets of a shard: free slots, learnt speed, health, and the choice of a target for the
/// next task. Targets and placement rules are numbered densely; the numbers stay valid until the
/// target is removed.
///
///     target_pool pool(seed, ramp_up);
///     pool.update(info, now);
///     pool.refresh(now);
///     auto target = pool.fastest_free(placement);
///     pool.started(*target);
///
/// Not safe for several threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/scheduling/internal/job_selection.hpp"
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

/// Time after which a limit that was lowered by a refusal rises by one slot.
inline constexpr std::chrono::milliseconds limit_increase_interval{500};

struct target_record
{
    target_info info;
    target_health health;
    bool announced = false;
    bool available = true;
    bool removed = false;
    std::uint32_t running = 0;
    /// Slots in use at most: announced, or fewer after refusals for lack of room.
    std::uint32_t slot_limit = 0;
    base::steady_time next_limit_increase{};
    base::steady_time ramp_start{};
    /// No start before this time, after failed or refused starts.
    base::steady_time backoff_until{};
    /// Number of the latest start; the target that waits longest goes first among equals.
    std::uint64_t last_start_sequence = 0;
    std::uint32_t consecutive_refusals = 0;
    std::uint32_t consecutive_failures = 0;
    /// Weighted share of failed tasks, index of results, and the jobs behind the failures.
    double failure_rate = 0;
    std::uint32_t result_count = 0;
    std::uint64_t first_failed_job = 0;
    bool several_jobs_failed = false;
    /// Mean of the logarithm of run time relative to that of its route.
    double log_slowness = 0;
    std::uint32_t samples = 0;
    /// The same over the last few run times.
    double recent_log_slowness = 0;
    std::uint32_t recent_samples = 0;
    /// Run time relative to the mean target.
    double slowness = 1;
    /// Inverse of slowness.
    double speed = 1;
    /// Slots available now; set by refresh.
    std::uint32_t effective_limit = 0;

    [[nodiscard]] bool has_free_slot() const { return this->running < this->effective_limit; }
    /// All slots are busy and the agent may hold one more start.
    [[nodiscard]] bool can_prefetch() const
    {
        return this->effective_limit == this->info.slots && !this->has_free_slot() &&
               this->running < this->effective_limit + this->info.prefetch_limit;
    }
};

/// Evidence that a job gives about its target.
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
    /// Number of a target by name.
    [[nodiscard]] std::optional<std::uint32_t> find(std::string_view name) const;
    /// The same; adds a closed target of unknown size when there is none.
    std::uint32_t find_or_add_unannounced(std::string_view name);

    [[nodiscard]] std::optional<std::uint32_t> find_placement(placement_rule const& rule) const;
    /// Gives a index to a rule: that of one that is no longer needed, or the next one.
    void set_placement(std::uint32_t index, placement_rule const& rule);
    /// Whether a registered target meets the rule, and if not, since when.
    [[nodiscard]] bool is_placeable(std::uint32_t placement) const;
    [[nodiscard]] base::steady_time unplaceable_since(std::uint32_t placement) const;
    [[nodiscard]] placement_rule const& rule(std::uint32_t placement) const;
    [[nodiscard]] std::size_t placement_count() const { return this->placements.size(); }
    /// Number of a route, or a new one.
    std::uint32_t find_or_add_route(std::string_view name);

    /// Brings limits that depend on time up to date. Call before choosing.
    void refresh(base::steady_time now);
    [[nodiscard]] std::uint32_t free_slots() const { return this->free_slot_count; }
    /// The free target on which a task of the placement is expected to end first.
    [[nodiscard]] std::optional<std::uint32_t> fastest_free(std::uint32_t placement) const;
    /// The fastest target of a placement without a free slot whose agent may hold one more start.
    [[nodiscard]] std::optional<std::uint32_t> fastest_for_prefetch(std::uint32_t placement) const;
    [[nodiscard]] std::uint32_t available_slots() const { return this->available_slot_count; }
    /// Starts that agents may hold now.
    [[nodiscard]] std::uint32_t free_prefetch_slots() const { return this->prefetch_slot_count; }
    /// The busy targets of a placement that are clearly faster than a target.
    [[nodiscard]] faster_targets faster_than(std::uint32_t placement, std::uint32_t target) const;
    [[nodiscard]] double slowness(std::uint32_t target) const
    {
        return this->targets[target].slowness;
    }
    /// Share of the available capacity in use, averaged over about half a minute.
    [[nodiscard]] double utilisation() const { return this->mean_utilisation; }
    /// Run times of all routes together.
    [[nodiscard]] run_time_distribution const& run_times() const { return this->all_run_times; }
    void started(std::uint32_t target);
    void stopped(std::uint32_t target);
    void succeeded(std::uint32_t target, std::uint32_t route, std::chrono::microseconds run_time,
                   base::steady_time now);
    void failed(std::uint32_t target, failure_evidence const& evidence, base::steady_time now);
    void refused(std::uint32_t target, start_refusal reason, base::steady_time now);

    /// Tasks per second that the available slots complete, by learnt speed and run times.
    [[nodiscard]] double tasks_per_second(std::uint32_t placement) const;
    /// Uniform in [0, 1), from the seed.
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
    [[nodiscard]] std::uint32_t current_slot_limit(target_record& target, base::steady_time now);
    /// Whether the target may be ejected or held while at least half of the pool stays in service.
    [[nodiscard]] bool can_eject(std::uint32_t target, base::steady_time now) const;
    [[nodiscard]] double failure_rate_of_others(std::uint32_t target) const;
    void back_off(target_record& target, std::uint32_t times, base::steady_time now);
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
    /// Variance of the logarithm of run times around what route and target explain. Begins at the
    /// value of run times that are spread exponentially.
    double noise_variance = 1.6;
    /// Variance of the logarithm of the targets' speeds, without that noise.
    double speed_variance = 0;
    double mean_utilisation = 0;
    base::steady_time last_refresh{};
    std::uint64_t start_count = 0;
    base::steady_time latest_change{};
};

} // namespace filbertroad::scheduling::internal

#endif

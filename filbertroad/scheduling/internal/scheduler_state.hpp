#ifndef FILBERTROAD_SCHEDULING_INTERNAL_SCHEDULER_STATE_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_SCHEDULER_STATE_HPP

/// State of a scheduler, shared by the source files that implement it. Not safe for several
/// threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/scheduling/internal/admission.hpp"
#include "filbertroad/scheduling/internal/job_store.hpp"
#include "filbertroad/scheduling/internal/target_pool.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace filbertroad::scheduling
{

/// A task that was assigned or adopted and has not ended.
struct running_task
{
    std::uint32_t target = 0;
    internal::team_record* team = nullptr;
    /// Null for a task that was adopted without its job.
    internal::job_record* job = nullptr;
};

struct task_hash
{
    std::size_t operator()(task_id const& task) const
    {
        std::size_t seed = 0;
        boost::hash_combine(seed, task.job);
        boost::hash_combine(seed, task.index);
        return seed;
    }
};

struct scheduler::state
{
    state(std::uint64_t seed, internal::admission_limits const& limits,
          std::chrono::milliseconds unplaceable_timeout, std::chrono::milliseconds ramp_up)
        : targets(seed, ramp_up), limits(limits), unplaceable_timeout(unplaceable_timeout)
    {
    }

    [[nodiscard]] internal::team_record* find_team(std::string_view name);
    /// Returns the record of a team; creates it if needed. The address is stable.
    internal::team_record& find_or_add_team(std::string_view name);
    /// Sets in `request` the queue capacity that is reserved for `team` and for the other teams.
    void add_reservations(internal::team_record const& team,
                          internal::admission_request& request) const;
    /// Returns the index of a placement rule. A new rule may replace one that no job uses.
    [[nodiscard]] std::uint32_t placement_index(placement_rule const& rule);
    /// Describes a job that would join a queue, for the admission check.
    [[nodiscard]] internal::admission_request
    make_admission_request(job_spec const& job, internal::job_queue const& queue,
                           base::steady_time now);
    /// Expected start rate of a queue in tasks per second: its share by weight, bounded by the
    /// quota of its team.
    [[nodiscard]] double tasks_per_second(internal::job_queue const& queue) const;
    /// Removes a running task from its target, team and job; returns nullopt if it is unknown.
    std::optional<running_task> remove_running(task_id const& task);
    /// Returns the queue that starts the next task, or null. Skips queues whose team has reached
    /// its quota, whose placement is blocked, or that were skipped before in this dispatch.
    [[nodiscard]] internal::job_queue* next_queue() const;

    void advance(base::steady_time now) { this->latest_now = std::max(this->latest_now, now); }

    /// Returns the job of the queue that uses a free slot of the target, or null if every job is
    /// better off waiting for a faster target.
    [[nodiscard]] internal::job_record* select_job(internal::job_queue& queue,
                                                   std::uint32_t target);
    /// Whether prefetching is possible and the queue so long that it does not delay the prefetched
    /// task.
    [[nodiscard]] bool can_prefetch() const
    {
        return this->targets.prefetch_slots() > 0 &&
               this->jobs.queued_tasks() > this->targets.available_slots();
    }
    void assign(internal::job_record& job, std::uint32_t target, std::vector<assignment>& out);

    internal::target_pool targets;
    internal::job_store jobs;
    std::vector<std::unique_ptr<internal::team_record>> teams;
    /// False until the first set_teams; until then no team has limits of its own.
    bool teams_configured = false;
    boost::unordered_flat_map<task_id, running_task, task_hash> running;
    internal::admission_limits limits;
    std::chrono::milliseconds unplaceable_timeout;
    /// Latest time that was passed to a call. The age of the oldest job is reported as of this
    /// time.
    base::steady_time latest_now{};
    std::uint64_t assignments = 0;
    std::uint64_t dispatch_count = 0;
    /// By placement: whether no target was found for it in this dispatch.
    std::vector<char> blocked_placements;
};

} // namespace filbertroad::scheduling

#endif

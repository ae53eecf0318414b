#include "filbertroad/scheduling/scheduler.hpp"

#include "filbertroad/scheduling/internal/scheduler_state.hpp"

#include <algorithm>

namespace filbertroad::scheduling
{
namespace
{

/// Whether the next task of `a` starts before that of `b`. Within a team the order of the jobs
/// decides. Between teams, the team with fewer running tasks per weight goes first, and among
/// equals the least recently served one.
bool starts_before(internal::job_queue const& a, internal::job_queue const& b)
{
    if (a.team == b.team)
    {
        return internal::by_order_key{}(*a.jobs.begin(), *b.jobs.begin());
    }
    auto const used_a = std::uint64_t{a.team->running} * b.team->weight;
    auto const used_b = std::uint64_t{b.team->running} * a.team->weight;
    return used_a != used_b ? used_a < used_b : a.team->last_served < b.team->last_served;
}

} // namespace

scheduler::scheduler(std::unique_ptr<state> impl) : impl(std::move(impl)) {}
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;
scheduler::~scheduler() = default;

void scheduler::update_target(target_info const& target, base::steady_time now)
{
    this->impl->advance(now);
    this->impl->targets.update(target, now);
}

void scheduler::set_target_available(std::string_view target, bool available, base::steady_time now)
{
    this->impl->advance(now);
    this->impl->targets.set_available(target, available, now);
}

void scheduler::remove_target(std::string_view target, base::steady_time now)
{
    this->impl->advance(now);
    this->impl->targets.remove(target);
}

void scheduler::set_teams(std::span<team_limits const> teams)
{
    this->impl->teams_configured = true;
    for (auto& team : this->impl->teams)
    {
        team->configured = false;
    }
    for (auto const& limits : teams)
    {
        auto& team = this->impl->find_or_add_team(limits.name);
        team.weight = std::max(1U, limits.weight);
        team.max_running = limits.max_running;
        team.max_queued = limits.max_queued;
        team.configured = true;
    }
}

std::vector<std::uint32_t> scheduler::cancel_job(std::uint64_t job)
{
    auto* const record = this->impl->jobs.find(job);
    if (record == nullptr)
    {
        return {};
    }
    auto tasks = this->impl->jobs.dequeue_all(*record);
    this->impl->jobs.erase_if_finished(*record);
    return tasks;
}

void scheduler::dispatch(base::steady_time now, std::vector<assignment>& out)
{
    auto& state = *this->impl;
    state.advance(now);
    if (state.jobs.queued_tasks() == 0)
    {
        return;
    }
    state.targets.refresh(now);
    ++state.dispatch_count;
    state.blocked_placements.assign(state.targets.placement_count(), 0);
    while (state.targets.free_slots() > 0 || state.can_prefetch())
    {
        auto* const queue = state.next_queue();
        if (queue == nullptr)
        {
            return;
        }
        auto target = state.targets.fastest_free(queue->placement);
        if (!target && state.can_prefetch())
        {
            target = state.targets.fastest_for_prefetch(queue->placement);
        }
        if (!target)
        {
            state.blocked_placements[queue->placement] = 1;
            continue;
        }
        auto* const job = state.select_job(*queue, *target);
        if (job == nullptr)
        {
            queue->skipped_in = state.dispatch_count;
            continue;
        }
        state.assign(*job, *target, out);
    }
}

void scheduler::expire(base::steady_time now, std::vector<rejection>& out)
{
    auto& state = *this->impl;
    state.advance(now);
    auto const reject = [&](internal::job_record& job, std::string const& reason)
    {
        for (auto const index : state.jobs.dequeue_all(job))
        {
            out.push_back({{job.job, index}, reason});
        }
        state.jobs.erase_if_finished(job);
    };
    while (auto* const job = state.jobs.first_past_deadline(now))
    {
        reject(*job, "deadline passed before the task started");
    }
    auto const queues = state.jobs.active_queues();
    for (auto* const queue : queues)
    {
        bool const team_without_quota = !queue->team->configured;
        if (!team_without_quota && state.targets.is_placeable(queue->placement))
        {
            continue;
        }
        auto const since = team_without_quota ? base::steady_time::min()
                                              : state.targets.unplaceable_since(queue->placement);
        std::vector<internal::job_record*> expired;
        for (auto& job : queue->jobs)
        {
            if (team_without_quota ||
                now - std::max(since, job.arrival) >= state.unplaceable_timeout)
            {
                expired.push_back(&job);
            }
        }
        for (auto* const job : expired)
        {
            reject(*job, team_without_quota ? "team " + queue->team->name + " has no quota"
                                            : "no registered target meets the placement rule");
        }
    }
}

queue_status scheduler::queue() const
{
    auto const& state = *this->impl;
    auto const* const oldest = state.jobs.oldest();
    auto const age =
        oldest == nullptr ? base::steady_time::duration{} : state.latest_now - oldest->arrival;
    return {.queued = state.jobs.queued_tasks(),
            .running = static_cast<std::uint32_t>(state.running.size()),
            .oldest_age = std::chrono::duration_cast<std::chrono::milliseconds>(age)};
}

std::vector<target_status> scheduler::targets() const
{
    return this->impl->targets.statuses();
}

internal::job_queue* scheduler::state::next_queue() const
{
    internal::job_queue* best = nullptr;
    for (auto* const queue : this->jobs.active_queues())
    {
        auto const& team = *queue->team;
        if (!team.configured || team.running >= team.max_running ||
            this->blocked_placements[queue->placement] != 0 ||
            queue->skipped_in == this->dispatch_count)
        {
            continue;
        }
        if (best == nullptr || starts_before(*queue, *best))
        {
            best = queue;
        }
    }
    return best;
}

internal::job_record* scheduler::state::select_job(internal::job_queue& queue, std::uint32_t target)
{
    auto const faster = this->targets.faster_than(queue.placement, target);
    if (faster.rate <= 0)
    {
        return &*queue.jobs.begin();
    }
    return internal::select_job_for_slow_slot(
        queue,
        {this->targets.slowness(target), faster,
         static_cast<std::uint32_t>(this->jobs.active_queues().size()),
         this->targets.utilisation()},
        this->targets.run_times());
}

void scheduler::state::assign(internal::job_record& job, std::uint32_t target,
                              std::vector<assignment>& out)
{
    auto& team = *job.queue->team;
    task_id const task{job.job, this->jobs.dequeue(job)};
    ++job.running;
    ++team.running;
    team.last_served = ++this->assignments;
    this->targets.started(target);
    this->running[task] = {target, &team, &job};
    out.push_back({task, this->targets.name(target)});
}

scheduler::builder::builder() = default;

scheduler::builder& scheduler::builder::seed(std::uint64_t value)
{
    this->seed_value = value;
    return *this;
}

scheduler::builder& scheduler::builder::max_queued_tasks(std::uint32_t value)
{
    this->max_queued_tasks_value = value;
    return *this;
}

scheduler::builder& scheduler::builder::max_queued_bytes(std::size_t value)
{
    this->max_queued_bytes_value = value;
    return *this;
}

scheduler::builder& scheduler::builder::unplaceable_timeout(std::chrono::milliseconds value)
{
    this->unplaceable_timeout_value = value;
    return *this;
}

scheduler::builder& scheduler::builder::ramp_up(std::chrono::milliseconds value)
{
    this->ramp_up_value = value;
    return *this;
}

scheduler scheduler::builder::build() const
{
    return scheduler(std::make_unique<state>(
        this->seed_value,
        internal::admission_limits{this->max_queued_tasks_value, this->max_queued_bytes_value},
        this->unplaceable_timeout_value, this->ramp_up_value));
}

} // namespace filbertroad::scheduling

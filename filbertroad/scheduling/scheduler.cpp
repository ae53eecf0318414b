#include "filbertroad/scheduling/scheduler.hpp"

#include "filbertroad/scheduling/internal/scheduler_state.hpp"

#include <algorithm>

namespace filbertroad::scheduling
{
namespace
{

/// Whether the next task of `a` starts before that of `b`: the team that uses less of its weight
/// first, then the team served longest ago; within a team by the order of jobs.
bool goes_first(internal::lane const& a, internal::lane const& b)
{
    if (a.team == b.team)
    {
        return internal::by_order{}(*a.jobs.begin(), *b.jobs.begin());
    }
    auto const used_a = std::uint64_t{a.team->running} * b.team->weight;
    auto const used_b = std::uint64_t{b.team->running} * a.team->weight;
    return used_a != used_b ? used_a < used_b : a.team->last_served < b.team->last_served;
}

} // namespace

scheduler::scheduler(std::unique_ptr<state> content) : content(std::move(content)) {}
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;
scheduler::~scheduler() = default;

void scheduler::update_target(target_info const& target, base::steady_time now)
{
    this->content->advance(now);
    this->content->targets.update(target, now);
}

void scheduler::set_target_open(std::string_view target, bool open, base::steady_time now)
{
    this->content->advance(now);
    this->content->targets.set_open(target, open, now);
}

void scheduler::remove_target(std::string_view target, base::steady_time now)
{
    this->content->advance(now);
    this->content->targets.remove(target);
}

void scheduler::set_teams(std::span<team_limits const> teams)
{
    this->content->teams_configured = true;
    for (auto& known : this->content->teams)
    {
        known->configured = false;
    }
    for (auto const& limits : teams)
    {
        auto& known = this->content->team(limits.name);
        known.weight = std::max(1U, limits.weight);
        known.max_running = limits.max_running;
        known.max_queued = limits.max_queued;
        known.configured = true;
    }
}

std::vector<std::uint32_t> scheduler::cancel_job(std::uint64_t job)
{
    auto* const record = this->content->jobs.find(job);
    if (record == nullptr)
    {
        return {};
    }
    auto tasks = this->content->jobs.take_all(*record);
    this->content->jobs.forget_if_done(*record);
    return tasks;
}

void scheduler::dispatch(base::steady_time now, std::vector<assignment>& out)
{
    auto& state = *this->content;
    state.advance(now);
    if (state.jobs.queued_tasks() == 0)
    {
        return;
    }
    state.targets.refresh(now);
    ++state.dispatches;
    state.blocked.assign(state.targets.placements_count(), 0);
    while (state.targets.free_slots() > 0 || state.may_hold())
    {
        auto* const lane = state.next_lane();
        if (lane == nullptr)
        {
            return;
        }
        auto target = state.targets.fastest_free(lane->placement);
        if (!target && state.may_hold())
        {
            target = state.targets.fastest_to_hold(lane->placement);
        }
        if (!target)
        {
            state.blocked[lane->placement] = 1;
            continue;
        }
        auto* const job = state.job_for(*lane, *target);
        if (job == nullptr)
        {
            lane->waits_in = state.dispatches;
            continue;
        }
        state.assign(*job, *target, out);
    }
}

void scheduler::expire(base::steady_time now, std::vector<rejection>& out)
{
    auto& state = *this->content;
    state.advance(now);
    auto const reject = [&](internal::job_record& job, std::string const& reason)
    {
        for (auto const index : state.jobs.take_all(job))
        {
            out.push_back({{job.job, index}, reason});
        }
        state.jobs.forget_if_done(job);
    };
    while (auto* const job = state.jobs.overdue(now))
    {
        reject(*job, "deadline passed before the task started");
    }
    auto const lanes = state.jobs.active_lanes();
    for (auto* const lane : lanes)
    {
        bool const no_team = !lane->team->configured;
        if (!no_team && state.targets.is_placeable(lane->placement))
        {
            continue;
        }
        auto const since =
            no_team ? base::steady_time::min() : state.targets.unplaceable_since(lane->placement);
        std::vector<internal::job_record*> expired;
        for (auto& job : lane->jobs)
        {
            if (no_team || now - std::max(since, job.arrival) >= state.unplaceable_timeout)
            {
                expired.push_back(&job);
            }
        }
        for (auto* const job : expired)
        {
            reject(*job, no_team ? "team " + lane->team->name + " has no quota"
                                 : "no registered target meets the placement rule");
        }
    }
}

queue_view scheduler::queue() const
{
    auto const& state = *this->content;
    auto const* const oldest = state.jobs.oldest();
    auto const age =
        oldest == nullptr ? base::steady_time::duration{} : state.last_time - oldest->arrival;
    return {.queued = state.jobs.queued_tasks(),
            .running = static_cast<std::uint32_t>(state.running.size()),
            .oldest = std::chrono::duration_cast<std::chrono::milliseconds>(age)};
}

std::vector<target_view> scheduler::targets() const
{
    return this->content->targets.views();
}

internal::lane* scheduler::state::next_lane() const
{
    internal::lane* best = nullptr;
    for (auto* const lane : this->jobs.active_lanes())
    {
        auto const& team = *lane->team;
        if (!team.configured || team.running >= team.max_running ||
            this->blocked[lane->placement] != 0 || lane->waits_in == this->dispatches)
        {
            continue;
        }
        if (best == nullptr || goes_first(*lane, *best))
        {
            best = lane;
        }
    }
    return best;
}

internal::job_record* scheduler::state::job_for(internal::lane& lane, std::uint32_t target)
{
    auto const faster = this->targets.faster_than(lane.placement, target);
    if (faster.rate <= 0)
    {
        return &*lane.jobs.begin();
    }
    return internal::choose_for_slow_slot(
        lane,
        {this->targets.slowness(target), faster,
         static_cast<std::uint32_t>(this->jobs.active_lanes().size()), this->targets.utilisation()},
        this->targets.run_times());
}

void scheduler::state::assign(internal::job_record& job, std::uint32_t target,
                              std::vector<assignment>& out)
{
    auto& team = *job.in_lane->team;
    task_id const task{job.job, this->jobs.take(job)};
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

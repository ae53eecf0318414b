#include "filbertroad/scheduling/internal/scheduler_state.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertroad::scheduling
{
namespace
{

/// From this many placement rules on, one that no job uses is replaced by a new one. Operators
/// change routes many times a day.
constexpr std::uint32_t max_unused_placements = 64;

} // namespace

base::result<void, admission_error> scheduler::admit(job_entry const& job, base::steady_time now)
{
    auto& state = *this->content;
    state.advance(now);
    auto const* const known = state.jobs.find(job.job);
    if (job.tasks.empty() || (known != nullptr && !known->tasks.empty()))
    {
        return base::success();
    }
    auto const* const configured = state.find_team(job.team);
    if (state.teams_configured && (configured == nullptr || !configured->configured))
    {
        // No record is made: names in requests must not use up memory.
        return internal::refuse_unknown_team(job.team, state.targets.jitter());
    }
    auto& team = state.team(job.team);
    auto& lane = state.jobs.lane_of(team, state.placement(job.placement));
    auto const request = state.make_request(job, lane, now);
    if (auto refusal = internal::check_admission(request, state.limits))
    {
        return *std::move(refusal);
    }
    auto& record = state.jobs.record(job.job, lane);
    record.arrival = now;
    record.bytes = job.bytes;
    record.route = state.targets.route(job.route);
    record.start_before = job.deadline.count() > 0 ? now + job.deadline : base::steady_time::max();
    state.jobs.enqueue(record, job.tasks);
    return base::success();
}

internal::admission_request scheduler::state::make_request(job_entry const& job,
                                                           internal::lane const& lane,
                                                           base::steady_time now)
{
    auto const& team = *lane.team;
    auto const tasks = static_cast<std::uint32_t>(job.tasks.size());
    internal::admission_request request{
        .tasks = tasks,
        .bytes = job.bytes,
        .deadline = job.deadline,
        .queued_tasks = this->jobs.queued_tasks(),
        .queued_bytes = this->jobs.queued_bytes(),
        .own = {},
        .unused_of_others = {},
        .team = job.team,
        .team_queued = team.queued,
        .team_queued_bytes = team.queued_bytes,
        .team_max_queued = team.max_queued,
        .tasks_ahead =
            internal::job_store::tasks_before(lane, now + internal::ageing_per_task * tasks) +
            tasks,
        .tasks_per_second = this->tasks_per_second(lane),
        .jitter = this->targets.jitter(),
    };
    this->add_reserves(team, request);
    return request;
}

double scheduler::state::tasks_per_second(internal::lane const& lane) const
{
    double weights = lane.active_position == internal::no_index ? lane.team->weight : 0;
    for (auto const* const other : this->jobs.active_lanes())
    {
        weights += other->team->weight;
    }
    auto const share = this->targets.tasks_per_second(lane.placement) * lane.team->weight / weights;
    return std::min(share, lane.team->max_running / this->targets.run_times().mean());
}

void scheduler::state::add_reserves(internal::team_record const& team,
                                    internal::admission_request& request) const
{
    if (!this->teams_configured)
    {
        return;
    }
    std::uint64_t weights = 0;
    for (auto const& other : this->teams)
    {
        weights += other->configured ? other->weight : 0;
    }
    for (auto const& other : this->teams)
    {
        if (!other->configured)
        {
            continue;
        }
        auto const reserve = internal::reserve_of(other->weight, weights, this->limits);
        if (other.get() == &team)
        {
            request.own = reserve;
            continue;
        }
        request.unused_of_others.tasks +=
            reserve.tasks - std::min<std::uint64_t>(reserve.tasks, other->queued);
        request.unused_of_others.bytes +=
            reserve.bytes - std::min<std::uint64_t>(reserve.bytes, other->queued_bytes);
    }
}

internal::team_record* scheduler::state::find_team(std::string_view name)
{
    auto const found = std::find_if(this->teams.begin(), this->teams.end(),
                                    [&](auto const& team) { return team->name == name; });
    return found == this->teams.end() ? nullptr : found->get();
}

internal::team_record& scheduler::state::team(std::string_view name)
{
    if (auto* const found = this->find_team(name))
    {
        return *found;
    }
    auto& created = *this->teams.emplace_back(std::make_unique<internal::team_record>());
    created.name = name;
    created.configured = !this->teams_configured;
    created.max_running = std::numeric_limits<std::uint32_t>::max();
    created.max_queued = std::numeric_limits<std::uint32_t>::max();
    return created;
}

std::uint32_t scheduler::state::placement(placement_rule const& rule)
{
    if (auto const found = this->targets.find_placement(rule))
    {
        return *found;
    }
    auto const count = static_cast<std::uint32_t>(this->targets.placements_count());
    std::uint32_t number = count < max_unused_placements ? count : 0;
    while (number < count && this->jobs.uses(number))
    {
        ++number;
    }
    this->targets.set_placement(number, rule);
    return number;
}

} // namespace filbertroad::scheduling

#include "filbertroad/scheduling/internal/scheduler_state.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertroad::scheduling
{
namespace
{

/// From this number of placement rules on, a new rule replaces one that no job uses. Operators
/// change routes many times a day.
constexpr std::uint32_t placement_reuse_threshold = 64;

} // namespace

base::result<void, admission_error> scheduler::admit(job_spec const& job, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto const* const known = state.jobs.find(job.job);
    if (job.tasks.empty() || (known != nullptr && !known->tasks.empty()))
    {
        return base::success();
    }
    auto const* const configured = state.find_team(job.team);
    if (state.teams_configured && (configured == nullptr || !configured->configured))
    {
        // Creates no record: arbitrary team names in requests must not use up memory.
        return internal::refuse_unknown_team(job.team, state.targets.jitter());
    }
    auto& team = state.find_or_add_team(job.team);
    auto& queue = state.jobs.queue_of(team, state.placement_index(job.placement));
    auto const request = state.make_admission_request(job, queue, now);
    if (auto refusal = internal::check_admission(request, state.limits))
    {
        return *std::move(refusal);
    }
    auto& record = state.jobs.find_or_create(job.job, queue);
    record.arrival = now;
    record.bytes = job.bytes;
    record.route = state.targets.find_or_add_route(job.route);
    record.start_before = job.deadline.count() > 0 ? now + job.deadline : base::steady_time::max();
    state.jobs.enqueue(record, job.tasks);
    return base::success();
}

internal::admission_request
scheduler::state::make_admission_request(job_spec const& job, internal::job_queue const& queue,
                                         base::steady_time now)
{
    auto const& team = *queue.team;
    auto const tasks = static_cast<std::uint32_t>(job.tasks.size());
    internal::admission_request request{
        .tasks = tasks,
        .bytes = job.bytes,
        .deadline = job.deadline,
        .queued_tasks = this->jobs.queued_tasks(),
        .queued_bytes = this->jobs.queued_bytes(),
        .team_reservation = {},
        .others_unused_reservation = {},
        .team = job.team,
        .team_queued = team.queued,
        .team_queued_bytes = team.queued_bytes,
        .team_max_queued = team.max_queued,
        .tasks_ahead = internal::job_store::estimate_tasks_before(
                           queue, now + internal::order_penalty_per_task * tasks) +
                       tasks,
        .tasks_per_second = this->tasks_per_second(queue),
        .jitter = this->targets.jitter(),
    };
    this->add_reservations(team, request);
    return request;
}

double scheduler::state::tasks_per_second(internal::job_queue const& queue) const
{
    double weights = queue.active_index == internal::no_index ? queue.team->weight : 0;
    for (auto const* const other : this->jobs.active_queues())
    {
        weights += other->team->weight;
    }
    auto const share =
        this->targets.tasks_per_second(queue.placement) * queue.team->weight / weights;
    return std::min(share, queue.team->max_running / this->targets.run_times().mean());
}

void scheduler::state::add_reservations(internal::team_record const& team,
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
        auto const reservation = internal::reservation_for(other->weight, weights, this->limits);
        if (other.get() == &team)
        {
            request.team_reservation = reservation;
            continue;
        }
        request.others_unused_reservation.tasks +=
            reservation.tasks - std::min<std::uint64_t>(reservation.tasks, other->queued);
        request.others_unused_reservation.bytes +=
            reservation.bytes - std::min<std::uint64_t>(reservation.bytes, other->queued_bytes);
    }
}

internal::team_record* scheduler::state::find_team(std::string_view name)
{
    auto const found = std::find_if(this->teams.begin(), this->teams.end(),
                                    [&](auto const& team) { return team->name == name; });
    return found == this->teams.end() ? nullptr : found->get();
}

internal::team_record& scheduler::state::find_or_add_team(std::string_view name)
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

std::uint32_t scheduler::state::placement_index(placement_rule const& rule)
{
    if (auto const found = this->targets.find_placement(rule))
    {
        return *found;
    }
    auto const count = static_cast<std::uint32_t>(this->targets.placement_count());
    std::uint32_t index = count < placement_reuse_threshold ? count : 0;
    while (index < count && this->jobs.is_placement_used(index))
    {
        ++index;
    }
    this->targets.set_placement(index, rule);
    return index;
}

} // namespace filbertroad::scheduling

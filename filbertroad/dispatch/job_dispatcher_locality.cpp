/// Placement of tasks that run faster on a rack.

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include "filbertroad/dispatch/internal/elapsed.hpp"

#include <algorithm>

namespace filbertroad::dispatch
{

std::optional<job_dispatcher::placement>
job_dispatcher::choose_near_or_far(job const& parent_job, task const& item,
                                   std::string const& avoided, target_filter filter) const
{
    filter.rack = filter.constraints.near_rack;
    filter.rule = target_filter::rack_rule::on_rack;
    auto near = this->choose_target(parent_job, item, avoided, &filter);
    if (near)
    {
        bool const is_queued = near->wait > milliseconds(0);
        near->place = is_queued ? task_place::near_queue : task_place::near;
    }
    filter.rule = target_filter::rack_rule::off_rack;
    filter.run_factor *= this->limits.far_factor;
    auto far = this->choose_target(parent_job, item, avoided, &filter);
    if (far)
    {
        far->place = task_place::far;
    }
    if (!near || !far)
    {
        return near ? near : far;
    }
    if (near->is_last_resort != far->is_last_resort)
    {
        return near->is_last_resort ? far : near;
    }
    return this->decide_wait(parent_job, item, *near, *far);
}

job_dispatcher::placement job_dispatcher::decide_wait(job const& parent_job, task const& item,
                                                      placement const& near,
                                                      placement const& far) const
{
    if (this->limits.fixed_near_wait)
    {
        auto waiting = near;
        waiting.longest_wait = *this->limits.fixed_near_wait;
        bool const waits =
            near.wait == milliseconds(0) ||
            (item.near_waits == 0 && *this->limits.fixed_near_wait > milliseconds(0));
        return waits ? waiting : far;
    }
    auto const caller = this->times_of(parent_job);
    internal::place_option const near_option{near.wait, near.run, milliseconds(0)};
    internal::place_option const far_option{
        far.wait, far.run, far.run - internal::scaled(far.run, 1 / this->limits.far_factor)};
    bool const may_wait = item.near_waits < this->limits.max_near_waits;
    if (near.wait > milliseconds(0) && !may_wait && internal::lateness(far_option, caller) < 2)
    {
        return far;
    }
    auto const& resources = parent_job.request.steps[item.step].resources;
    auto const& status = this->agents.find(*far.agent)->second.status();
    auto const load = this->rack_load(status.service, &status.labels.rack, resources);
    auto const price = this->limits.extra_work_weight * internal::waiting_per_extra_run(load);
    auto const decision = internal::choose_locality(near_option, far_option, caller, price);
    if (!decision.use_near)
    {
        return far;
    }
    auto chosen = near;
    // A wait much longer than expected shows that the expectation was wrong, and check_task() takes
    // the target for stalled later.
    auto const longest =
        internal::scaled(near.wait, this->limits.stall_factor) + this->limits.stall_slack;
    chosen.longest_wait = std::min(decision.longest_wait, longest);
    return chosen;
}

internal::caller_times job_dispatcher::times_of(job const& parent_job) const
{
    auto const now = this->clock.steady_now();
    auto const round_trip = this->limits.round_trip_time;
    return {internal::elapsed(now, parent_job.arrived + parent_job.objective) - round_trip,
            internal::elapsed(now, parent_job.latest_end(true)) - round_trip,
            internal::elapsed(now, parent_job.latest_end(false)) - round_trip};
}

internal::pool_load job_dispatcher::rack_load(std::string const& service, std::string const* rack,
                                              model::resources const& resources) const
{
    auto const now = this->clock.steady_now();
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (auto const& [name, view] : this->agents)
    {
        auto const& status = view.status();
        if (!view.accepts_starts(now) || status.service != service ||
            (rack != nullptr && status.labels.rack != *rack))
        {
            continue;
        }
        bool const has_queue = std::any_of(status.queued_work.begin(), status.queued_work.end(),
                                           [](double work) { return work > 0; });
        capacity += status.capacity.cpu;
        used += has_queue ? status.capacity.cpu : status.capacity.cpu - status.free.cpu;
    }
    auto const total = static_cast<double>(std::max<std::int64_t>(capacity, 1));
    auto const task_cpu = static_cast<double>(std::max<std::int64_t>(resources.cpu, 1));
    return {static_cast<double>(used) / total, total / task_cpu};
}

} // namespace filbertroad::dispatch

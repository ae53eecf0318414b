/// Placement of tasks whose step has constraints.

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"

#include <algorithm>

namespace filbertroad::dispatch
{

bool job_dispatcher::target_filter::permits(std::string_view agent,
                                            target_labels const& labels) const
{
    bool const is_on_rack = labels.rack == this->rack;
    bool const is_wrong_rack = (this->rule == rack_rule::on_rack && !is_on_rack) ||
                               (this->rule == rack_rule::off_rack && is_on_rack);
    if (is_wrong_rack || !this->constraints.accepts(labels))
    {
        return false;
    }
    if (this->occupied == nullptr)
    {
        return true;
    }
    auto const found = this->occupied->find(agent);
    return found == this->occupied->end() || found->second < this->constraints.max_per_target;
}

bool job_dispatcher::is_constrained(job const& parent_job, task const& item)
{
    return parent_job.request.steps[item.step].constraints.has_value();
}

std::optional<job_dispatcher::placement>
job_dispatcher::choose_constrained(job const& parent_job, task const& item,
                                   std::string const& avoided) const
{
    auto const& constraints = *parent_job.request.steps[item.step].constraints;
    target_filter filter{constraints};
    if (constraints.max_per_target != 0)
    {
        filter.occupied = &parent_job.steps[item.step].occupied;
    }
    if (constraints.same_rack)
    {
        return this->choose_in_group(parent_job, item, avoided, filter);
    }
    return constraints.near_rack.empty()
               ? this->choose_target(parent_job, item, avoided, &filter)
               : this->choose_near_or_far(parent_job, item, avoided, filter);
}

std::string job_dispatcher::unplaceable_reason(job const& parent_job) const
{
    // Targets whose agents have not linked yet may have the label.
    if (this->clock.steady_now() - this->started < this->limits.agent_discovery_time)
    {
        return {};
    }
    for (auto const& step : parent_job.request.steps)
    {
        auto reason = step.constraints ? this->unplaceable_reason(parent_job, step) : std::string();
        if (!reason.empty())
        {
            return reason;
        }
    }
    return {};
}

std::string job_dispatcher::unplaceable_reason(job const& parent_job, job_step const& step) const
{
    std::size_t known = 0;
    std::size_t labelled = 0;
    std::uint64_t large_enough = 0;
    for (auto const& [name, view] : this->agents)
    {
        if (view.status().service != parent_job.request.service)
        {
            continue;
        }
        ++known;
        bool const is_labelled = step.constraints->accepts(view.status().labels);
        labelled += is_labelled ? 1 : 0;
        large_enough += is_labelled && view.status().capacity.can_fit(step.resources) ? 1 : 0;
    }
    if (known == 0)
    {
        return {};
    }
    if (labelled == 0)
    {
        return "no known target has the required label " + step.constraints->required_labels[0];
    }
    if (large_enough == 0)
    {
        return "no known target with the required label has the capacity";
    }
    auto const limit = step.constraints->max_per_target;
    return limit != 0 && limit * large_enough < step.count
               ? "the tasks of a step exceed anti-affinity times the known targets"
               : std::string();
}

} // namespace filbertroad::dispatch

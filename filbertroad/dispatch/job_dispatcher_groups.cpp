/// Placement of steps whose tasks run faster together on one rack.

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include "filbertroad/dispatch/internal/rack_choice.hpp"

#include <algorithm>
#include <limits>

namespace filbertroad::dispatch
{
namespace
{

using offers_by_rack = std::map<std::string_view, std::vector<internal::target_offer>>;

/// Number of runs with `part` that fit into `whole`.
std::uint32_t count_of(model::resources const& whole, model::resources const& part)
{
    auto count = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    for (auto const& [available, needed] : {std::pair{whole.cpu, part.cpu},
                                            {whole.memory_mb, part.memory_mb},
                                            {whole.accelerators, part.accelerators}})
    {
        count = needed > 0 ? std::min(count, available / needed) : count;
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

internal::target_offer make_offer(internal::agent_view const& view, job_step const& step,
                                  std::uint32_t priority)
{
    auto const limit = step.constraints->max_per_target;
    auto const most = limit == 0 ? std::numeric_limits<std::uint32_t>::max() : limit;
    internal::target_offer offer;
    offer.total = std::min(count_of(view.status().capacity, step.resources), most);
    offer.wait = view.expected_wait(step.resources, priority);
    offer.run = view.expected_run(step.estimate);
    if (offer.wait == milliseconds(0))
    {
        offer.free =
            std::min(offer.total, static_cast<std::uint32_t>(view.spare_starts(step.resources)));
    }
    return offer;
}

/// The last end, split into the run time of the first task to end and the rest as its wait.
std::optional<internal::place_option> option_of(std::vector<internal::target_offer> const& offers,
                                                std::uint32_t count)
{
    auto const end = internal::last_end(offers, count);
    auto const run = internal::last_end(offers, 1);
    return end ? std::optional(internal::place_option{*end - *run, *run, milliseconds(0)})
               : std::nullopt;
}

} // namespace

void job_dispatcher::place_groups(job& parent_job) const
{
    auto const& waiting = parent_job.waiting;
    for (auto next = waiting.first_from(0); next;)
    {
        ++this->visits.tasks;
        auto const& item = parent_job.tasks[*next];
        auto const& step = parent_job.request.steps[item.step];
        bool const is_group = step.constraints && step.constraints->same_rack;
        if (is_group && parent_job.steps[item.step].placed == 0)
        {
            parent_job.racks[item.step] = this->choose_rack(parent_job, step);
        }
        next = waiting.first_from(parent_job.end_of_step(item));
    }
}

std::string job_dispatcher::choose_rack(job const& parent_job, job_step const& step) const
{
    auto const now = this->clock.steady_now();
    offers_by_rack racks;
    std::vector<internal::target_offer> spread;
    this->visits.targets += this->agents.size();
    for (auto const& [name, view] : this->agents)
    {
        auto const& status = view.status();
        bool const is_usable = view.accepts_starts(now) && !view.is_ejected(now) &&
                               status.service == parent_job.request.service &&
                               status.capacity.can_fit(step.resources) &&
                               step.constraints->accepts(status.labels);
        if (!is_usable)
        {
            continue;
        }
        auto offer = make_offer(view, step, parent_job.request.priority);
        auto const& near_rack = step.constraints->near_rack;
        bool const is_far = !near_rack.empty() && status.labels.rack != near_rack;
        offer.run = internal::scaled(offer.run, is_far ? this->limits.far_factor : 1);
        if (!status.labels.rack.empty())
        {
            racks[status.labels.rack].push_back(offer);
        }
        offer.run = internal::scaled(offer.run, this->limits.far_factor);
        spread.push_back(offer);
    }
    std::string_view best;
    std::optional<internal::place_option> on_rack;
    for (auto const& [rack, offers] : racks)
    {
        auto const option = option_of(offers, step.count);
        if (option && (!on_rack || option->end() < on_rack->end()))
        {
            best = rack;
            on_rack = option;
        }
    }
    auto spread_option = option_of(spread, step.count);
    if (!on_rack || !spread_option)
    {
        return std::string(best);
    }
    spread_option->extra =
        spread_option->run - internal::scaled(spread_option->run, 1 / this->limits.far_factor);
    auto const price = this->limits.extra_work_weight *
                       internal::waiting_per_extra_run(
                           this->rack_load(parent_job.request.service, nullptr, step.resources));
    auto const decision =
        internal::choose_locality(*on_rack, *spread_option, this->times_of(parent_job), price);
    return decision.use_near ? std::string(best) : std::string();
}

std::optional<job_dispatcher::placement> job_dispatcher::choose_in_group(job const& parent_job,
                                                                         task const& item,
                                                                         std::string const& avoided,
                                                                         target_filter filter) const
{
    auto const& near_rack = filter.constraints.near_rack;
    auto const found = parent_job.racks.find(item.step);
    if (found != parent_job.racks.end() && !found->second.empty())
    {
        auto on_rack = filter;
        on_rack.rule = target_filter::rack_rule::on_rack;
        on_rack.rack = found->second;
        bool const is_far = !near_rack.empty() && near_rack != found->second;
        on_rack.run_factor = is_far ? this->limits.far_factor : 1;
        if (auto chosen = this->choose_target(parent_job, item, avoided, &on_rack))
        {
            bool const is_queued = chosen->wait > milliseconds(0);
            chosen->place = is_queued ? task_place::near_queue : task_place::near;
            return chosen;
        }
    }
    filter.run_factor = this->limits.far_factor;
    auto chosen = near_rack.empty() ? this->choose_target(parent_job, item, avoided, &filter)
                                    : this->choose_near_or_far(parent_job, item, avoided, filter);
    if (chosen)
    {
        chosen->place = task_place::far;
        chosen->longest_wait = milliseconds(0);
    }
    return chosen;
}

} // namespace filbertroad::dispatch

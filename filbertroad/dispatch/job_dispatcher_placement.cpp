#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include "filbertroad/dispatch/internal/elapsed.hpp"

#include "filbertroad/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace filbertroad::dispatch
{
namespace
{

/// Queue timeout of a start that may wait. Less would mean that it must start immediately.
constexpr milliseconds min_queue_timeout{1};

/// Targets whose run times differ by less than this factor count as equally fast.
constexpr double equal_speed_factor = 1.4;

/// Pseudo-random number in (0, 1] that differs by job and agent.
double draw(std::string_view job_key, std::string_view agent)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return (static_cast<double>(base::hash64(agent, base::hash64(job_key))) + 1) / (range + 1);
}

} // namespace

bool job_dispatcher::are_most_agents_ejected(base::steady_time now) const
{
    std::size_t accepting = 0;
    std::size_t ejected = 0;
    for (auto const& [name, view] : this->agents)
    {
        accepting += view.accepts_starts(now) ? 1 : 0;
        ejected += view.accepts_starts(now) && view.is_ejected(now) ? 1 : 0;
    }
    return ejected * 2 > accepting;
}

job_dispatcher::placement_rank
job_dispatcher::rank(job const& parent_job, placement const& candidate, base::steady_time now) const
{
    auto const end = now + candidate.wait + candidate.run + this->limits.round_trip_time;
    bool const is_immediate = candidate.wait == milliseconds(0);
    auto const objective_end = parent_job.arrived + parent_job.objective;
    if (is_immediate && end <= objective_end - this->limits.objective_margin)
    {
        return placement_rank::immediate;
    }
    if (end <= objective_end)
    {
        return placement_rank::in_time;
    }
    bool const ends_before_expiry =
        end + candidate.run * this->limits.max_overrun_percent / 100 <= parent_job.expires_at;
    return is_immediate && ends_before_expiry ? placement_rank::immediate_but_late
                                              : placement_rank::late;
}

bool job_dispatcher::isolates_suspects(std::string const& service) const
{
    if (!this->crashes.has_suspect())
    {
        return false;
    }
    auto const now = this->clock.steady_now();
    double total = 0;
    double suspected = 0;
    for (auto const& [route, work] : this->recent_work)
    {
        if (route.first == service)
        {
            total += work.recent(now);
            suspected += this->crashes.is_suspect(route.second) ? work.recent(now) : 0;
        }
    }
    return suspected * 2 < total;
}

bool job_dispatcher::is_isolated(job const& parent_job) const
{
    return this->crashes.is_suspect(parent_job.request.route) &&
           this->isolates_suspects(parent_job.request.service);
}

std::set<std::string_view> job_dispatcher::isolated_agents(std::string const& service) const
{
    if (!this->isolates_suspects(service))
    {
        return {};
    }
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (auto const& [name, view] : this->agents)
    {
        if (view.is_connected() && view.status().service == service)
        {
            ranked.emplace_back(base::hash64(name), name);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    auto const share = this->limits.isolated_share * static_cast<double>(ranked.size());
    ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(std::ceil(share))));
    std::set<std::string_view> isolated;
    for (auto const& [hash, name] : ranked)
    {
        isolated.insert(name);
    }
    return isolated;
}

std::optional<job_dispatcher::placement>
job_dispatcher::choose_placement(job const& parent_job, task const& item,
                                 std::string const& avoided) const
{
    return is_constrained(parent_job, item)
               ? this->choose_constrained(parent_job, item, avoided)
               : this->choose_target(parent_job, item, avoided, nullptr);
}

std::optional<job_dispatcher::placement>
job_dispatcher::choose_target(job const& parent_job, task const& item, std::string const& avoided,
                              target_filter const* filter) const
{
    auto const now = this->clock.steady_now();
    auto const& step = parent_job.request.steps[item.step];
    // Ejections are ignored when more than half of the available targets are ejected: a fault of so
    // many is not caused by the targets.
    bool const ignore_ejections = this->are_most_agents_ejected(now);
    auto const isolated = this->isolated_agents(parent_job.request.service);
    bool const is_suspect = this->is_isolated(parent_job);
    std::vector<placement> candidates;
    std::optional<placement> last_resort;
    auto const max_runs = this->share_of(this->limits.max_runs_per_target, parent_job.tasks.size());
    this->visits.targets += this->agents.size();
    for (auto const& [name, view] : this->agents)
    {
        if (!view.accepts_starts(now) || view.status().service != parent_job.request.service ||
            !view.status().capacity.can_fit(step.resources) || view.open_runs() >= max_runs ||
            (is_suspect && !isolated.contains(name)) ||
            (filter != nullptr && !filter->permits(name, view.status().labels)))
        {
            continue;
        }
        placement candidate{&name, view.expected_wait(step.resources, parent_job.request.priority),
                            view.expected_run(item.estimate)};
        if (filter != nullptr)
        {
            candidate.run_factor = filter->run_factor;
            candidate.run = internal::scaled(candidate.run, filter->run_factor);
        }
        candidate.rank = this->rank(parent_job, candidate, now);
        bool const is_last_resort = avoided == name ||
                                    (view.is_ejected(now) && !ignore_ejections) ||
                                    (!is_suspect && isolated.contains(name));
        candidate.spare_starts = view.spare_starts(step.resources);
        if (!is_last_resort)
        {
            candidates.push_back(candidate);
        }
        else if (!last_resort || candidate.is_better_than(*last_resort))
        {
            last_resort = candidate;
            last_resort->is_last_resort = true;
        }
    }
    return candidates.empty() ? last_resort : choose_among(candidates, parent_job.request.key);
}

job_dispatcher::placement job_dispatcher::choose_among(std::span<placement const> candidates,
                                                       std::string_view job_key) const
{
    auto const& best = *std::min_element(candidates.begin(), candidates.end(),
                                         [](placement const& left, placement const& right)
                                         { return left.is_better_than(right); });
    if (best.wait > milliseconds(0))
    {
        return best;
    }
    // Weighted random selection: the candidate with the least -log(draw) / weight is chosen with a
    // probability in proportion to its weight.
    auto const longest_run =
        internal::scaled(best.run, equal_speed_factor) + this->limits.round_trip_time;
    auto const* chosen = &best;
    auto lowest = std::numeric_limits<double>::infinity();
    for (auto const& candidate : candidates)
    {
        if (candidate.rank != best.rank || candidate.run > longest_run)
        {
            continue;
        }
        auto const weight = candidate.spare_starts * candidate.spare_starts;
        auto const key = -std::log(draw(job_key, *candidate.agent)) / weight;
        if (key < lowest)
        {
            lowest = key;
            chosen = &candidate;
        }
    }
    return *chosen;
}

bool job_dispatcher::exceeds_every_target(job const& parent_job) const
{
    if (this->clock.steady_now() - this->started < this->limits.agent_discovery_time)
    {
        return false;
    }
    // A target that takes no starts now, or whose agent is not connected, counts with its last
    // known capacity: it may be back in time.
    auto const is_of_service = [&](auto const& item)
    { return item.second.status().service == parent_job.request.service; };
    if (std::none_of(this->agents.begin(), this->agents.end(), is_of_service))
    {
        return false;
    }
    return std::any_of(parent_job.request.steps.begin(), parent_job.request.steps.end(),
                       [&](job_step const& step)
                       {
                           return std::none_of(this->agents.begin(), this->agents.end(),
                                               [&](auto const& item) {
                                                   return is_of_service(item) &&
                                                          item.second.status().capacity.can_fit(
                                                              step.resources);
                                               });
                       });
}

bool job_dispatcher::is_too_late(job const& parent_job, placement const& chosen,
                                 base::steady_time now) const
{
    auto const end = now + chosen.wait + chosen.run + this->limits.round_trip_time;
    return end > parent_job.latest_end(chosen.wait > milliseconds(0));
}

bool job_dispatcher::give_up_if_too_late(job& parent_job)
{
    auto const now = this->clock.steady_now();
    auto const& waiting = parent_job.waiting;
    for (auto next = waiting.first_from(0); next;)
    {
        ++this->visits.tasks;
        auto const& item = parent_job.tasks[*next];
        auto const chosen = this->choose_placement(parent_job, item, item.avoided);
        if (chosen && this->is_too_late(parent_job, *chosen, now))
        {
            this->give_up(parent_job, "cannot end in time");
            return true;
        }
        // Where one task of a step has no target, the others have none either.
        next = waiting.first_from(chosen ? *next + 1 : parent_job.end_of_step(item));
    }
    return false;
}

void job_dispatcher::admit(job& parent_job)
{
    milliseconds expected_end{};
    std::size_t queued_tasks = 0;
    bool is_blocked = false;
    std::vector<std::pair<task*, placement>> plan;
    this->place_groups(parent_job);
    auto const& waiting = parent_job.waiting;
    for (auto next = waiting.first_from(0); next;)
    {
        ++this->visits.tasks;
        auto& item = parent_job.tasks[*next];
        auto const chosen = this->choose_placement(parent_job, item, item.avoided);
        if (!chosen)
        {
            // The targets that suspects may use are down, for longer than the job can wait.
            is_blocked = this->is_isolated(parent_job);
            if (!is_blocked && is_constrained(parent_job, item))
            {
                // The tasks of other steps may have room.
                next = waiting.first_from(parent_job.end_of_step(item));
                continue;
            }
            break;
        }
        next = waiting.first_from(*next + 1);
        if (is_constrained(parent_job, item))
        {
            item.planned_agent = *chosen->agent;
            parent_job.occupy(item, item.planned_agent);
        }
        this->reserve(parent_job, item, *chosen);
        plan.emplace_back(&item, *chosen);
        expected_end =
            std::max(expected_end, chosen->wait + chosen->run + this->limits.round_trip_time);
        queued_tasks += chosen->wait > milliseconds(0) ? 1 : 0;
    }
    auto const queued_share =
        plan.empty() ? 0 : static_cast<double>(queued_tasks) / static_cast<double>(plan.size());
    auto const within_load = this->decide_admission(parent_job, expected_end, queued_share);
    auto const result = is_blocked ? admission_result::no_target : within_load;
    this->record_admission(parent_job, result);
    if (result != admission_result::admitted)
    {
        std::map<std::string_view, std::size_t> planned;
        for (auto const& [item, chosen] : plan)
        {
            ++planned[*chosen.agent];
        }
        for (auto const& [agent, count] : planned)
        {
            this->agents.find(agent)->second.remove_last_in_flight(count);
        }
        this->finish(parent_job, job_outcome::not_run,
                     is_blocked ? "no target takes work" : "overload");
        return;
    }
    for (auto& [item, chosen] : plan)
    {
        this->send(parent_job, *item, chosen);
    }
}

void job_dispatcher::place_waiting_tasks(job& parent_job)
{
    this->place_groups(parent_job);
    auto const& waiting = parent_job.waiting;
    for (auto next = waiting.first_from(0); next;)
    {
        ++this->visits.tasks;
        auto& item = parent_job.tasks[*next];
        auto const chosen = this->choose_placement(parent_job, item, item.avoided);
        if (!chosen)
        {
            if (!is_constrained(parent_job, item))
            {
                return;
            }
            next = waiting.first_from(parent_job.end_of_step(item));
            continue;
        }
        next = waiting.first_from(*next + 1);
        if (this->is_too_late(parent_job, *chosen, this->clock.steady_now()))
        {
            this->give_up(parent_job, "cannot end in time");
            return;
        }
        this->reserve(parent_job, item, *chosen);
        this->send(parent_job, item, *chosen);
    }
}

void job_dispatcher::reserve(job const& parent_job, task const& item, placement const& chosen)
{
    auto const& resources = parent_job.request.steps[item.step].resources;
    auto const work =
        static_cast<double>(chosen.run.count()) * static_cast<double>(resources.cpu) / 1000;
    this->agents.find(*chosen.agent)
        ->second.add_in_flight(resources, work, parent_job.request.priority);
}

void job_dispatcher::send(job& parent_job, task& item, placement const& chosen)
{
    auto const now = this->clock.steady_now();
    auto const& step = parent_job.request.steps[item.step];
    item.agent = *chosen.agent;
    if (item.planned_agent.empty())
    {
        parent_job.occupy(item, item.agent);
    }
    parent_job.change(item, task_state::sent);
    this->stop_counting_as_waiting(parent_job);
    item.sent = now;
    item.expected = chosen.wait + chosen.run + this->limits.round_trip_time;
    item.expected_run = chosen.run;
    item.is_cancel_sent = false;
    ++item.run;
    ++parent_job.runs;
    auto const time_left =
        internal::elapsed(now, parent_job.latest_end(chosen.wait > milliseconds(0))) - chosen.run;
    auto const queue_limit = chosen.wait * this->limits.queue_factor + this->limits.queue_slack;
    bool const must_start_now =
        chosen.wait == milliseconds(0) && item.returns < this->limits.max_returns;
    item.order = {.id = {item.name, item.run},
                  .payload = parent_job.request.payload,
                  .resources = step.resources,
                  .estimate = item.estimate,
                  .priority = parent_job.request.priority,
                  .queue_timeout = must_start_now
                                       ? milliseconds(0)
                                       : std::clamp(time_left, min_queue_timeout, queue_limit),
                  .route = parent_job.request.route};
    auto const previous_run = std::exchange(item.moved, move_reason::none);
    bool has_given_up_wait = false;
    if (step.constraints)
    {
        item.planned_agent.clear();
        item.run_factor = chosen.run_factor;
        has_given_up_wait = item.is_near_wait_over;
        item.is_near_wait_over = false;
        item.place = chosen.place;
        // The agent compares the estimate with the run time on its target.
        item.order.estimate = internal::scaled(item.estimate, chosen.run_factor);
        if (chosen.longest_wait > milliseconds(0) && !must_start_now)
        {
            item.order.queue_timeout = std::min(item.order.queue_timeout, chosen.longest_wait);
        }
        item.order.required_labels = step.constraints->required_labels;
        item.order.max_per_target = step.constraints->max_per_target;
    }
    this->actions.emplace_back(send_start{parent_job.request.key, item.agent, item.order,
                                          chosen.wait, chosen.run, previous_run, chosen.place,
                                          has_given_up_wait});
}

} // namespace filbertroad::dispatch

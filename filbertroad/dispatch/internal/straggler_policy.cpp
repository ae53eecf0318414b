#include "filbertroad/dispatch/internal/straggler_policy.hpp"

#include <algorithm>

namespace filbertroad::dispatch::internal
{
namespace
{

/// A run above this ratio belongs to the tail. Runs within the error of estimates (40 %) and the
/// spread of run times stay below it.
constexpr double tail_ratio = 2.5;

/// Share of the runs in the tail from which on a route has one. With fewer, the present rule
/// discards less than 1 % of the work.
constexpr double min_tail_share = 0.005;
/// Runs in the tail from which on a route has one: two may be stalled by their targets.
constexpr double min_tail_weight = 3;

/// Part of the tail that remains when a run counts as longer than the tail.
constexpr double remaining_tail_share = 0.03;

/// Least weight of the distribution of a route: the runs of all routes of the service fill it up.
/// A tail of 3 % then has nine runs of its own before it is judged alone. With 100, rare long jobs
/// lost their tail after some seconds, because runs of the tail end later than the others.
constexpr double shared_weight = 300;

/// Share of the submitted work that moves may discard. One of two targets that stands still or is
/// slow for three seconds stays below it: four of 54 cost 1.5 % of the work of eight seconds.
constexpr double budget_share = 0.2;
/// Moves of equal size that are possible within the time constant of route_work, whatever the load.
constexpr double min_moves = 8;

/// Routes come and go with the configuration.
constexpr std::size_t max_models = 512;

} // namespace

void straggler_policy::observe(std::string_view service, std::string_view route,
                               std::string_view agent, run_time const& run)
{
    ++this->observations;
    this->observe(this->models[{std::string(service), std::string(route)}], agent, run);
    this->observe(this->models[{std::string(service), std::string()}], agent, run);
    this->bound_memory();
}

void straggler_policy::observe(learned& model, std::string_view agent, run_time const& run)
{
    model.last_used = this->observations;
    if (!run.is_overdue)
    {
        if (!run.is_stopped)
        {
            // Short runs may exceed the ratio without becoming overdue.
            model.times.observe(std::min(run.ratio, tail_ratio));
        }
        return;
    }
    if (std::exchange(model.last_overdue_agent, agent) == agent)
    {
        return;
    }
    auto const ratio = std::max(run.ratio, tail_ratio);
    if (run.is_stopped)
    {
        model.times.observe_at_least(ratio);
    }
    else
    {
        model.times.observe(ratio);
    }
}

void straggler_policy::bound_memory()
{
    if (this->models.size() > max_models)
    {
        this->models.erase(
            std::min_element(this->models.begin(), this->models.end(),
                             [](auto const& left, auto const& right)
                             { return left.second.last_used < right.second.last_used; }));
    }
}

double straggler_policy::weight_above(std::string_view service, std::string_view route,
                                      double ratio) const
{
    auto const find = [&](std::string_view of_route) -> run_time_model const*
    {
        auto const found = this->models.find({std::string(service), std::string(of_route)});
        return found == this->models.end() ? nullptr : &found->second.times;
    };
    auto const* const own = find(route);
    auto const* const shared = find("");
    auto const own_weight = own == nullptr ? 0 : own->weight();
    auto const from_others = std::max(shared_weight - own_weight, 0.0);
    return (own == nullptr ? 0 : own->weight_above(ratio)) +
           (shared == nullptr ? 0 : shared->share_above(ratio) * from_others);
}

bool straggler_policy::has_tail(std::string_view service, std::string_view route) const
{
    auto const all = this->weight_above(service, route, 0);
    auto const tail = this->weight_above(service, route, tail_ratio);
    return tail >= min_tail_share * all && tail >= min_tail_weight;
}

move_reason straggler_policy::reason_to_move(std::string_view service, std::string_view route,
                                             double ratio, target_progress_state target) const
{
    if (target == target_progress_state::unknown || !this->has_tail(service, route))
    {
        return move_reason::overdue;
    }
    if (target == target_progress_state::delayed)
    {
        return move_reason::target_delayed;
    }
    auto const tail = this->weight_above(service, route, tail_ratio);
    auto const remaining = this->weight_above(service, route, std::max(ratio, tail_ratio));
    return remaining < remaining_tail_share * tail ? move_reason::longer_than_tail
                                                   : move_reason::none;
}

bool straggler_policy::spend(double work, base::steady_time now)
{
    auto const budget = std::max(budget_share * this->submitted.recent(now), min_moves * work);
    if (this->discarded.recent(now) + work > budget)
    {
        return false;
    }
    this->discarded.add(work, now);
    return true;
}

} // namespace filbertroad::dispatch::internal

#include "filbertroad/scheduling/internal/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertroad::scheduling::internal
{
namespace
{

/// Bound of the routes whose run times are tracked.
constexpr std::uint32_t max_tracked_routes = 1024;
constexpr std::chrono::seconds utilisation_window{30};
/// Targets whose slowness differs by a smaller factor count as equally fast.
constexpr double similar_speed_ratio = 1.25;

bool satisfies(target_info const& target, placement_rule const& rule)
{
    auto const has = [](auto const& list, auto const& value)
    { return std::find(list.begin(), list.end(), value) != list.end(); };
    return (rule.zones.empty() || has(rule.zones, target.zone)) &&
           std::all_of(rule.labels.begin(), rule.labels.end(),
                       [&](auto const& label) { return has(target.labels, label); });
}

} // namespace

target_pool::target_pool(std::uint64_t seed, std::chrono::milliseconds ramp_up)
    : generator(seed), ramp_up(ramp_up)
{
}

void target_pool::update(target_info const& info, base::steady_time now)
{
    auto& target = this->targets[this->find_or_add_unannounced(info.name)];
    bool const is_new = !target.announced || target.removed;
    bool const slots_increased = info.slots > target.info.slots;
    target.info = info;
    target.announced = true;
    target.removed = false;
    target.slot_limit =
        is_new || slots_increased ? info.slots : std::min(target.slot_limit, info.slots);
    if (is_new)
    {
        target.available = true;
        this->begin_ramp_up(target, now);
    }
    this->rebuild_placements(now);
}

void target_pool::set_available(std::string_view name, bool available, base::steady_time now)
{
    auto const found = this->find(name);
    if (!found || this->targets[*found].available == available)
    {
        return;
    }
    auto& target = this->targets[*found];
    target.available = available;
    if (available)
    {
        this->begin_ramp_up(target, now);
    }
    this->latest_change = now;
}

void target_pool::remove(std::string_view name)
{
    if (auto const found = this->find(name))
    {
        this->targets[*found].removed = true;
        this->targets[*found].effective_limit = 0;
        this->rebuild_placements(this->latest_change);
    }
}

std::optional<std::uint32_t> target_pool::find(std::string_view name) const
{
    auto const found = std::find_if(this->targets.begin(), this->targets.end(),
                                    [&](auto const& target) { return target.info.name == name; });
    if (found == this->targets.end())
    {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - this->targets.begin());
}

std::uint32_t target_pool::find_or_add_unannounced(std::string_view name)
{
    if (auto const found = this->find(name))
    {
        return *found;
    }
    auto const reusable =
        std::find_if(this->targets.begin(), this->targets.end(),
                     [](auto const& target) { return target.removed && target.running == 0; });
    auto const index = static_cast<std::uint32_t>(reusable - this->targets.begin());
    if (reusable == this->targets.end())
    {
        this->targets.emplace_back();
    }
    this->targets[index] = target_record{};
    this->targets[index].info.name = name;
    return index;
}

std::optional<std::uint32_t> target_pool::find_placement(placement_rule const& rule) const
{
    auto const found = std::find_if(this->placements.begin(), this->placements.end(),
                                    [&](auto const& placement) { return placement.rule == rule; });
    if (found == this->placements.end())
    {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - this->placements.begin());
}

void target_pool::set_placement(std::uint32_t index, placement_rule const& rule)
{
    if (index == this->placements.size())
    {
        this->placements.emplace_back();
    }
    this->placements[index] = {rule, {}, this->latest_change};
    this->rebuild_placements(this->latest_change);
}

bool target_pool::is_placeable(std::uint32_t placement) const
{
    return !this->placements[placement].targets.empty();
}

base::steady_time target_pool::unplaceable_since(std::uint32_t placement) const
{
    return this->placements[placement].unplaceable_since;
}

placement_rule const& target_pool::rule(std::uint32_t placement) const
{
    return this->placements[placement].rule;
}

std::uint32_t target_pool::find_or_add_route(std::string_view name)
{
    auto const found = std::find_if(this->routes.begin(), this->routes.end(),
                                    [&](auto const& route) { return route.name == name; });
    if (found != this->routes.end())
    {
        return static_cast<std::uint32_t>(found - this->routes.begin());
    }
    if (this->routes.size() == max_tracked_routes)
    {
        // Results of jobs of the replaced route count for the new route. That only adds noise.
        this->next_route = (this->next_route + 1) % max_tracked_routes;
        this->routes[this->next_route] = {std::string(name)};
        return this->next_route;
    }
    this->routes.push_back({std::string(name)});
    return static_cast<std::uint32_t>(this->routes.size() - 1);
}

void target_pool::refresh(base::steady_time now)
{
    this->free_slot_count = 0;
    this->prefetch_slot_count = 0;
    this->available_slot_count = 0;
    double used = 0;
    double capacity = 0;
    for (auto& target : this->targets)
    {
        // The limits of the last refresh applied until now.
        auto const effective_limit = std::max(target.effective_limit, target.running);
        used += target.running * target.speed;
        capacity += effective_limit * target.speed;
        target.effective_limit = this->next_effective_limit(target, now);
        this->free_slot_count +=
            target.has_free_slot() ? target.effective_limit - target.running : 0;
        this->prefetch_slot_count +=
            target.effective_limit == target.info.slots ? target.info.prefetch_limit : 0;
        this->available_slot_count += target.effective_limit;
    }
    auto const elapsed_share =
        std::chrono::duration<double>(now - this->last_refresh) / utilisation_window;
    this->mean_utilisation +=
        capacity > 0 ? (used / capacity - this->mean_utilisation) * std::min(1.0, elapsed_share)
                     : 0;
    this->last_refresh = now;
}

std::optional<std::uint32_t> target_pool::fastest_free(std::uint32_t placement) const
{
    std::uint32_t best = no_target;
    double best_cost = std::numeric_limits<double>::max();
    for (auto const index : this->placements[placement].targets)
    {
        auto const& target = this->targets[index];
        if (!target.has_free_slot())
        {
            continue;
        }
        // Prefers the least loaded of equally fast targets: a loaded target is more likely to slow
        // its tasks down.
        auto const load = static_cast<double>(target.running) / target.effective_limit;
        auto const cost = target.slowness * (1 + load * (similar_speed_ratio - 1));
        if (cost < best_cost || (cost == best_cost && target.last_start_sequence <
                                                          this->targets[best].last_start_sequence))
        {
            best = index;
            best_cost = cost;
        }
    }
    return best == no_target ? std::nullopt : std::optional(best);
}

std::optional<std::uint32_t> target_pool::fastest_for_prefetch(std::uint32_t placement) const
{
    std::optional<std::uint32_t> best;
    for (auto const index : this->placements[placement].targets)
    {
        auto const& target = this->targets[index];
        if (target.can_prefetch() && (!best || target.slowness < this->targets[*best].slowness))
        {
            best = index;
        }
    }
    return best;
}

faster_targets target_pool::faster_than(std::uint32_t placement, std::uint32_t than) const
{
    auto const slowness = this->targets[than].slowness;
    faster_targets faster;
    double slots = 0;
    double sum = 0;
    for (auto const index : this->placements[placement].targets)
    {
        auto const& target = this->targets[index];
        if (target.effective_limit > 0 && !target.has_free_slot() &&
            target.slowness * similar_speed_ratio < slowness)
        {
            faster.rate += target.running * target.speed;
            slots += target.running;
            sum += target.running * target.slowness;
        }
    }
    faster.slowness = slots > 0 ? sum / slots : 1;
    return faster;
}

void target_pool::started(std::uint32_t target)
{
    auto& record = this->targets[target];
    this->free_slot_count -= record.has_free_slot() ? 1 : 0;
    ++record.running;
    record.last_start_sequence = ++this->start_count;
}

void target_pool::stopped(std::uint32_t target)
{
    auto& record = this->targets[target];
    record.running -= record.running > 0 ? 1 : 0;
    this->free_slot_count += record.has_free_slot() ? 1 : 0;
}

double target_pool::tasks_per_second(std::uint32_t placement) const
{
    double rate = 0;
    for (auto const index : this->placements[placement].targets)
    {
        auto const& target = this->targets[index];
        if (target.available && target.health.state() == health_state::in_service)
        {
            rate += target.slot_limit * target.speed;
        }
    }
    return rate / this->all_run_times.mean();
}

double target_pool::jitter()
{
    // The top 53 bits give the same value with every standard library.
    return static_cast<double>(this->generator() >> 11U) * 0x1p-53;
}

std::string const& target_pool::name(std::uint32_t target) const
{
    return this->targets[target].info.name;
}

std::vector<target_status> target_pool::statuses() const
{
    std::vector<target_status> statuses;
    for (auto const& target : this->targets)
    {
        if (target.removed && target.running == 0)
        {
            continue;
        }
        auto const available = target.announced && target.available && !target.removed;
        statuses.push_back({target.info.name, target.info.zone,
                            available ? std::string(to_string(target.health.state())) : "closed",
                            target.info.slots, target.running, target.slowness});
    }
    return statuses;
}

void target_pool::rebuild_placements(base::steady_time now)
{
    this->latest_change = std::max(this->latest_change, now);
    for (auto& placement : this->placements)
    {
        bool const was_empty = placement.targets.empty();
        placement.targets.clear();
        for (std::uint32_t index = 0; index < this->targets.size(); ++index)
        {
            auto const& target = this->targets[index];
            if (target.announced && !target.removed && satisfies(target.info, placement.rule))
            {
                placement.targets.push_back(index);
            }
        }
        if (placement.targets.empty() && !was_empty)
        {
            placement.unplaceable_since = this->latest_change;
        }
    }
}

std::uint32_t target_pool::next_effective_limit(target_record& target, base::steady_time now)
{
    if (!target.announced || !target.available || target.removed || now < target.backoff_until)
    {
        return 0;
    }
    target.health.advance(now);
    if (target.health.state() != health_state::in_service)
    {
        return target.health.state() == health_state::probing ? 1 : 0;
    }
    if (target.slot_limit < target.info.slots && now >= target.next_limit_increase)
    {
        ++target.slot_limit;
        target.next_limit_increase = now + limit_increase_interval;
    }
    auto const ramped = now - target.ramp_start;
    if (ramped >= this->ramp_up)
    {
        return target.slot_limit;
    }
    auto const share = std::chrono::duration<double>(ramped) / this->ramp_up;
    auto const slots = 1 + static_cast<std::uint32_t>(target.info.slots * share);
    return std::min(target.slot_limit, slots);
}

} // namespace filbertroad::scheduling::internal

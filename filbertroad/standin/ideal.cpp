#include "filbertroad/standin/ideal.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <numeric>
#include <queue>
#include <set>
#include <string>

namespace filbertroad::standin
{
namespace
{

constexpr std::uint32_t max_targets = 100'000;
constexpr std::uint32_t max_slots = 10'000;

std::optional<std::uint32_t> parse_count(std::string_view text, std::uint32_t max)
{
    std::uint32_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value == 0 || value > max)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_slowness(std::string_view text)
{
    double value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !(value > 0) || value > 1e6)
    {
        return std::nullopt;
    }
    return value;
}

/// Simulated slots of all targets: the targets with a free slot and the end times of running tasks.
class slot_pool
{
public:
    explicit slot_pool(std::span<ideal_target const> targets)
        : targets(targets), free_slots(targets.size()), speed_rank(targets.size())
    {
        std::vector<std::size_t> order(targets.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::stable_sort(order.begin(), order.end(),
                         [&](std::size_t a, std::size_t b)
                         { return targets[a].slowness < targets[b].slowness; });
        for (std::size_t i = 0; i < order.size(); ++i)
        {
            this->speed_rank[order[i]] = i;
            this->free_slots[order[i]] = targets[order[i]].slots;
            if (targets[order[i]].slots > 0)
            {
                this->available.insert({i, order[i]});
            }
        }
    }

    /// Starts a task as soon as a slot is free, but not before `earliest`, which must not decrease
    /// from call to call. Returns the start and end time.
    std::pair<milliseconds_f, milliseconds_f> run(milliseconds_f earliest, milliseconds_f run_time)
    {
        auto now = std::max(earliest, this->last_start);
        if (this->available.empty() && !this->running.empty())
        {
            now = std::max(now, this->running.top().end);
        }
        while (!this->running.empty() && this->running.top().end <= now)
        {
            this->release(this->running.top().target);
            this->running.pop();
        }
        this->last_start = now;
        auto const target = this->available.begin()->second;
        if (--this->free_slots[target] == 0)
        {
            this->available.erase(this->available.begin());
        }
        auto const end = now + run_time * this->targets[target].slowness;
        this->running.push({.end = end, .target = target});
        return {now, end};
    }

private:
    struct running_task
    {
        milliseconds_f end;
        std::size_t target;

        friend bool operator<(running_task const& a, running_task const& b)
        {
            return a.end > b.end;
        }
    };

    void release(std::size_t target)
    {
        if (this->free_slots[target]++ == 0)
        {
            this->available.insert({this->speed_rank[target], target});
        }
    }

    std::span<ideal_target const> targets;
    std::vector<std::uint32_t> free_slots;
    /// Index of each target in the order of speed; 0 is the fastest.
    std::vector<std::size_t> speed_rank;
    /// Speed rank and index of each target with a free slot.
    std::set<std::pair<std::size_t, std::size_t>> available;
    /// The task with the earliest end is on top.
    std::priority_queue<running_task> running;
    milliseconds_f last_start{};
};

} // namespace

std::optional<std::vector<ideal_target>> parse_ideal_targets(std::string_view shape,
                                                             std::string_view slownesses)
{
    auto const cross = shape.find('x');
    auto const count = parse_count(shape.substr(0, cross), max_targets);
    auto const slots = cross == std::string_view::npos
                           ? std::nullopt
                           : parse_count(shape.substr(cross + 1), max_slots);
    if (!count || !slots)
    {
        return std::nullopt;
    }
    std::vector<ideal_target> targets(*count, {.slots = *slots});
    std::size_t next = 0;
    while (!slownesses.empty())
    {
        auto const part = slownesses.substr(0, slownesses.find(','));
        auto const value = parse_slowness(part);
        if (!value || next == targets.size() || part.size() + 1 == slownesses.size())
        {
            return std::nullopt;
        }
        targets[next++].slowness = *value;
        slownesses.remove_prefix(std::min(slownesses.size(), part.size() + 1));
    }
    return targets;
}

std::vector<milliseconds_f> ideal_response_times(std::span<ideal_target const> targets,
                                                 milliseconds_f network,
                                                 std::span<ideal_job const> jobs)
{
    slot_pool pool(targets);
    std::vector<milliseconds_f> result;
    result.reserve(jobs.size());
    for (auto const& job : jobs)
    {
        auto const arrived = job.submitted + network;
        auto last_end = arrived;
        for (auto const run_time : job.run_times)
        {
            last_end = std::max(last_end, pool.run(arrived, run_time).second);
        }
        result.push_back(last_end + network - job.submitted);
    }
    return result;
}

} // namespace filbertroad::standin

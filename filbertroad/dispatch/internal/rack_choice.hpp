#ifndef FILBERTROAD_DISPATCH_INTERNAL_RACK_CHOICE_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_RACK_CHOICE_HPP

/// When the last task of a group ends if the group is placed on a set of targets. Each task takes
/// the place where it ends first: a free one, or one that becomes free after others.
///
///     auto const on_rack = last_end(offers_of_rack, step.count);
///     auto const spread = last_end(offers_of_all_with_factor, step.count);

#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <queue>
#include <span>
#include <utility>
#include <vector>

namespace filbertroad::dispatch::internal
{

/// Places for the tasks of a group on one target.
struct target_offer
{
    /// Tasks that can start at once, and tasks that can run at the same time.
    std::uint32_t free = 0;
    std::uint32_t total = 0;
    /// Expected wait for a place that is in use.
    milliseconds wait{};
    milliseconds run{};
};

/// Expected time until the last of `count` tasks ends; nothing if no target can run one.
[[nodiscard]] inline std::optional<milliseconds> last_end(std::span<target_offer const> offers,
                                                          std::uint32_t count)
{
    auto const next_end = [&](target_offer const& offer, std::uint32_t taken)
    {
        if (taken < offer.free)
        {
            return offer.run;
        }
        // The places in use become free after the wait, and each place once in a run time.
        auto const round = (taken - offer.free) / std::max<std::uint32_t>(offer.total, 1);
        auto const begin = offer.free != 0 ? offer.run : offer.wait;
        return begin + (round + 1) * offer.run;
    };
    struct target_state
    {
        milliseconds end;
        std::size_t index;
        std::uint32_t taken;
        bool operator<(target_state const& other) const { return this->end > other.end; }
    };
    std::priority_queue<target_state> targets;
    for (std::size_t index = 0; index < offers.size(); ++index)
    {
        if (offers[index].total != 0)
        {
            targets.push({next_end(offers[index], 0), index, 0});
        }
    }
    if (targets.empty())
    {
        return std::nullopt;
    }
    milliseconds last{};
    for (std::uint32_t placed = 0; placed < count; ++placed)
    {
        auto next = targets.top();
        targets.pop();
        last = std::max(last, next.end);
        ++next.taken;
        next.end = next_end(offers[next.index], next.taken);
        targets.push(next);
    }
    return last;
}

} // namespace filbertroad::dispatch::internal

#endif

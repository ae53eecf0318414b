#ifndef FILBERTROAD_DISPATCH_PLACEMENT_CONSTRAINTS_HPP
#define FILBERTROAD_DISPATCH_PLACEMENT_CONSTRAINTS_HPP

/// Where the tasks of a step may run, and where they run faster.
///
///     placement_constraints constraints;
///     constraints.required_labels = {"a"};
///     if (constraints.accepts(status.labels)) ...

#include "filbertroad/dispatch/target_announcement.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace filbertroad::dispatch
{

struct placement_constraints
{
    /// Labels that the target must have, each of them its kind or its rack.
    std::vector<std::string> required_labels;
    /// Most tasks of the step on one target at the same time; 0 if there is no limit.
    std::uint32_t max_per_target = 0;
    /// Rack where the tasks run faster; empty if there is none.
    std::string near_rack;
    /// Whether the tasks run faster when all of them run on one rack.
    bool same_rack = false;

    /// Whether a target with `labels` has every required label.
    [[nodiscard]] bool accepts(target_labels const& labels) const
    {
        return std::all_of(this->required_labels.begin(), this->required_labels.end(),
                           [&](std::string const& label) { return labels.contains(label); });
    }

    friend bool operator==(placement_constraints const&, placement_constraints const&) = default;
};

} // namespace filbertroad::dispatch

#endif

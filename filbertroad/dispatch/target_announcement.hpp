#ifndef FILBERTROAD_DISPATCH_TARGET_ANNOUNCEMENT_HPP
#define FILBERTROAD_DISPATCH_TARGET_ANNOUNCEMENT_HPP

/// What a target says about itself.

#include "filbertroad/model/resources.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertroad::dispatch
{

/// Labels of a target; empty if it has announced none.
struct target_labels
{
    /// Kind of machine.
    std::string kind;
    std::string rack;

    /// Whether `label` is one of the labels. No target has the empty label.
    [[nodiscard]] bool contains(std::string_view label) const
    {
        return !label.empty() && (label == this->kind || label == this->rack);
    }

    friend bool operator==(target_labels const&, target_labels const&) = default;
};

/// Announcement of a process of the target. Anybody who can reach the agent can send one.
struct target_announcement
{
    std::string name;
    /// Start time of the target's process in Unix milliseconds. A process restarted under the same
    /// name has a greater one.
    std::uint64_t incarnation = 0;
    std::string service;
    model::resources capacity;
    bool draining = false;
    /// Increases with each announcement of the process.
    std::uint64_t sequence = 0;
    target_labels labels = {};
};

} // namespace filbertroad::dispatch

#endif

#ifndef FILBERTROAD_SUBMISSION_INTERNAL_AGENT_TABLE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_AGENT_TABLE_HPP

/// The agents of the service: which are registered in the control log, which have a link, what
/// their targets announced, and which tasks are at each of them.
///
///     auto& agent = agents.set_linked(hello, now);
///     auto* const at = agents.startable_for_target("t1"); // null unless a start may be sent
///
/// An agent is identified by name and incarnation. A newer incarnation of the same name replaces
/// the older one permanently: the older process has ended and its ledger is lost.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/scheduling/scheduler.hpp"
#include "filbertroad/wire/link.pb.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace filbertroad::submission::internal
{

struct agent_record
{
    model::process_id id;
    std::string zone;
    /// The agent was registered at some time within the key retention: fences are sent to it.
    bool recently_registered = false;
    /// The agent is registered now: starts are sent to it.
    bool registered = false;
    bool linked = false;
    /// A newer incarnation of the agent is known.
    bool replaced = false;
    /// The target of this agent was added to the scheduler.
    bool announced = false;
    /// When the link was lost. For an agent that has had no link, when the agent became known.
    base::steady_time unlinked_since;
    wire::target_description target;
    /// Tasks that are at this agent, by their ids in the scheduler. The value is the view of the
    /// fence for which the agent reported the task, or 0 for a start by this owner.
    std::map<scheduling::task_id, std::uint64_t> tasks;

    [[nodiscard]] bool may_start() const
    {
        return this->registered && this->linked && !this->replaced;
    }
};

class agent_table
{
public:
    /// Replaces the registrations from the control log. `former` are no longer registered.
    void set_registered(std::span<wire::agent const> agents,
                        std::span<model::process_id const> former, base::steady_time now);
    /// Records a link, adds the agent if it is new, and marks older incarnations as replaced.
    agent_record& set_linked(wire::agent_hello const& hello, base::steady_time now);
    /// Stores a new announcement of the agent's target.
    void set_target(agent_record& agent, wire::target_description const& target);
    [[nodiscard]] agent_record* find(model::process_id const& id);
    /// Returns the agent that a start for `target` may be sent to, or null if there is none.
    [[nodiscard]] agent_record* startable_for_target(std::string_view target);
    /// Returns the next newer incarnation of the agent, if there is one. An incarnation is the
    /// start time of the process in Unix milliseconds.
    [[nodiscard]] std::optional<std::uint64_t> newer_incarnation(model::process_id const& id) const;

    [[nodiscard]] std::map<model::process_id, agent_record>& all() { return this->records; }
    [[nodiscard]] std::map<model::process_id, agent_record> const& all() const
    {
        return this->records;
    }
    /// Removes agents that are not recently registered and have neither a link nor a task.
    void remove_unused();

private:
    void mark_replaced(model::process_id const& newest);

    // Ordered by name and incarnation, so that the newest incarnation of a name is its last.
    std::map<model::process_id, agent_record> records;
    std::unordered_map<std::string, agent_record*> by_target;
};

} // namespace filbertroad::submission::internal

#endif

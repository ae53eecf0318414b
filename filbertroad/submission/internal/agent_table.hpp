#ifndef FILBERTROAD_SUBMISSION_INTERNAL_AGENT_TABLE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_AGENT_TABLE_HPP

/// The agents of the service: which are registered in the log, which have a link, what their
/// targets announced, and which tasks are at each of them.
///
///     auto& agent = agents.linked(hello);
///     auto* const at = agents.usable_for_target("t1"); // null unless a start may be sent
///
/// An agent is identified by name and incarnation. A newer incarnation of the same name replaces
/// the older one for good: the older process is dead and its ledger is lost.

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
    /// Registered at some time of the key retention: fences are sent.
    bool recently_registered = false;
    /// Registered now: starts are sent.
    bool registered = false;
    bool linked = false;
    /// A newer incarnation of the name is known.
    bool replaced = false;
    /// The scheduler knows the target by this agent.
    bool announced = false;
    /// When the link was lost; a new agent counts as silent since it became known.
    base::steady_time unlinked_since;
    wire::target_description target;
    /// Tasks that are at this agent, by their names in the scheduler. The value is the view of the
    /// fence that found the task, or 0 for a start of this owner.
    std::map<scheduling::task_id, std::uint64_t> tasks;

    [[nodiscard]] bool may_start() const
    {
        return this->registered && this->linked && !this->replaced;
    }
};

class agent_table
{
public:
    /// Replaces what the log says about agents.
    void set_registered(std::span<wire::agent const> agents,
                        std::span<model::process_id const> former, base::steady_time now);
    /// Adds the agent if it is new, and marks older incarnations as replaced.
    agent_record& set_linked(wire::agent_hello const& hello, base::steady_time now);
    /// The agent's target was announced anew.
    void set_target(agent_record& agent, wire::target_description const& target);
    [[nodiscard]] agent_record* find(model::process_id const& id);
    /// The agent that a start for `target` may be sent to; null if there is none.
    [[nodiscard]] agent_record* startable_for_target(std::string_view target);
    /// A start time of a newer incarnation of the name, if there is one.
    [[nodiscard]] std::optional<std::uint64_t> newer_incarnation(model::process_id const& id) const;

    [[nodiscard]] std::map<model::process_id, agent_record>& all() { return this->records; }
    [[nodiscard]] std::map<model::process_id, agent_record> const& all() const
    {
        return this->records;
    }
    /// Forgets agents that the log has forgotten and that have neither link nor task.
    void remove_unused();

private:
    void mark_replaced(model::process_id const& newest);

    // Ordered by name and incarnation, so that the newest incarnation of a name comes last.
    std::map<model::process_id, agent_record> records;
    std::unordered_map<std::string, agent_record*> by_target;
};

} // namespace filbertroad::submission::internal

#endif

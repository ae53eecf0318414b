// Registration and removal of agents.

#include "filbertroad/control/internal/membership_round.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::control
{
namespace
{

/// Most agents in one record, which bounds its size to about 100 KB.
constexpr int max_agent_batch = 1000;

} // namespace

void membership::agent_linked(wire::agent const& agent, base::steady_time now)
{
    auto& view = this->agents[wire::to_model(agent.id())];
    view.registration = agent;
    if (!view.linked)
    {
        view.linked = true;
        view.since = now;
    }
    view.removal_appended = false;
    view.removed_here = false;
    this->agents_version.reset();
}

void membership::agent_unlinked(model::process_id const& agent, base::steady_time now)
{
    auto const known = this->agents.find(agent);
    if (known != this->agents.end() && known->second.linked)
    {
        known->second.linked = false;
        known->second.since = now;
    }
}

void membership::update_agents(control_state const& state, base::steady_time now)
{
    // Comparing 11,000 agents takes milliseconds, so it is done only after a change.
    if (this->agents_version == state.version())
    {
        return;
    }
    this->agents_version = state.version();
    for (auto const& agent : state.agents())
    {
        auto const [view, added] = this->agents.try_emplace(wire::to_model(agent.id()));
        if (added)
        {
            view->second.registration = agent;
            view->second.since = now;
        }
    }
    for (auto& [id, view] : this->agents)
    {
        this->compare_agent(state, id, view);
    }
    // An unlinked agent that was removed here stays known for a while: if another entry registers
    // it again, that entry can reach it, and a second removal would only start a cycle of records.
    std::erase_if(this->agents,
                  [&](auto const& item)
                  {
                      auto const& view = item.second;
                      return !view.linked && !view.registered &&
                             now - view.since > control_state::removed_retention;
                  });
}

void membership::compare_agent(control_state const& state, model::process_id const& id,
                               agent_view& view)
{
    auto const agents = state.agents();
    auto const known = std::lower_bound(agents.begin(), agents.end(), id.name,
                                        [](auto const& agent, std::string const& name)
                                        { return agent.id().name() < name; });
    view.name_known = known != agents.end() && known->id().name() == id.name;
    view.replaced = view.name_known && known->id().incarnation() > id.incarnation;
    view.registered = view.name_known && known->id().incarnation() == id.incarnation &&
                      (!view.linked || (known->zone() == view.registration.zone() &&
                                        known->service() == view.registration.service()));
    view.removed_here = view.removed_here || (view.removal_appended && state.was_agent_removed(id));
}

void membership::decide_agents_joined(round& round)
{
    if (this->last_batch && round.now - *this->last_batch < this->options.agent_batch)
    {
        return;
    }
    wire::agents_joined batch;
    for (auto const& [id, view] : this->agents)
    {
        if (!view.linked || view.registered || view.replaced ||
            batch.agents_size() >= max_agent_batch ||
            (!view.name_known && !round.majority_alive && !round.state.agents().empty()) ||
            round.now - view.since < this->turn_delay(round, id.name) ||
            !this->is_due("agent in " + internal::describe(id), round.now))
        {
            continue;
        }
        *batch.add_agents() = view.registration;
    }
    if (batch.agents_size() > 0)
    {
        this->last_batch = round.now;
        *round.add().mutable_agents_in() = std::move(batch);
    }
}

void membership::decide_agents_removed(round& round)
{
    if (!round.majority_alive)
    {
        return;
    }
    wire::agents_removed batch;
    for (auto& [id, view] : this->agents)
    {
        auto const silence = round.now - view.since;
        if (view.linked || !view.registered || view.removed_here ||
            batch.agents_size() >= max_agent_batch || silence < this->options.agent_silence ||
            silence < this->options.agent_silence + this->turn_delay(round, id.name) ||
            !this->is_due("agent out " + internal::describe(id), round.now))
        {
            continue;
        }
        view.removal_appended = true;
        *batch.add_agents() = wire::to_wire(id);
    }
    if (batch.agents_size() > 0)
    {
        *round.add().mutable_agents_out() = std::move(batch);
    }
}

} // namespace filbertroad::control

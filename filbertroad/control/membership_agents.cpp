// Registration and removal of agents by class membership.

#include "filbertroad/control/internal/membership_round.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::control
{
namespace
{

/// Limits the size of a record to about 100 KB.
constexpr int max_agents_per_record = 1000;

} // namespace

void membership::agent_linked(wire::agent const& agent, base::steady_time now)
{
    auto& tracked = this->agents[wire::to_model(agent.id())];
    tracked.registration = agent;
    if (!tracked.linked)
    {
        tracked.linked = true;
        tracked.since = now;
    }
    tracked.removal_appended = false;
    tracked.removal_applied = false;
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
    // A comparison of 11,000 agents takes milliseconds, so it runs only after a change.
    if (this->agents_version == state.version())
    {
        return;
    }
    this->agents_version = state.version();
    for (auto const& agent : state.agents())
    {
        auto const [tracked, added] = this->agents.try_emplace(wire::to_model(agent.id()));
        if (added)
        {
            tracked->second.registration = agent;
            tracked->second.since = now;
        }
    }
    for (auto& [id, tracked] : this->agents)
    {
        this->compare_agent(state, id, tracked);
    }
    // Unlinked agents stay known for a while after their removal. If another entry registers such
    // an agent again, that entry can reach it; a second removal by this entry would only start a
    // cycle of removals and registrations.
    std::erase_if(this->agents,
                  [&](auto const& item)
                  {
                      auto const& tracked = item.second;
                      return !tracked.linked && !tracked.registered &&
                             now - tracked.since > control_state::removed_retention;
                  });
}

void membership::compare_agent(control_state const& state, model::process_id const& id,
                               tracked_agent& tracked)
{
    auto const agents = state.agents();
    auto const known = std::lower_bound(agents.begin(), agents.end(), id.name,
                                        [](auto const& agent, std::string const& name)
                                        { return agent.id().name() < name; });
    tracked.name_known = known != agents.end() && known->id().name() == id.name;
    tracked.superseded = tracked.name_known && known->id().incarnation() > id.incarnation;
    tracked.registered = tracked.name_known && known->id().incarnation() == id.incarnation &&
                         (!tracked.linked || (known->zone() == tracked.registration.zone() &&
                                              known->service() == tracked.registration.service()));
    tracked.removal_applied =
        tracked.removal_applied || (tracked.removal_appended && state.was_agent_removed(id));
}

void membership::decide_agents_joined(round& round)
{
    if (this->last_batch && round.now - *this->last_batch < this->options.agent_batch_interval)
    {
        return;
    }
    wire::agents_joined batch;
    for (auto const& [id, tracked] : this->agents)
    {
        if (!tracked.linked || tracked.registered || tracked.superseded ||
            batch.agents_size() >= max_agents_per_record ||
            (!tracked.name_known && !round.has_live_majority && !round.state.agents().empty()) ||
            round.now - tracked.since < this->rank_delay(round, id.name) ||
            !this->begin_append("agent in " + internal::describe(id), round.now))
        {
            continue;
        }
        *batch.add_agents() = tracked.registration;
    }
    if (batch.agents_size() > 0)
    {
        this->last_batch = round.now;
        *round.add_record().mutable_agents_in() = std::move(batch);
    }
}

void membership::decide_agents_removed(round& round)
{
    if (!round.has_live_majority)
    {
        return;
    }
    wire::agents_removed batch;
    for (auto& [id, tracked] : this->agents)
    {
        auto const unlinked_time = round.now - tracked.since;
        if (tracked.linked || !tracked.registered || tracked.removal_applied ||
            batch.agents_size() >= max_agents_per_record ||
            unlinked_time < this->options.agent_timeout ||
            unlinked_time < this->options.agent_timeout + this->rank_delay(round, id.name) ||
            !this->begin_append("agent out " + internal::describe(id), round.now))
        {
            continue;
        }
        tracked.removal_appended = true;
        *batch.add_agents() = wire::to_wire(id);
    }
    if (batch.agents_size() > 0)
    {
        *round.add_record().mutable_agents_out() = std::move(batch);
    }
}

} // namespace filbertroad::control

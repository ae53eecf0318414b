#include "filbertroad/submission/internal/agent_table.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace filbertroad::submission::internal
{

void agent_table::set_registered(std::span<wire::agent const> agents,
                                 std::span<model::process_id const> former, base::steady_time now)
{
    for (auto& [id, record] : this->records)
    {
        record.recently_registered = false;
        record.registered = false;
    }
    for (auto const& agent : agents)
    {
        auto const id = wire::to_model(agent.id());
        auto const [position, is_new] = this->records.try_emplace(id);
        auto& record = position->second;
        if (is_new)
        {
            record.id = id;
            record.zone = agent.zone();
            record.unlinked_since = now;
        }
        record.recently_registered = true;
        record.registered = std::find(former.begin(), former.end(), id) == former.end();
        this->mark_replaced(id);
    }
}

agent_record& agent_table::set_linked(wire::agent_hello const& hello, base::steady_time now)
{
    auto const id = wire::to_model(hello.id());
    auto& record = this->records[id];
    record.id = id;
    record.zone = hello.zone();
    record.linked = true;
    record.unlinked_since = now;
    this->mark_replaced(id);
    this->set_target(record, hello.target());
    return record;
}

void agent_table::set_target(agent_record& agent, wire::target_description const& target)
{
    agent.target = target;
    if (!agent.replaced && !target.name().empty())
    {
        this->by_target[target.name()] = &agent;
    }
}

agent_record* agent_table::find(model::process_id const& id)
{
    auto const found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

agent_record* agent_table::startable_for_target(std::string_view target)
{
    auto const found = this->by_target.find(std::string(target));
    return found != this->by_target.end() && found->second->may_start() ? found->second : nullptr;
}

std::optional<std::uint64_t> agent_table::newer_incarnation(model::process_id const& id) const
{
    auto const next = this->records.upper_bound(id);
    if (next == this->records.end() || next->first.name != id.name)
    {
        return std::nullopt;
    }
    return next->first.incarnation;
}

void agent_table::remove_unused()
{
    for (auto record = this->records.begin(); record != this->records.end();)
    {
        auto const& agent = record->second;
        if (agent.recently_registered || agent.linked || !agent.tasks.empty())
        {
            ++record;
            continue;
        }
        auto const position = this->by_target.find(agent.target.name());
        if (position != this->by_target.end() && position->second == &agent)
        {
            this->by_target.erase(position);
        }
        record = this->records.erase(record);
    }
}

void agent_table::mark_replaced(model::process_id const& newest)
{
    auto const first = this->records.lower_bound({newest.name, 0});
    auto const last =
        this->records.upper_bound({newest.name, std::numeric_limits<std::uint64_t>::max()});
    for (auto record = first; record != last; ++record)
    {
        record->second.replaced = std::next(record) != last;
    }
}

} // namespace filbertroad::submission::internal

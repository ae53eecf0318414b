#include "filbertroad/server/shard_registry.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/server/internal/hosted_shard.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace filbertroad::server
{
namespace
{

template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
// clang 14 does not deduce the arguments of aggregate templates without this guide.
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

shard_registry::shard_registry(base::clock const& clock, model::process_id self,
                               submission::owner_options options, std::uint32_t max_queued_tasks,
                               shard_callbacks callbacks)
    : clock(clock), self(std::move(self)), options(options), max_queued_tasks(max_queued_tasks),
      callbacks(std::move(callbacks))
{
}

shard_registry::~shard_registry() = default;

shard_registry::shard_ptr shard_registry::find(shard_id const& id) const
{
    std::shared_lock const guard(this->lock);
    auto const found = this->hosted.find(id);
    return found == this->hosted.end() ? nullptr : found->second;
}

std::vector<std::pair<shard_id, shard_registry::shard_ptr>> shard_registry::all_shards() const
{
    std::shared_lock const guard(this->lock);
    return {this->hosted.begin(), this->hosted.end()};
}

shard_registry::shard_ptr shard_registry::get_or_create(shard_id const& id)
{
    std::unique_lock const guard(this->lock);
    auto& slot = this->hosted[id];
    if (!slot)
    {
        auto queue = scheduling::scheduler::builder()
                         .seed(base::hash64(id.service, this->self.incarnation + id.shard))
                         .max_queued_tasks(this->max_queued_tasks)
                         .max_queued_bytes(this->options.max_bytes)
                         .build();
        slot = std::make_shared<hosted_shard>(submission::shard_owner(
            this->self, id.service, id.shard, this->options, std::move(queue)));
    }
    return slot;
}

void shard_registry::execute_actions(shard_id const& id, hosted_shard& shard,
                                     std::vector<std::function<void()>>& deferred_calls)
{
    auto const to_agent = [&](model::process_id const& agent, auto&& fill)
    {
        wire::link_message message;
        fill(message);
        this->callbacks.to_agent(agent, shard.agent_links[agent], message);
    };
    auto const defer_response =
        [&shard, &deferred_calls](std::uint64_t number, shard_response response)
    {
        auto found = shard.pending_requests.extract(number);
        if (!found.empty())
        {
            deferred_calls.push_back([handler = std::move(found.mapped()),
                                      response = std::move(response)] { handler(response); });
        }
    };
    auto const execute_action = overloaded{
        [&](submission::send_start& action)
        { to_agent(action.agent, [&](auto& m) { *m.mutable_start() = std::move(action.start); }); },
        [&](submission::send_cancel& action) {
            to_agent(action.agent,
                     [&](auto& m) { *m.mutable_cancel() = std::move(action.cancel); });
        },
        [&](submission::send_finished_ack& action) {
            to_agent(action.agent,
                     [&](auto& m) { *m.mutable_finished_ack() = std::move(action.ack); });
        },
        [&](submission::send_fence& action)
        { to_agent(action.agent, [&](auto& m) { *m.mutable_fence() = std::move(action.fence); }); },
        [&](submission::send_lookup& action)
        {
            // Deferred until the lock is released: if the send fails, lookup_answered() is called
            // at once and takes the lock again.
            deferred_calls.push_back([this, id, action]
                                     { this->callbacks.lookup(id, action.member, action.lookup); });
        },
        [&](submission::reply& action)
        {
            std::visit([&](auto& response)
                       { defer_response(action.request_number, std::move(response)); },
                       action.answer);
        },
        [&](submission::forward& action) { defer_response(action.request_number, action.member); },
    };
    for (auto& action : shard.owner.take_actions())
    {
        std::visit(execute_action, action);
    }
}

void shard_registry::record_table_changes(control::control_state const& state)
{
    auto const tables_version = std::max(state.routes_version(), state.pools_version());
    for (auto const& pool : state.pools().pools())
    {
        auto& service = this->services[pool.service()];
        if (service.shards != std::max(1U, pool.shards()))
        {
            service.shards = std::max(1U, pool.shards());
            service.epoch = tables_version;
        }
    }
    for (auto const& route : state.routes().routes())
    {
        auto const* const pool = state.find_pool(route.pool());
        if (pool == nullptr)
        {
            continue;
        }
        auto const [route_service, is_new] =
            this->route_services.try_emplace(route.name(), pool->service());
        // A process that has just started cannot tell a new route from a route that has moved from
        // another service, so it treats all routes as moved.
        if ((is_new && !this->tables_loaded) || route_service->second != pool->service())
        {
            auto& service = this->services[pool->service()];
            service.epoch = tables_version;
            service.routes_changed = true;
            route_service->second = pool->service();
        }
    }
    this->tables_loaded = this->tables_loaded || state.routes_version() > 0;
}

base::system_time shard_registry::oldest_key_time() const
{
    return this->clock.system_now() - this->options.key_retention - 2 * this->options.clock_skew;
}

submission::ownership shard_registry::common_ownership(control::control_state const& state) const
{
    submission::ownership common;
    common.removed = state.members_removed_since(this->oldest_key_time());
    for (auto const& member : state.members())
    {
        if (auto const id = wire::to_model(member.id()); id != this->self)
        {
            common.other_members.push_back(id);
        }
        else
        {
            common.leaving = member.leaving();
        }
    }
    return common;
}

void shard_registry::apply_state(control::control_state const& state,
                                 std::span<linked_agent const> linked)
{
    this->record_table_changes(state);
    for (auto const& [service, record] : this->services)
    {
        for (std::uint32_t shard = 0; shard < record.shards; ++shard)
        {
            this->get_or_create({service, shard});
        }
    }
    for (auto const& agent : linked)
    {
        this->agent_linked(state, agent);
    }
    auto const common = this->common_ownership(state);
    for (auto const& [id, shard] : this->all_shards())
    {
        this->apply_to_shard(state, id, *shard, common);
    }
    for (auto& [service, record] : this->services)
    {
        record.routes_changed = false;
    }
    this->applied_version = state.version();
}

void shard_registry::apply_to_shard(control::control_state const& state, shard_id const& id,
                                    hosted_shard& shard, submission::ownership ownership)
{
    auto const& service = this->services[id.service];
    auto const owner = state.owner_of(id.service, id.shard);
    ownership.view = std::max(state.view(), service.epoch);
    ownership.is_owner = owner && wire::to_model(owner->id()) == this->self;
    ownership.shards = std::max(1U, service.shards);
    std::set<model::process_id> registered;
    for (auto const& agent : state.agents())
    {
        registered.insert(wire::to_model(agent.id()));
    }
    ownership.agents = state.agents_registered_since(id.service, this->oldest_key_time());
    for (auto const& agent : ownership.agents)
    {
        if (auto const name = wire::to_model(agent.id()); !registered.contains(name))
        {
            ownership.unregistered_agents.push_back(name);
        }
    }
    auto const teams = shard_team_limits(state);
    this->run_locked(id, shard,
                     [&](hosted_shard& hosted, base::steady_time now, base::system_time wall)
                     {
                         hosted.is_owner = ownership.is_owner;
                         hosted.owner.set_teams(teams);
                         hosted.owner.set_ownership(ownership, now, wall);
                         if (service.routes_changed)
                         {
                             hosted.owner.routes_changed(now);
                         }
                         for (auto const& [target, zone] : hosted.target_zones)
                         {
                             hosted.owner.set_target_in_service(
                                 target,
                                 state.zone(zone).in_service() && state.target(target).in_service(),
                                 now);
                         }
                     });
}

void shard_registry::agent_linked(control::control_state const& state, linked_agent const& agent)
{
    auto const& target = agent.hello.target();
    auto const id = shard_of_target(state, target.service(), target.name());
    auto const shard = id ? this->find(*id) : nullptr;
    if (!shard)
    {
        return;
    }
    auto const name = wire::to_model(agent.hello.id());
    {
        std::unique_lock const guard(this->lock);
        this->agent_shards.insert_or_assign(name, *id);
    }
    this->run_locked(*id, *shard,
                     [&](hosted_shard& hosted, base::steady_time now, base::system_time)
                     {
                         auto& newest_link = hosted.agent_links[name];
                         if (newest_link >= agent.link)
                         {
                             return;
                         }
                         newest_link = agent.link;
                         hosted.target_zones[target.name()] = agent.hello.zone();
                         hosted.owner.agent_linked(agent.hello, now);
                         hosted.owner.set_target_in_service(
                             target.name(),
                             state.zone(agent.hello.zone()).in_service() &&
                                 state.target(target.name()).in_service(),
                             now);
                     });
}

std::optional<shard_id> shard_registry::shard_of_agent(model::process_id const& agent) const
{
    std::shared_lock const guard(this->lock);
    auto const found = this->agent_shards.find(agent);
    return found == this->agent_shards.end() ? std::nullopt : std::optional(found->second);
}

void shard_registry::agent_unlinked(model::process_id const& agent, std::uint64_t link)
{
    auto const id = this->shard_of_agent(agent);
    auto const shard = id ? this->find(*id) : nullptr;
    if (!shard)
    {
        return;
    }
    this->run_locked(*id, *shard,
                     [&](hosted_shard& hosted, base::steady_time now, base::system_time)
                     {
                         if (hosted.agent_links[agent] <= link)
                         {
                             hosted.owner.agent_unlinked(agent, now);
                         }
                     });
}

void shard_registry::agent_message_received(model::process_id const& agent, std::uint64_t link,
                                            wire::link_message& message)
{
    auto const id = this->shard_of_agent(agent);
    auto const shard = id ? this->find(*id) : nullptr;
    if (!shard)
    {
        return;
    }
    this->run_locked(*id, *shard,
                     [&](hosted_shard& hosted, base::steady_time now, base::system_time wall)
                     {
                         if (hosted.agent_links[agent] != link)
                         {
                             return;
                         }
                         if (message.has_finished())
                         {
                             hosted.owner.task_finished(agent, message.finished(), now, wall);
                         }
                         else if (message.has_refused())
                         {
                             hosted.owner.start_refused(agent, message.refused(), now);
                         }
                         else if (message.has_ledger())
                         {
                             hosted.owner.ledger_reported(message.ledger(), now, wall);
                         }
                         else if (message.has_target())
                         {
                             hosted.owner.target_changed(agent, message.target(), now);
                         }
                     });
}

void shard_registry::lookup_answered(shard_id const& id, model::process_id const& member,
                                     wire::lookup const& sent_lookup,
                                     std::optional<wire::lookup_reply> const& reply)
{
    auto const shard = this->find(id);
    if (!shard)
    {
        return;
    }
    this->run_locked(id, *shard,
                     [&](hosted_shard& hosted, base::steady_time now, base::system_time)
                     {
                         if (reply)
                         {
                             hosted.owner.lookup_answered(member, sent_lookup, *reply, now);
                         }
                         else
                         {
                             hosted.owner.lookup_failed(member, sent_lookup, now);
                         }
                     });
}

} // namespace filbertroad::server

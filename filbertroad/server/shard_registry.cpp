#include "filbertroad/server/shard_registry.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/wire/process_ids.hpp"

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
// clang 14 does not deduce aggregates without this guide.
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

std::uint32_t shard_count(control::control_state const& state, std::string_view service)
{
    for (auto const& pool : state.pools().pools())
    {
        if (pool.service() == service)
        {
            return std::max(1U, pool.shards());
        }
    }
    return 0;
}

std::uint32_t total_shards(control::control_state const& state)
{
    std::set<std::string> services;
    std::uint32_t total = 0;
    for (auto const& pool : state.pools().pools())
    {
        if (services.insert(pool.service()).second)
        {
            total += std::max(1U, pool.shards());
        }
    }
    return std::max(1U, total);
}

std::vector<scheduling::team_limits> team_limits_of(control::control_state const& state)
{
    // The quota of a region is split evenly over all shards, so that owners need not agree on it.
    auto const parts = total_shards(state);
    std::vector<scheduling::team_limits> teams;
    for (auto const& team : state.teams().teams())
    {
        teams.push_back({.name = team.name(),
                         .weight = team.weight(),
                         .max_running = (team.max_running() + parts - 1) / parts,
                         .max_queued = team.max_queued()});
    }
    return teams;
}

} // namespace

std::optional<shard_id> shard_of_target(control::control_state const& state,
                                        std::string const& service, std::string const& target)
{
    auto const shards = shard_count(state, service);
    if (shards == 0)
    {
        return std::nullopt;
    }
    return shard_id{service, model::shard_of_key(target, shards)};
}

std::optional<route_target> resolve_route(control::control_state const& state,
                                          std::string const& route, std::string const& key)
{
    auto const* const found = state.find_route(route);
    auto const* const pool = found == nullptr ? nullptr : state.find_pool(found->pool());
    if (pool == nullptr)
    {
        return std::nullopt;
    }
    route_target result;
    result.id = {pool->service(), model::shard_of_key(key, std::max(1U, pool->shards()))};
    result.limits.placement.zones.assign(pool->zones().begin(), pool->zones().end());
    result.limits.placement.labels.assign(pool->labels().begin(), pool->labels().end());
    result.limits.task_timeout = std::chrono::milliseconds(found->task_timeout_ms());
    return result;
}

struct shard_registry::hosted_shard
{
    explicit hosted_shard(submission::shard_owner owner) : owner(std::move(owner)) {}

    std::mutex shard_lock;
    submission::shard_owner owner;
    std::unordered_map<std::uint64_t, shard_handler> waiting;
    bool is_owner = false;
    /// Newest link of each agent.
    std::unordered_map<model::process_id, std::uint64_t> agent_links;
    /// Zone of each target that was linked.
    std::map<std::string, std::string> target_zones;
};

shard_registry::shard_registry(base::clock const& clock, model::process_id self,
                               submission::owner_options options, std::uint32_t max_queued_tasks,
                               shard_senders senders)
    : clock(clock), self(std::move(self)), options(options), max_queued_tasks(max_queued_tasks),
      senders(std::move(senders))
{
}

shard_registry::~shard_registry() = default;

shard_registry::shard_ptr shard_registry::find(shard_id const& id) const
{
    std::shared_lock const guard(this->lock);
    auto const found = this->hosted.find(id);
    return found == this->hosted.end() ? nullptr : found->second;
}

std::vector<std::pair<shard_id, shard_registry::shard_ptr>> shard_registry::all() const
{
    std::shared_lock const guard(this->lock);
    return {this->hosted.begin(), this->hosted.end()};
}

shard_registry::shard_ptr shard_registry::create(shard_id const& id)
{
    std::unique_lock const guard(this->lock);
    auto& entry = this->hosted[id];
    if (!entry)
    {
        auto queue = scheduling::scheduler::builder()
                         .seed(base::hash64(id.service, this->self.incarnation + id.shard))
                         .max_queued_tasks(this->max_queued_tasks)
                         .max_queued_bytes(this->options.max_bytes)
                         .build();
        entry = std::make_shared<hosted_shard>(submission::shard_owner(
            this->self, id.service, id.shard, this->options, std::move(queue)));
    }
    return entry;
}

template <class Function>
void shard_registry::run(shard_id const& id, hosted_shard& shard, Function const& function)
{
    std::vector<std::function<void()>> answers;
    {
        std::lock_guard const guard(shard.shard_lock);
        auto const now = this->clock.steady_now();
        shard.owner.set_confirmed(this->senders.is_confirmed(), now);
        function(shard, now, this->clock.system_now());
        this->perform(id, shard, answers);
    }
    for (auto const& answer : answers)
    {
        answer();
    }
}

void shard_registry::perform(shard_id const& id, hosted_shard& shard,
                             std::vector<std::function<void()>>& answers)
{
    auto const to_agent = [this](model::process_id const& agent, auto&& fill)
    {
        wire::link_message message;
        fill(message);
        this->senders.to_agent(agent, message);
    };
    auto const answer = [&shard, &answers](std::uint64_t number, shard_answer content)
    {
        auto found = shard.waiting.extract(number);
        if (!found.empty())
        {
            answers.push_back([handler = std::move(found.mapped()), content = std::move(content)]
                              { handler(content); });
        }
    };
    auto const perform_one = overloaded{
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
            // Sent after the lock is released: a failed send is answered at once.
            answers.push_back([this, id, action]
                              { this->senders.lookup(id, action.member, action.lookup); });
        },
        [&](submission::reply& action)
        {
            std::visit([&](auto& content) { answer(action.request_number, std::move(content)); },
                       action.answer);
        },
        [&](submission::forward& action) { answer(action.request_number, action.member); },
    };
    for (auto& action : shard.owner.take_actions())
    {
        std::visit(perform_one, action);
    }
}

void shard_registry::note_tables(control::control_state const& state)
{
    auto const newest = std::max(state.routes_version(), state.pools_version());
    for (auto const& pool : state.pools().pools())
    {
        auto& service = this->services[pool.service()];
        if (service.shards != std::max(1U, pool.shards()))
        {
            service.shards = std::max(1U, pool.shards());
            service.epoch = newest;
        }
    }
    for (auto const& route : state.routes().routes())
    {
        auto const* const pool = state.find_pool(route.pool());
        if (pool == nullptr)
        {
            continue;
        }
        auto const [known, is_new] =
            this->route_services.try_emplace(route.name(), pool->service());
        // A process that has just started cannot tell a new route from one that moved.
        if ((is_new && !this->has_tables) || known->second != pool->service())
        {
            auto& service = this->services[pool->service()];
            service.epoch = newest;
            service.routes_changed = true;
            known->second = pool->service();
        }
    }
    this->has_tables = this->has_tables || state.routes_version() > 0;
}

submission::ownership shard_registry::common_ownership(control::control_state const& state) const
{
    submission::ownership common;
    common.removed = state.removed_since(this->clock.system_now() - this->options.key_retention);
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
    this->note_tables(state);
    for (auto const& [service, record] : this->services)
    {
        for (std::uint32_t shard = 0; shard < record.shards; ++shard)
        {
            this->create({service, shard});
        }
    }
    for (auto const& agent : linked)
    {
        this->agent_linked(state, agent);
    }
    auto const common = this->common_ownership(state);
    for (auto const& [id, shard] : this->all())
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
    ownership.agents =
        state.agents_since(id.service, this->clock.system_now() - this->options.key_retention);
    for (auto const& agent : ownership.agents)
    {
        if (auto const name = wire::to_model(agent.id()); !registered.contains(name))
        {
            ownership.former_agents.push_back(name);
        }
    }
    auto const teams = team_limits_of(state);
    this->run(id, shard,
              [&](hosted_shard& hosted, base::steady_time now, base::system_time wall)
              {
                  hosted.is_owner = ownership.is_owner;
                  hosted.owner.set_teams(teams);
                  hosted.owner.set_ownership(ownership, now, wall);
                  if (service.routes_changed)
                  {
                      hosted.owner.routes_changed(wall);
                  }
                  for (auto const& [target, zone] : hosted.target_zones)
                  {
                      hosted.owner.set_target_in_service(
                          target,
                          state.zone(zone).in_service() && state.target(target).in_service(), now);
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
    this->run(*id, *shard,
              [&](hosted_shard& hosted, base::steady_time now, base::system_time)
              {
                  auto& newest = hosted.agent_links[name];
                  if (newest >= agent.link)
                  {
                      return;
                  }
                  newest = agent.link;
                  hosted.target_zones[target.name()] = agent.hello.zone();
                  hosted.owner.agent_linked(agent.hello, now);
                  hosted.owner.set_target_in_service(target.name(),
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
    this->run(*id, *shard,
              [&](hosted_shard& hosted, base::steady_time now, base::system_time)
              {
                  if (hosted.agent_links[agent] <= link)
                  {
                      hosted.owner.agent_unlinked(agent, now);
                  }
              });
}

void shard_registry::agent_message(model::process_id const& agent, std::uint64_t link,
                                   wire::link_message& message)
{
    auto const id = this->shard_of_agent(agent);
    auto const shard = id ? this->find(*id) : nullptr;
    if (!shard)
    {
        return;
    }
    this->run(*id, *shard,
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
                                     wire::lookup const& asked,
                                     std::optional<wire::lookup_reply> const& reply)
{
    auto const shard = this->find(id);
    if (!shard)
    {
        return;
    }
    this->run(id, *shard,
              [&](hosted_shard& hosted, base::steady_time now, base::system_time)
              {
                  if (reply)
                  {
                      hosted.owner.lookup_answered(member, asked, *reply, now);
                  }
                  else
                  {
                      hosted.owner.lookup_failed(member, asked, now);
                  }
              });
}

template <class Function>
bool shard_registry::request(shard_id const& id, shard_handler handler, Function const& function)
{
    auto const shard = this->find(id);
    if (!shard)
    {
        return false;
    }
    auto const number = this->next_request++;
    this->run(id, *shard,
              [&](hosted_shard& hosted, base::steady_time now, base::system_time wall)
              {
                  hosted.waiting[number] = std::move(handler);
                  function(hosted.owner, number, now, wall);
              });
    return true;
}

bool shard_registry::submit(shard_id const& id, wire::submit_request const& request,
                            submission::job_limits const& limits, shard_handler handler)
{
    return this->request(id, std::move(handler),
                         [&](auto& owner, std::uint64_t number, auto now, auto wall)
                         { owner.submit(number, request, limits, now, wall); });
}

bool shard_registry::query(shard_id const& id, wire::job_query const& query, shard_handler handler)
{
    return this->request(id, std::move(handler),
                         [&](auto& owner, std::uint64_t number, auto now, auto wall)
                         { owner.query(number, query, now, wall); });
}

bool shard_registry::cancel(shard_id const& id, wire::job_query const& query, shard_handler handler)
{
    return this->request(id, std::move(handler),
                         [&](auto& owner, std::uint64_t number, auto now, auto wall)
                         { owner.cancel(number, query, now, wall); });
}

bool shard_registry::acknowledge(shard_id const& id, wire::job_query const& query,
                                 shard_handler handler)
{
    return this->request(id, std::move(handler),
                         [&](auto& owner, std::uint64_t number, auto now, auto wall)
                         { owner.acknowledge(number, query, now, wall); });
}

wire::lookup_reply shard_registry::answer_lookup(wire::lookup const& lookup) const
{
    wire::lookup_reply result;
    result.set_current(this->applied_version >= lookup.view());
    result.set_held(this->find_holder(lookup.route(), lookup.key()).has_value());
    return result;
}

std::optional<shard_id> shard_registry::find_holder(std::string const& route,
                                                    std::string const& key) const
{
    wire::lookup lookup;
    lookup.set_route(route);
    lookup.set_key(key);
    for (auto const& [id, shard] : this->all())
    {
        std::lock_guard const guard(shard->shard_lock);
        if (shard->owner.answer_lookup(lookup).held())
        {
            return id;
        }
    }
    return std::nullopt;
}

void shard_registry::tick()
{
    for (auto const& [id, shard] : this->all())
    {
        this->run(id, *shard,
                  [](hosted_shard& hosted, base::steady_time now, base::system_time wall)
                  { hosted.owner.tick(now, wall); });
    }
}

bool shard_registry::is_idle() const
{
    auto const shards = this->all();
    return std::all_of(shards.begin(), shards.end(),
                       [](auto const& entry)
                       {
                           std::lock_guard const guard(entry.second->shard_lock);
                           return entry.second->owner.is_idle() && entry.second->waiting.empty();
                       });
}

std::vector<shard_id> shard_registry::shards() const
{
    std::vector<shard_id> result;
    for (auto const& [id, shard] : this->all())
    {
        result.push_back(id);
    }
    return result;
}

wire::handover shard_registry::take_handover(shard_id const& id)
{
    auto const shard = this->find(id);
    if (!shard)
    {
        return {};
    }
    std::lock_guard const guard(shard->shard_lock);
    return shard->owner.take_handover();
}

void shard_registry::accept_handover(control::control_state const& state,
                                     wire::handover const& jobs)
{
    std::map<shard_id, wire::handover> parts;
    for (auto const& job : jobs.jobs())
    {
        if (auto const route = resolve_route(state, job.route(), job.key()))
        {
            *parts[route->id].add_jobs() = job;
        }
    }
    for (auto const& request : jobs.requests())
    {
        if (auto const route = resolve_route(state, request.route(), request.key()))
        {
            *parts[route->id].add_requests() = request;
        }
    }
    for (auto const& item : parts)
    {
        auto const& id = item.first;
        auto const& part = item.second;
        auto const shard = this->create(id);
        this->run(id, *shard,
                  [&part](hosted_shard& hosted, base::steady_time now, base::system_time wall)
                  { hosted.owner.accept_handover(part, now, wall); });
    }
}

void shard_registry::add_status(wire::status_reply& reply) const
{
    for (auto const& [id, shard] : this->all())
    {
        std::lock_guard const guard(shard->shard_lock);
        auto const queue = shard->owner.queue_status();
        if (!shard->is_owner && queue.queued() + queue.running() == 0)
        {
            continue;
        }
        *reply.add_queues() = queue;
        for (auto const& target : shard->owner.target_status())
        {
            *reply.add_targets() = target;
        }
    }
}

} // namespace filbertroad::server

#include "filbertroad/server/internal/hosted_shard.hpp"
#include "filbertroad/server/shard_registry.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::server
{

template <class Function>
bool shard_registry::start_request(shard_id const& id, shard_response_handler handler,
                                   Function const& function)
{
    auto const shard = this->find(id);
    if (!shard)
    {
        return false;
    }
    auto const request_number = this->next_request++;
    this->run_locked(id, *shard,
                     [&](hosted_shard& hosted, base::steady_time now, base::system_time wall)
                     {
                         hosted.pending_requests[request_number] = std::move(handler);
                         function(hosted.owner, request_number, now, wall);
                     });
    return true;
}

bool shard_registry::submit(shard_id const& id, wire::submit_request const& request,
                            submission::job_limits const& limits, shard_response_handler handler)
{
    return this->start_request(id, std::move(handler),
                               [&](auto& owner, std::uint64_t request_number, auto now, auto wall)
                               { owner.submit(request_number, request, limits, now, wall); });
}

bool shard_registry::query(shard_id const& id, wire::job_query const& query,
                           shard_response_handler handler)
{
    return this->start_request(id, std::move(handler),
                               [&](auto& owner, std::uint64_t request_number, auto now, auto wall)
                               { owner.query(request_number, query, now, wall); });
}

bool shard_registry::cancel(shard_id const& id, wire::job_query const& query,
                            shard_response_handler handler)
{
    return this->start_request(id, std::move(handler),
                               [&](auto& owner, std::uint64_t request_number, auto now, auto wall)
                               { owner.cancel(request_number, query, now, wall); });
}

bool shard_registry::acknowledge(shard_id const& id, wire::job_query const& query,
                                 shard_response_handler handler)
{
    return this->start_request(id, std::move(handler),
                               [&](auto& owner, std::uint64_t request_number, auto now, auto wall)
                               { owner.acknowledge(request_number, query, now, wall); });
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
    for (auto const& [id, shard] : this->all_shards())
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
    for (auto const& [id, shard] : this->all_shards())
    {
        this->run_locked(id, *shard,
                         [](hosted_shard& hosted, base::steady_time now, base::system_time wall)
                         { hosted.owner.tick(now, wall); });
    }
}

bool shard_registry::is_idle() const
{
    auto const shards = this->all_shards();
    return std::all_of(shards.begin(), shards.end(),
                       [](auto const& item)
                       {
                           std::lock_guard const guard(item.second->shard_lock);
                           return item.second->owner.is_idle() &&
                                  item.second->pending_requests.empty();
                       });
}

std::vector<shard_id> shard_registry::shards() const
{
    std::vector<shard_id> result;
    for (auto const& [id, shard] : this->all_shards())
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
        auto const shard = this->get_or_create(id);
        this->run_locked(
            id, *shard,
            [&part](hosted_shard& hosted, base::steady_time now, base::system_time wall)
            { hosted.owner.accept_handover(part, now, wall); });
    }
}

void shard_registry::add_status(wire::status_reply& reply) const
{
    for (auto const& [id, shard] : this->all_shards())
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

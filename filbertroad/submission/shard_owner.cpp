#include "filbertroad/submission/shard_owner.hpp"

#include "filbertroad/submission/internal/owner_state.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission
{
namespace
{

scheduling::start_refusal to_scheduling(wire::refusal reason)
{
    switch (reason)
    {
    case wire::refusal_no_slot:
    case wire::refusal_ledger_full:
    case wire::refusal_target_refused:
        return scheduling::start_refusal::no_slot;
    case wire::refusal_target_unreachable:
        return scheduling::start_refusal::unreachable;
    default:
        return scheduling::start_refusal::not_accepting;
    }
}

} // namespace

shard_owner::shard_owner(model::process_id self, std::string service, std::uint32_t shard,
                         owner_options options, scheduling::scheduler scheduler)
    : impl(std::make_unique<state>(std::move(self), std::move(service), shard, options,
                                   std::move(scheduler)))
{
}

shard_owner::shard_owner(shard_owner&&) noexcept = default;
shard_owner& shard_owner::operator=(shard_owner&&) noexcept = default;
shard_owner::~shard_owner() = default;

void shard_owner::set_ownership(ownership const& current, base::steady_time now,
                                base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->set_ownership(current);
}

void shard_owner::routes_changed(base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    state.ownership_changed_at = state.now;
    state.owner_since = state.now;
}

void shard_owner::set_confirmed(bool confirmed, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    if (std::exchange(state.confirmed, confirmed) != confirmed && confirmed)
    {
        state.try_complete_lookups();
    }
}

void shard_owner::set_teams(std::span<scheduling::team_limits const> teams)
{
    this->impl->scheduler.set_teams(teams);
}

void shard_owner::set_target_in_service(std::string_view target, bool in_service,
                                        base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    if (in_service)
    {
        state.targets_out_of_service.erase(std::string(target));
    }
    else
    {
        state.targets_out_of_service.emplace(target);
    }
    for (auto& [id, agent] : state.agents.all())
    {
        if (agent.target.name() == target)
        {
            state.update_target_availability(agent);
        }
    }
}

void shard_owner::agent_linked(wire::agent_hello const& hello, base::steady_time now)
{
    this->impl->advance(now);
    this->impl->agent_linked(hello);
}

void shard_owner::agent_unlinked(model::process_id const& agent, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto* const found = state.agents.find(agent);
    if (found == nullptr || !found->linked)
    {
        return;
    }
    found->linked = false;
    found->unlinked_since = state.now;
    state.update_target_availability(*found);
}

void shard_owner::target_changed(model::process_id const& agent,
                                 wire::target_description const& target, base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto* const found = state.agents.find(agent);
    if (found == nullptr || !found->linked)
    {
        return;
    }
    if (found->announced && found->target.name() != target.name())
    {
        found->announced = false;
        state.scheduler.remove_target(found->target.name(), state.now);
    }
    state.agents.set_target(*found, target);
    state.announce_target(*found);
}

void shard_owner::start_refused(model::process_id const& agent, wire::start_refused const& refused,
                                base::steady_time now)
{
    auto& state = *this->impl;
    state.advance(now);
    auto* const found = state.agents.find(agent);
    auto* const job = state.jobs.find(wire::job_id_of(refused.task()));
    // A refusal with refusal_stale_link concerns a start that was sent on an earlier link. The
    // hello of the newer link has already decided that start, and the task may have been resent
    // since.
    if (found == nullptr || !found->linked || job == nullptr || job->has_ended() ||
        refused.task().index() >= job->task_count || refused.reason() == wire::refusal_stale_link)
    {
        return;
    }
    auto const index = refused.task().index();
    auto const& task = job->content->tasks[index];
    if (!internal::is_at_agent(task.state) || task.agent != found)
    {
        return;
    }
    state.record_history(*job, index, internal::history_event::refused, found->target.name(),
                         refused.reason());
    state.requeue(*job, index, internal::task_event::refused, to_scheduling(refused.reason()));
}

void shard_owner::task_finished(model::process_id const& agent, wire::task_result const& result,
                                base::steady_time now, base::system_time wall)
{
    auto& state = *this->impl;
    state.advance(now, wall);
    if (auto* const found = state.agents.find(agent))
    {
        state.handle_result(*found, result, result.task());
    }
}

void shard_owner::ledger_reported(wire::ledger_report const& report, base::steady_time now,
                                  base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->ledger_reported(report);
}

void shard_owner::submit(std::uint64_t request_number, wire::submit_request const& request,
                         job_limits const& limits, base::steady_time now, base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->handle(request_number, internal::submit_call{request, limits}, false);
}

void shard_owner::query(std::uint64_t request_number, wire::job_query const& query,
                        base::steady_time now, base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->handle(request_number, internal::query_call{query}, false);
}

void shard_owner::cancel(std::uint64_t request_number, wire::job_query const& query,
                         base::steady_time now, base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->handle(request_number, internal::cancel_call{query}, false);
}

void shard_owner::acknowledge(std::uint64_t request_number, wire::job_query const& query,
                              base::steady_time now, base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->handle(request_number, internal::acknowledge_call{query}, false);
}

void shard_owner::request_abandoned(std::uint64_t request_number)
{
    auto& state = *this->impl;
    if (auto const request = state.waiting_requests.take(request_number))
    {
        auto* const job = state.jobs.find(request->job);
        if (job != nullptr && job->content)
        {
            std::erase(job->content->waiting_request_numbers, request_number);
        }
        return;
    }
    for (auto& [id, lookup] : state.key_lookups)
    {
        std::erase_if(lookup.calls,
                      [&](internal::pending_call const& call)
                      {
                          if (call.request_number != request_number)
                          {
                              return false;
                          }
                          state.lookup_bytes -= call.bytes;
                          return true;
                      });
    }
}

void shard_owner::tick(base::steady_time now, base::system_time wall)
{
    this->impl->advance(now, wall);
    this->impl->tick();
    this->impl->dispatch();
}

std::vector<action> shard_owner::take_actions()
{
    // Dispatches here as well, so that starts do not wait for the next tick.
    this->impl->dispatch();
    return this->impl->outbox.take();
}

bool shard_owner::is_idle() const
{
    return this->impl->jobs.unfinished_jobs().empty();
}

wire::queue_status shard_owner::queue_status() const
{
    auto const& state = *this->impl;
    auto const scheduler_status = state.scheduler.queue();
    wire::queue_status status;
    status.set_service(state.service);
    status.set_shard(state.shard);
    status.set_queued(scheduler_status.queued);
    status.set_running(scheduler_status.running);
    status.set_oldest_ms(static_cast<std::uint32_t>(scheduler_status.oldest_age.count()));
    return status;
}

std::vector<wire::target_status> shard_owner::target_status() const
{
    auto const& state = *this->impl;
    std::vector<wire::target_status> statuses;
    for (auto const& scheduler_status : state.scheduler.targets())
    {
        auto& status = statuses.emplace_back();
        status.set_name(scheduler_status.name);
        status.set_zone(scheduler_status.zone);
        status.set_service(state.service);
        status.set_health(scheduler_status.health);
        status.set_slots(scheduler_status.slots);
        status.set_running(scheduler_status.running);
        status.set_speed(scheduler_status.slowness > 0 ? 1 / scheduler_status.slowness : 0);
    }
    return statuses;
}

std::size_t shard_owner::held_bytes() const
{
    return this->impl->jobs.held_bytes() + this->impl->lookup_bytes;
}

} // namespace filbertroad::submission

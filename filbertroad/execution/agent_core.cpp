#include "filbertroad/execution/agent_core.hpp"

#include "filbertroad/execution/internal/agent_core_impl.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::execution
{
namespace
{

wire::outcome to_outcome(execution_outcome outcome)
{
    switch (outcome)
    {
    case execution_outcome::succeeded:
        return wire::outcome_succeeded;
    case execution_outcome::failed:
    case execution_outcome::timed_out:
        return wire::outcome_failed;
    case execution_outcome::cancelled:
        return wire::outcome_cancelled;
    default:
        return wire::outcome_may_have_run;
    }
}

/// The refusal to report if the target did not run the task; empty if the task may have run.
std::optional<wire::refusal> to_refusal(execution_outcome outcome)
{
    switch (outcome)
    {
    case execution_outcome::refused_no_slot:
        return wire::refusal_no_slot;
    case execution_outcome::refused_late:
        return wire::refusal_not_confirmed;
    case execution_outcome::not_sent:
        return wire::refusal_target_unreachable;
    default:
        return {};
    }
}

} // namespace

agent_core::agent_core(model::process_id self, std::string zone, agent_options options)
    : impl(std::make_unique<implementation>(std::move(self), std::move(zone), options))
{
}

agent_core::agent_core(agent_core&&) noexcept = default;
agent_core& agent_core::operator=(agent_core&&) noexcept = default;
agent_core::~agent_core() = default;

void agent_core::entry_linked(wire::member const& entry, std::uint64_t link_number,
                              base::steady_time now)
{
    auto& core = *this->impl;
    auto const id = wire::to_model(entry.id());
    core.record_contact(id, now);
    auto& link = core.links[id];
    if (link_number <= link.number || core.admission.is_excluded(id))
    {
        return;
    }
    link.number = link_number;
    link.linked = true;
    core.send_hello(id, link);
    core.send_ping(id, link, now);
}

void agent_core::entry_unlinked(model::process_id const& entry, std::uint64_t link_number)
{
    auto const link = this->impl->links.find(entry);
    if (link != this->impl->links.end() && link->second.number == link_number)
    {
        link->second.linked = false;
        link->second.results_to_resend.clear();
    }
}

wire::link_message agent_core::hello() const
{
    return this->impl->make_hello();
}

void agent_core::target_announced(wire::target_description const& target, base::steady_time now)
{
    if (this->impl->admission.target_announced(target, now))
    {
        this->impl->broadcast_target();
    }
}

void agent_core::target_leaving(base::steady_time now)
{
    if (this->impl->admission.target_leaving(now))
    {
        this->impl->broadcast_target();
    }
}

void agent_core::start_draining(base::steady_time /*now*/)
{
    if (this->impl->admission.start_draining())
    {
        this->impl->broadcast_target();
    }
}

bool agent_core::is_drained() const
{
    return this->impl->ledger.unacknowledged() == 0;
}

void agent_core::pong_received(model::process_id const& entry, wire::pong const& pong,
                               base::steady_time now)
{
    this->impl->record_contact(entry, now);
    this->impl->admission.pong_received(entry, pong, now);
}

void agent_core::state_received(wire::agent_state const& state, base::steady_time /*now*/)
{
    this->impl->admission.state_received(state);
}

void agent_core::start_received(model::process_id const& entry, std::uint64_t link_number,
                                wire::start_task const& start, base::steady_time now,
                                base::system_time wall)
{
    auto& core = *this->impl;
    core.record_contact(entry, now);
    auto const task = internal::identity_of(start.task());
    bool const current = core.is_current_link(entry, link_number);
    if (core.ledger.find(task) != nullptr)
    {
        // No refusal is sent, since it would tell the sender that the task did not start.
        if (current && !core.admission.is_excluded(entry) && core.admission.is_member(entry))
        {
            core.ledger.duplicate_start_received(task, entry, now);
            core.send_result(task);
        }
        return;
    }
    if (!current)
    {
        core.send_refusal(entry, start.task(), wire::refusal_stale_link);
        return;
    }
    if (auto const reason = core.admission.find_refusal(entry, now))
    {
        core.send_refusal(entry, start.task(), *reason);
        return;
    }
    if (core.ledger.is_full())
    {
        core.send_refusal(entry, start.task(), wire::refusal_ledger_full);
        return;
    }
    core.accept_start(entry, start, now, wall);
}

void agent_core::cancel_received(wire::cancel_task const& cancel)
{
    auto const task = internal::identity_of(cancel.task());
    auto const* const record = this->impl->ledger.find(task);
    if (record != nullptr && record->state == internal::ledger_entry_state::running)
    {
        this->impl->cancelled.insert(task);
        this->impl->actions.emplace_back(cancel_on_target{cancel.task()});
    }
}

void agent_core::finished_ack_received(model::process_id const& entry,
                                       wire::finished_ack const& ack, base::steady_time now)
{
    this->impl->record_contact(entry, now);
    for (auto const& task : ack.tasks())
    {
        this->impl->ledger.acknowledge(internal::identity_of(task), entry, now);
    }
}

void agent_core::fence_received(model::process_id const& entry, wire::fence const& fence,
                                base::steady_time now)
{
    auto& core = *this->impl;
    core.record_contact(entry, now);
    if (core.admission.fence(entry, fence))
    {
        core.send_ledger_report(entry, fence);
    }
}

void agent_core::promise_requested(model::process_id const& entry,
                                   wire::promise_request const& request, base::steady_time now)
{
    auto& core = *this->impl;
    core.detect_pause(now);
    core.record_contact(entry, now);
    if (request.view() < core.admission.view() || core.admission.is_excluded(entry) ||
        !core.is_linked(entry))
    {
        return;
    }
    wire::link_message message;
    auto& promise = *message.mutable_promise();
    promise.set_view(request.view());
    *promise.mutable_agent() = wire::to_wire(core.self);
    for (auto const& missing : request.missing())
    {
        auto const id = wire::to_model(missing);
        auto const link = core.links.find(id);
        auto const last_contact =
            link == core.links.end() ? *core.started_at : link->second.last_contact;
        if (core.admission.is_excluded(id) ||
            (id != entry && now - last_contact >= core.options.missing_member_timeout))
        {
            core.admission.promise(id, request.view());
            *promise.add_missing() = missing;
        }
    }
    core.send(entry, std::move(message));
}

void agent_core::execution_ended(wire::task_ref const& task, execution_outcome outcome,
                                 std::string body, std::string reason,
                                 std::chrono::microseconds run_time, base::steady_time now)
{
    auto& core = *this->impl;
    auto const identity = internal::identity_of(task);
    if (auto const refusal = to_refusal(outcome))
    {
        core.cancelled.erase(identity);
        if (auto const recipient = core.ledger.refuse(identity))
        {
            core.send_refusal(*recipient, task, *refusal);
        }
        return;
    }
    auto const* const record = core.ledger.find(identity);
    if (record == nullptr)
    {
        return;
    }
    wire::task_result result;
    *result.mutable_task() = task;
    result.set_outcome(to_outcome(outcome));
    result.set_body(std::move(body));
    result.set_reason(std::move(reason));
    result.set_target(core.admission.target().name());
    result.set_run_time_us(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(run_time.count(), 0, UINT32_MAX)));
    result.set_started_unix_ms(record->started_unix_ms);
    core.cancelled.erase(identity);
    if (core.ledger.finish(identity, std::move(result), now) != nullptr)
    {
        core.send_result(identity);
    }
}

void agent_core::tick(base::steady_time now)
{
    auto& core = *this->impl;
    core.detect_pause(now);
    if (core.admission.check_target_timeout(now))
    {
        core.broadcast_target();
    }
    core.repeat_cancellations(now);
    for (auto& [id, link] : core.links)
    {
        if (!link.linked || core.admission.is_excluded(id))
        {
            continue;
        }
        if (!link.last_ping || now - *link.last_ping >= core.options.ping_interval)
        {
            core.send_ping(id, link, now);
        }
        core.resend_results(link);
    }
    if (!core.last_expiry || now - *core.last_expiry >= std::chrono::seconds(1))
    {
        core.last_expiry = now;
        core.ledger.expire(now);
        std::erase_if(core.links,
                      [&](auto const& item)
                      {
                          return !item.second.linked && !core.admission.is_member(item.first) &&
                                 now - item.second.last_contact >= core.options.key_retention;
                      });
    }
}

std::vector<action> agent_core::take_actions()
{
    return std::exchange(this->impl->actions, {});
}

std::vector<wire::member> agent_core::entries() const
{
    std::vector<wire::member> found;
    for (auto const& member : this->impl->admission.state().members())
    {
        if (this->may_link(wire::to_model(member.id())))
        {
            found.push_back(member);
        }
    }
    return found;
}

bool agent_core::may_link(model::process_id const& entry) const
{
    return !this->impl->admission.is_excluded(entry);
}

bool agent_core::accepts_starts(base::steady_time now) const
{
    return !this->impl->admission.find_agent_refusal(now);
}

std::size_t agent_core::unacknowledged() const
{
    return this->impl->ledger.unacknowledged();
}

std::size_t agent_core::ledger_entries() const
{
    return this->impl->ledger.size();
}

std::size_t agent_core::running() const
{
    return this->impl->ledger.running();
}

} // namespace filbertroad::execution

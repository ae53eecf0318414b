#include "filbertroad/execution/agent_core.hpp"

#include "filbertroad/execution/internal/agent_state.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::execution
{
namespace
{

wire::outcome to_outcome(target_answer answer)
{
    switch (answer)
    {
    case target_answer::succeeded:
        return wire::outcome_succeeded;
    case target_answer::failed:
    case target_answer::timed_out:
        return wire::outcome_failed;
    case target_answer::cancelled:
        return wire::outcome_cancelled;
    default:
        return wire::outcome_may_have_run;
    }
}

/// The refusal to report if the target did not run the task; empty if it may have.
std::optional<wire::refusal> to_refusal(target_answer answer)
{
    switch (answer)
    {
    case target_answer::refused_no_slot:
        return wire::refusal_no_slot;
    case target_answer::refused_late:
        return wire::refusal_not_confirmed;
    case target_answer::not_sent:
        return wire::refusal_target_unreachable;
    default:
        return {};
    }
}

} // namespace

agent_core::agent_core(model::process_id self, std::string zone, agent_options options)
    : content(std::make_unique<state>(std::move(self), std::move(zone), options))
{
}

agent_core::agent_core(agent_core&&) noexcept = default;
agent_core& agent_core::operator=(agent_core&&) noexcept = default;
agent_core::~agent_core() = default;

void agent_core::entry_linked(wire::member const& entry, std::uint64_t link_number,
                              base::steady_time now)
{
    auto& state = *this->content;
    auto const id = wire::to_model(entry.id());
    state.heard_from(id, now);
    auto& link = state.links[id];
    if (link_number <= link.number || state.gate.is_excluded(id))
    {
        return;
    }
    link.number = link_number;
    link.linked = true;
    state.send_hello(id, link);
    state.send_ping(id, link, now);
}

void agent_core::entry_unlinked(model::process_id const& entry, std::uint64_t link_number)
{
    auto const link = this->content->links.find(entry);
    if (link != this->content->links.end() && link->second.number == link_number)
    {
        link->second.linked = false;
        link->second.to_repeat.clear();
    }
}

wire::link_message agent_core::hello() const
{
    return this->content->make_hello();
}

void agent_core::target_announced(wire::target_description const& target, base::steady_time now)
{
    if (this->content->gate.target_announced(target, now))
    {
        this->content->send_target();
    }
}

void agent_core::target_leaving(base::steady_time now)
{
    if (this->content->gate.target_leaving(now))
    {
        this->content->send_target();
    }
}

void agent_core::start_draining(base::steady_time /*now*/)
{
    if (this->content->gate.start_draining())
    {
        this->content->send_target();
    }
}

bool agent_core::is_drained() const
{
    return this->content->ledger.unacknowledged() == 0;
}

void agent_core::pong_received(model::process_id const& entry, wire::pong const& pong,
                               base::steady_time now)
{
    this->content->heard_from(entry, now);
    this->content->gate.pong_received(entry, pong, now);
}

void agent_core::state_received(wire::agent_state const& state, base::steady_time /*now*/)
{
    this->content->gate.state_received(state);
}

void agent_core::start_received(model::process_id const& entry, std::uint64_t link_number,
                                wire::start_task const& start, base::steady_time now,
                                base::system_time wall)
{
    auto& state = *this->content;
    state.heard_from(entry, now);
    auto const task = internal::identity_of(start.task());
    bool const current = state.is_current_link(entry, link_number);
    if (state.ledger.find(task) != nullptr)
    {
        // A refusal would tell the sender that the task did not start.
        if (current && !state.gate.is_excluded(entry) && state.gate.is_member(entry))
        {
            state.ledger.ask_again(task, entry, now);
            state.send_finished(task);
        }
        return;
    }
    if (!current)
    {
        state.refuse(entry, start.task(), wire::refusal_stale_link);
        return;
    }
    if (auto const reason = state.gate.find_refusal(entry, now))
    {
        state.refuse(entry, start.task(), *reason);
        return;
    }
    if (state.ledger.is_full())
    {
        state.refuse(entry, start.task(), wire::refusal_ledger_full);
        return;
    }
    state.accept(entry, start, now, wall);
}

void agent_core::cancel_received(wire::cancel_task const& cancel)
{
    auto const* const record = this->content->ledger.find(internal::identity_of(cancel.task()));
    if (record != nullptr && record->state == internal::entry_state::running)
    {
        this->content->actions.emplace_back(cancel_on_target{cancel.task()});
    }
}

void agent_core::finished_ack_received(model::process_id const& entry,
                                       wire::finished_ack const& ack, base::steady_time now)
{
    this->content->heard_from(entry, now);
    for (auto const& task : ack.tasks())
    {
        this->content->ledger.acknowledge(internal::identity_of(task), entry, now);
    }
}

void agent_core::fence_received(model::process_id const& entry, wire::fence const& fence,
                                base::steady_time now)
{
    auto& state = *this->content;
    state.heard_from(entry, now);
    if (state.gate.fence(entry, fence))
    {
        state.report_ledger(entry, fence);
    }
}

void agent_core::promise_requested(model::process_id const& entry,
                                   wire::promise_request const& request, base::steady_time now)
{
    auto& state = *this->content;
    state.notice_pause(now);
    state.heard_from(entry, now);
    if (request.view() < state.gate.view() || state.gate.is_excluded(entry) ||
        !state.is_linked(entry))
    {
        return;
    }
    wire::link_message message;
    auto& promise = *message.mutable_promise();
    promise.set_view(request.view());
    *promise.mutable_agent() = wire::to_wire(state.self);
    for (auto const& missing : request.missing())
    {
        auto const id = wire::to_model(missing);
        auto const link = state.links.find(id);
        auto const heard = link == state.links.end() ? *state.started_at : link->second.heard;
        if (state.gate.is_excluded(id) ||
            (id != entry && now - heard >= state.options.promise_silence))
        {
            state.gate.promise(id, request.view());
            *promise.add_missing() = missing;
        }
    }
    state.send(entry, std::move(message));
}

void agent_core::target_answered(wire::task_ref const& task, target_answer answer, std::string body,
                                 std::string reason, std::chrono::microseconds run_time,
                                 base::steady_time now)
{
    auto& state = *this->content;
    auto const identity = internal::identity_of(task);
    if (auto const refusal = to_refusal(answer))
    {
        if (auto const recipient = state.ledger.refuse(identity))
        {
            state.refuse(*recipient, task, *refusal);
        }
        return;
    }
    auto const* const record = state.ledger.find(identity);
    if (record == nullptr)
    {
        return;
    }
    wire::task_result result;
    *result.mutable_task() = task;
    result.set_outcome(to_outcome(answer));
    result.set_body(std::move(body));
    result.set_reason(std::move(reason));
    result.set_target(state.gate.target().name());
    result.set_run_time_us(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(run_time.count(), 0, UINT32_MAX)));
    result.set_started_unix_ms(record->started_unix_ms);
    if (state.ledger.finish(identity, std::move(result), now) != nullptr)
    {
        state.send_finished(identity);
    }
}

void agent_core::tick(base::steady_time now)
{
    auto& state = *this->content;
    state.notice_pause(now);
    if (state.gate.target_silent(now))
    {
        state.send_target();
    }
    for (auto& [id, link] : state.links)
    {
        if (!link.linked || state.gate.is_excluded(id))
        {
            continue;
        }
        if (!link.pinged || now - *link.pinged >= state.options.ping_interval)
        {
            state.send_ping(id, link, now);
        }
        state.repeat_answers(link);
    }
    if (!state.last_expiry || now - *state.last_expiry >= std::chrono::seconds(1))
    {
        state.last_expiry = now;
        state.ledger.expire(now);
        std::erase_if(state.links,
                      [&](auto const& item)
                      {
                          return !item.second.linked && !state.gate.is_member(item.first) &&
                                 now - item.second.heard >= state.options.key_retention;
                      });
    }
}

std::vector<action> agent_core::take_actions()
{
    return std::exchange(this->content->actions, {});
}

std::vector<wire::member> agent_core::entries() const
{
    std::vector<wire::member> found;
    for (auto const& member : this->content->gate.state().members())
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
    return !this->content->gate.is_excluded(entry);
}

bool agent_core::is_open(base::steady_time now) const
{
    return !this->content->gate.find_own_refusal(now);
}

std::size_t agent_core::unacknowledged() const
{
    return this->content->ledger.unacknowledged();
}

std::size_t agent_core::ledger_entries() const
{
    return this->content->ledger.size();
}

std::size_t agent_core::running() const
{
    return this->content->ledger.running();
}

} // namespace filbertroad::execution

// Messages of agent_core and the acceptance of starts.

#include "filbertroad/execution/internal/agent_state.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <utility>

namespace filbertroad::execution
{
namespace
{

/// Bytes of answers that are put into one ledger report, and that are sent again in one tick. Both
/// keep far below the largest frame and the largest backlog of a link.
constexpr std::size_t part_bytes = 4UL * 1024 * 1024;

/// Time between two ticks beyond which the process counts as paused. Messages that arrived
/// meanwhile still wait in the sockets, so that silence is measured anew.
constexpr std::chrono::milliseconds pause_threshold{1000};

} // namespace

agent_core::state::state(model::process_id self, std::string zone, agent_options options)
    : self(std::move(self)), zone(zone), options(options), gate(std::move(zone), options),
      ledger(options)
{
}

void agent_core::state::send(model::process_id const& entry, wire::link_message message)
{
    if (this->is_linked(entry))
    {
        this->actions.emplace_back(send_to_entry{entry, std::move(message)});
    }
}

void agent_core::state::send_to_linked(wire::link_message const& message)
{
    for (auto const& [id, link] : this->links)
    {
        this->send(id, message);
    }
}

wire::link_message agent_core::state::make_hello() const
{
    wire::link_message message;
    auto& hello = *message.mutable_agent_hello();
    *hello.mutable_id() = wire::to_wire(this->self);
    hello.set_zone(this->zone);
    *hello.mutable_target() = this->gate.target();
    for (auto const& task : this->ledger.all_open())
    {
        *hello.add_open() = this->ledger.describe(task, false);
    }
    return message;
}

void agent_core::state::send_hello(model::process_id const& entry, entry_link& link)
{
    this->send(entry, this->make_hello());
    // Answers follow one by one: together they may be larger than a frame.
    auto const tasks = this->ledger.open_for(entry);
    link.to_repeat.assign(tasks.begin(), tasks.end());
    this->repeat_answers(link);
}

void agent_core::state::send_ping(model::process_id const& entry, entry_link& link,
                                  base::steady_time now)
{
    link.pinged = now;
    wire::link_message message;
    message.mutable_ping()->set_sent_steady_ns(
        static_cast<std::uint64_t>(std::chrono::nanoseconds(now.time_since_epoch()).count()));
    this->send(entry, std::move(message));
}

void agent_core::state::send_finished(internal::task_identity const& task)
{
    auto const* const record = this->ledger.find(task);
    if (record == nullptr || record->state != internal::entry_state::finished)
    {
        return;
    }
    wire::link_message message;
    *message.mutable_finished() = record->result;
    if (record->owner != record->recipient && !this->gate.is_excluded(record->owner))
    {
        this->send(record->owner, message);
    }
    this->send(record->recipient, std::move(message));
}

void agent_core::state::repeat_answers(entry_link& link)
{
    std::size_t bytes = 0;
    while (!link.to_repeat.empty() && bytes < part_bytes)
    {
        auto const task = std::move(link.to_repeat.front());
        link.to_repeat.pop_front();
        auto const* const record = this->ledger.find(task);
        bytes += record == nullptr ? 0 : record->result.body().size();
        this->send_finished(task);
    }
}

void agent_core::state::send_target()
{
    wire::link_message message;
    *message.mutable_target() = this->gate.target();
    this->send_to_linked(message);
}

void agent_core::state::refuse(model::process_id const& entry, wire::task_ref const& task,
                               wire::refusal reason)
{
    wire::link_message message;
    *message.mutable_refused()->mutable_task() = task;
    message.mutable_refused()->set_reason(reason);
    this->send(entry, std::move(message));
}

void agent_core::state::accept(model::process_id const& entry, wire::start_task const& start,
                               base::steady_time now, base::system_time wall)
{
    internal::ledger_record record;
    record.owner = entry;
    record.recipient = entry;
    record.team = start.team();
    record.job_digest = start.job_digest();
    record.task_count = start.task_count();
    record.started_unix_ms = base::to_unix_ms(wall);
    record.changed_at = now;
    this->ledger.add(internal::identity_of(start.task()), std::move(record));
    auto const left = this->gate.confirmed_until() - now;
    this->actions.emplace_back(
        run_task{start, wall + std::chrono::duration_cast<base::system_time::duration>(left)});
}

void agent_core::state::report_ledger(model::process_id const& entry, wire::fence const& fence)
{
    std::vector<model::process_id> removed;
    for (auto const& id : fence.removed())
    {
        removed.push_back(wire::to_model(id));
    }
    auto const new_report = [&]
    {
        wire::link_message message;
        message.mutable_ledger()->set_view(fence.view());
        *message.mutable_ledger()->mutable_agent() = wire::to_wire(this->self);
        return message;
    };
    auto message = new_report();
    std::size_t bytes = 0;
    for (auto const& task : this->ledger.take_over(removed, entry))
    {
        auto& added = *message.mutable_ledger()->add_entries();
        added = this->ledger.describe(task, true);
        bytes += added.ByteSizeLong();
        if (bytes >= part_bytes)
        {
            this->send(entry, std::exchange(message, new_report()));
            bytes = 0;
        }
    }
    message.mutable_ledger()->set_last(true);
    this->send(entry, std::move(message));
}

void agent_core::state::heard_from(model::process_id const& entry, base::steady_time now)
{
    this->started_at = this->started_at.value_or(now);
    auto& heard = this->links[entry].heard;
    heard = std::max(heard, now);
}

void agent_core::state::notice_pause(base::steady_time now)
{
    this->started_at = this->started_at.value_or(now);
    if (this->last_tick && now - *this->last_tick > pause_threshold)
    {
        this->started_at = now;
        for (auto& [id, link] : this->links)
        {
            link.heard = now;
        }
    }
    this->last_tick = now;
}

bool agent_core::state::is_linked(model::process_id const& entry) const
{
    auto const link = this->links.find(entry);
    return link != this->links.end() && link->second.linked;
}

bool agent_core::state::is_current_link(model::process_id const& entry,
                                        std::uint64_t link_number) const
{
    return this->is_linked(entry) && this->links.at(entry).number == link_number;
}

} // namespace filbertroad::execution

// Sends the messages of agent_core and accepts starts.

#include "filbertroad/execution/internal/agent_core_impl.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <utility>

namespace filbertroad::execution
{
namespace
{

/// A ledger report message, and the results that are resent in one tick, end once they reach this
/// size. This is far below the maximum frame size and the maximum backlog of a link.
constexpr std::size_t max_batch_bytes = 4UL * 1024 * 1024;

/// A longer time between two calls of detect_pause() counts as a pause of this process. Messages
/// that arrived during the pause are still in the socket buffers, so that the time without traffic
/// is measured anew for every entry.
constexpr std::chrono::milliseconds pause_threshold{1000};

} // namespace

agent_core::implementation::implementation(model::process_id self, std::string zone,
                                           agent_options options)
    : self(std::move(self)), zone(zone), options(options), admission(std::move(zone), options),
      ledger(options)
{
}

void agent_core::implementation::send(model::process_id const& entry, wire::link_message message)
{
    if (this->is_linked(entry))
    {
        this->actions.emplace_back(send_to_entry{entry, std::move(message)});
    }
}

void agent_core::implementation::broadcast(wire::link_message const& message)
{
    for (auto const& [id, link] : this->links)
    {
        this->send(id, message);
    }
}

wire::link_message agent_core::implementation::make_hello() const
{
    wire::link_message message;
    auto& hello = *message.mutable_agent_hello();
    *hello.mutable_id() = wire::to_wire(this->self);
    hello.set_zone(this->zone);
    *hello.mutable_target() = this->admission.target();
    for (auto const& task : this->ledger.open_tasks())
    {
        *hello.add_open() = this->ledger.make_ledger_entry(task, false);
    }
    return message;
}

void agent_core::implementation::send_hello(model::process_id const& entry, entry_link& link)
{
    this->send(entry, this->make_hello());
    // Results follow as separate messages, since all together may exceed the maximum frame size.
    auto const tasks = this->ledger.open_tasks_for(entry);
    link.results_to_resend.assign(tasks.begin(), tasks.end());
    this->resend_results(link);
}

void agent_core::implementation::send_ping(model::process_id const& entry, entry_link& link,
                                           base::steady_time now)
{
    link.last_ping = now;
    wire::link_message message;
    message.mutable_ping()->set_sent_steady_ns(
        static_cast<std::uint64_t>(std::chrono::nanoseconds(now.time_since_epoch()).count()));
    this->send(entry, std::move(message));
}

void agent_core::implementation::send_result(internal::task_identity const& task)
{
    auto const* const record = this->ledger.find(task);
    if (record == nullptr || record->state != internal::ledger_entry_state::finished)
    {
        return;
    }
    wire::link_message message;
    *message.mutable_finished() = record->result;
    if (record->owner != record->recipient && !this->admission.is_excluded(record->owner))
    {
        this->send(record->owner, message);
    }
    this->send(record->recipient, std::move(message));
}

void agent_core::implementation::resend_results(entry_link& link)
{
    std::size_t bytes = 0;
    while (!link.results_to_resend.empty() && bytes < max_batch_bytes)
    {
        auto const task = std::move(link.results_to_resend.front());
        link.results_to_resend.pop_front();
        auto const* const record = this->ledger.find(task);
        bytes += record == nullptr ? 0 : record->result.body().size();
        this->send_result(task);
    }
}

void agent_core::implementation::broadcast_target()
{
    wire::link_message message;
    *message.mutable_target() = this->admission.target();
    this->broadcast(message);
}

void agent_core::implementation::send_refusal(model::process_id const& entry,
                                              wire::task_ref const& task, wire::refusal reason)
{
    wire::link_message message;
    *message.mutable_refused()->mutable_task() = task;
    message.mutable_refused()->set_reason(reason);
    this->send(entry, std::move(message));
}

void agent_core::implementation::accept_start(model::process_id const& entry,
                                              wire::start_task const& start, base::steady_time now,
                                              base::system_time wall)
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
    auto const remaining = this->admission.confirmed_until() - now;
    this->actions.emplace_back(
        run_task{start, wall + std::chrono::duration_cast<base::system_time::duration>(remaining)});
}

void agent_core::implementation::send_ledger_report(model::process_id const& entry,
                                                    wire::fence const& fence)
{
    std::vector<model::process_id> removed;
    for (auto const& id : fence.removed())
    {
        removed.push_back(wire::to_model(id));
    }
    auto const make_report = [&]
    {
        wire::link_message message;
        message.mutable_ledger()->set_view(fence.view());
        *message.mutable_ledger()->mutable_agent() = wire::to_wire(this->self);
        return message;
    };
    auto message = make_report();
    std::size_t bytes = 0;
    for (auto const& task : this->ledger.reassign_recipient(removed, entry))
    {
        auto& added = *message.mutable_ledger()->add_entries();
        added = this->ledger.make_ledger_entry(task, true);
        bytes += added.ByteSizeLong();
        if (bytes >= max_batch_bytes)
        {
            this->send(entry, std::exchange(message, make_report()));
            bytes = 0;
        }
    }
    message.mutable_ledger()->set_last(true);
    this->send(entry, std::move(message));
}

void agent_core::implementation::record_contact(model::process_id const& entry,
                                                base::steady_time now)
{
    this->started_at = this->started_at.value_or(now);
    auto& last_contact = this->links[entry].last_contact;
    last_contact = std::max(last_contact, now);
}

void agent_core::implementation::detect_pause(base::steady_time now)
{
    this->started_at = this->started_at.value_or(now);
    if (this->last_tick && now - *this->last_tick > pause_threshold)
    {
        this->started_at = now;
        for (auto& [id, link] : this->links)
        {
            link.last_contact = now;
        }
    }
    this->last_tick = now;
}

void agent_core::implementation::repeat_cancellations(base::steady_time now)
{
    if (now - this->cancellations_repeated_at < this->options.cancel_interval)
    {
        return;
    }
    this->cancellations_repeated_at = now;
    for (auto const& task : this->cancelled)
    {
        this->actions.emplace_back(cancel_on_target{wire::make_task_ref(task.job, task.index)});
    }
}

bool agent_core::implementation::is_linked(model::process_id const& entry) const
{
    auto const link = this->links.find(entry);
    return link != this->links.end() && link->second.linked;
}

bool agent_core::implementation::is_current_link(model::process_id const& entry,
                                                 std::uint64_t link_number) const
{
    return this->is_linked(entry) && this->links.at(entry).number == link_number;
}

} // namespace filbertroad::execution

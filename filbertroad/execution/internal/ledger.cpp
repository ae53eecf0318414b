#include "filbertroad/execution/internal/ledger.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::execution::internal
{

task_identity identity_of(wire::task_ref const& task)
{
    return {wire::job_id_of(task), task.index()};
}

std::size_t task_identity_hash::operator()(task_identity const& task) const noexcept
{
    return std::hash<model::job_id>()(task.job) * 31 + task.index;
}

ledger::ledger(agent_options const& options) : options(options) {}

ledger_record* ledger::find(task_identity const& task)
{
    auto const position = this->records.find(task);
    return position == this->records.end() ? nullptr : &position->second;
}

std::size_t ledger::fixed_bytes(task_identity const& task, ledger_record const& record)
{
    return sizeof(task) + sizeof(record) + task.job.route.size() + task.job.key.size() +
           record.team.size() + record.job_digest.size();
}

bool ledger::is_full()
{
    if (this->byte_count >= this->options.max_ledger_bytes)
    {
        this->drop_answers();
    }
    return this->records.size() >= this->options.max_ledger_entries ||
           this->open.size() >= this->options.max_open_entries ||
           this->byte_count >= this->options.max_ledger_bytes;
}

void ledger::drop_answers()
{
    for (; this->dropped < this->acknowledged.size() &&
           this->byte_count >= this->options.max_ledger_bytes;
         ++this->dropped)
    {
        auto const& entry = this->acknowledged[this->dropped];
        auto& record = this->records.at(*entry.task);
        if (record.acknowledgement != entry.number || record.state != entry_state::acknowledged)
        {
            continue;
        }
        // Without its answer the task must not count as succeeded in a recovery.
        this->byte_count -= record.result.body().size();
        record.result.clear_body();
        record.result.set_outcome(wire::outcome_may_have_run);
        record.result.set_reason("the agent dropped the answer after its acknowledgement");
    }
}

void ledger::add(task_identity const& task, ledger_record record)
{
    auto const bytes = fixed_bytes(task, record);
    auto const [position, added] = this->records.emplace(task, std::move(record));
    if (added)
    {
        this->open.insert(&position->first);
        this->running_count += 1;
        this->byte_count += bytes;
    }
}

ledger_record* ledger::finish(task_identity const& task, wire::task_result result,
                              base::steady_time now)
{
    auto const position = this->records.find(task);
    if (position == this->records.end())
    {
        return nullptr;
    }
    auto& record = position->second;
    auto const next = next_state(record.state, entry_event::answered);
    if (!next)
    {
        return nullptr;
    }
    record.state = *next;
    record.changed_at = now;
    record.result = std::move(result);
    this->running_count -= 1;
    this->byte_count += record.result.body().size();
    return &record;
}

std::optional<model::process_id> ledger::refuse(task_identity const& task)
{
    auto const position = this->records.find(task);
    if (position == this->records.end() ||
        !next_state(position->second.state, entry_event::refused))
    {
        return {};
    }
    auto recipient = position->second.recipient;
    this->running_count -= 1;
    this->forget(position);
    return recipient;
}

void ledger::acknowledge(task_identity const& task, model::process_id const& entry,
                         base::steady_time now)
{
    auto const position = this->records.find(task);
    // An owner that was excluded takes its answers with it, so that only the recipient counts.
    if (position == this->records.end() || position->second.recipient != entry)
    {
        return;
    }
    auto& record = position->second;
    if (auto const next = next_state(record.state, entry_event::acknowledged))
    {
        record.state = *next;
        record.changed_at = now;
        this->open.erase(&position->first);
        record.acknowledgement = ++this->acknowledgements;
        this->acknowledged.push_back({now, record.acknowledgement, &position->first});
    }
}

void ledger::ask_again(task_identity const& task, model::process_id const& sender,
                       base::steady_time now)
{
    auto const position = this->records.find(task);
    if (position == this->records.end())
    {
        return;
    }
    auto& record = position->second;
    record.recipient = sender;
    if (auto const next = next_state(record.state, entry_event::asked_again))
    {
        record.state = *next;
        record.changed_at = now;
        this->open.insert(&position->first);
    }
}

void ledger::expire(base::steady_time now)
{
    while (!this->acknowledged.empty() &&
           now - this->acknowledged.front().at >= this->options.key_retention)
    {
        auto const entry = this->acknowledged.front();
        this->acknowledged.pop_front();
        this->dropped -= this->dropped > 0 ? 1 : 0;
        auto const position = this->records.find(*entry.task);
        // An entry that was asked for again is in the list a second time, or open.
        if (position->second.acknowledgement == entry.number &&
            position->second.state == entry_state::acknowledged)
        {
            this->forget(position);
        }
    }
    std::vector<task_identity> unclaimed;
    for (auto const* task : this->open)
    {
        auto const& record = this->records.at(*task);
        if (next_state(record.state, entry_event::expired) &&
            now - record.changed_at >= 2 * this->options.key_retention)
        {
            unclaimed.push_back(*task);
        }
    }
    for (auto const& task : unclaimed)
    {
        this->forget(this->records.find(task));
    }
}

void ledger::forget(record_map::iterator position)
{
    this->byte_count -=
        fixed_bytes(position->first, position->second) + position->second.result.body().size();
    this->open.erase(&position->first);
    this->records.erase(position);
}

std::vector<task_identity> ledger::all_open() const
{
    std::vector<task_identity> found;
    found.reserve(this->open.size());
    for (auto const* task : this->open)
    {
        found.push_back(*task);
    }
    return found;
}

std::vector<task_identity> ledger::open_for(model::process_id const& entry) const
{
    std::vector<task_identity> found;
    for (auto const* task : this->open)
    {
        auto const& record = this->records.at(*task);
        if (record.recipient == entry || record.owner == entry)
        {
            found.push_back(*task);
        }
    }
    return found;
}

std::vector<task_identity> ledger::take_over(std::span<model::process_id const> removed,
                                             model::process_id const& recipient)
{
    std::vector<task_identity> found;
    auto const is_removed = [&](model::process_id const& id)
    { return std::find(removed.begin(), removed.end(), id) != removed.end(); };
    for (auto& [task, record] : this->records)
    {
        if (is_removed(record.owner) || is_removed(record.recipient))
        {
            // The receiver looks for entries of removed owners.
            record.owner = is_removed(record.owner) ? record.owner : record.recipient;
            record.recipient = recipient;
            found.push_back(task);
        }
    }
    return found;
}

wire::ledger_entry ledger::describe(task_identity const& task, bool with_result) const
{
    auto const& record = this->records.at(task);
    wire::ledger_entry entry;
    *entry.mutable_task() = wire::make_task_ref(task.job, task.index);
    entry.set_job_digest(record.job_digest);
    entry.set_task_count(record.task_count);
    *entry.mutable_owner() = wire::to_wire(record.owner);
    entry.set_team(record.team);
    entry.set_started_unix_ms(record.started_unix_ms);
    if (with_result && record.state != entry_state::running)
    {
        *entry.mutable_result() = record.result;
    }
    return entry;
}

} // namespace filbertroad::execution::internal

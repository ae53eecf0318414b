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

std::size_t ledger::bytes_without_result(task_identity const& task, ledger_record const& record)
{
    return sizeof(task) + sizeof(record) + task.job.route.size() + task.job.key.size() +
           record.team.size() + record.job_digest.size();
}

bool ledger::is_full()
{
    if (this->byte_count >= this->options.max_ledger_bytes)
    {
        this->evict_results();
    }
    return this->records.size() >= this->options.max_ledger_entries ||
           this->open.size() >= this->options.max_open_entries ||
           this->byte_count >= this->options.max_ledger_bytes;
}

void ledger::evict_results()
{
    for (; this->evicted_prefix < this->acknowledged.size() &&
           this->byte_count >= this->options.max_ledger_bytes;
         ++this->evicted_prefix)
    {
        auto const& entry = this->acknowledged[this->evicted_prefix];
        auto& record = this->records.at(*entry.task);
        if (record.last_acknowledgement != entry.number ||
            record.state != ledger_entry_state::acknowledged)
        {
            continue;
        }
        // A recovery must not count a task as succeeded whose result was evicted.
        this->byte_count -= record.result.body().size();
        record.result.clear_body();
        record.result.set_outcome(wire::outcome_may_have_run);
        record.result.set_reason("the agent dropped the answer after its acknowledgement");
    }
}

void ledger::add(task_identity const& task, ledger_record record)
{
    auto const bytes = bytes_without_result(task, record);
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
    auto const next = next_state(record.state, ledger_entry_event::execution_ended);
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
        !next_state(position->second.state, ledger_entry_event::refused))
    {
        return {};
    }
    auto recipient = position->second.recipient;
    this->running_count -= 1;
    this->remove_record(position);
    return recipient;
}

void ledger::acknowledge(task_identity const& task, model::process_id const& entry,
                         base::steady_time now)
{
    auto const position = this->records.find(task);
    // Results that an excluded owner acknowledges are lost together with that owner, so that only
    // the acknowledgement of the recipient counts.
    if (position == this->records.end() || position->second.recipient != entry)
    {
        return;
    }
    auto& record = position->second;
    if (auto const next = next_state(record.state, ledger_entry_event::acknowledged))
    {
        record.state = *next;
        record.changed_at = now;
        this->open.erase(&position->first);
        record.last_acknowledgement = ++this->acknowledgement_count;
        this->acknowledged.push_back({now, record.last_acknowledgement, &position->first});
    }
}

void ledger::duplicate_start_received(task_identity const& task, model::process_id const& sender,
                                      base::steady_time now)
{
    auto const position = this->records.find(task);
    if (position == this->records.end())
    {
        return;
    }
    auto& record = position->second;
    record.recipient = sender;
    if (auto const next = next_state(record.state, ledger_entry_event::duplicate_start))
    {
        record.state = *next;
        record.changed_at = now;
        this->open.insert(&position->first);
    }
}

void ledger::expire(base::steady_time now)
{
    auto const keep_for = this->options.key_retention + 2 * this->options.clock_skew;
    while (!this->acknowledged.empty() && now - this->acknowledged.front().at >= keep_for)
    {
        auto const entry = this->acknowledged.front();
        this->acknowledged.pop_front();
        this->evicted_prefix -= this->evicted_prefix > 0 ? 1 : 0;
        auto const position = this->records.find(*entry.task);
        // A record that a duplicate start reopened is open, or is in the list a second time.
        if (position->second.last_acknowledgement == entry.number &&
            position->second.state == ledger_entry_state::acknowledged)
        {
            this->remove_record(position);
        }
    }
    std::vector<task_identity> expired_tasks;
    for (auto const* task : this->open)
    {
        auto const& record = this->records.at(*task);
        if (next_state(record.state, ledger_entry_event::expired) &&
            now - record.changed_at >= 2 * this->options.key_retention)
        {
            expired_tasks.push_back(*task);
        }
    }
    for (auto const& task : expired_tasks)
    {
        this->remove_record(this->records.find(task));
    }
}

void ledger::remove_record(record_map::iterator position)
{
    this->byte_count -= bytes_without_result(position->first, position->second) +
                        position->second.result.body().size();
    this->open.erase(&position->first);
    this->records.erase(position);
}

std::vector<task_identity> ledger::open_tasks() const
{
    std::vector<task_identity> found;
    found.reserve(this->open.size());
    for (auto const* task : this->open)
    {
        found.push_back(*task);
    }
    return found;
}

std::vector<task_identity> ledger::open_tasks_for(model::process_id const& entry) const
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

std::vector<task_identity> ledger::reassign_recipient(std::span<model::process_id const> removed,
                                                      model::process_id const& recipient)
{
    std::vector<task_identity> found;
    auto const is_removed = [&](model::process_id const& id)
    { return std::find(removed.begin(), removed.end(), id) != removed.end(); };
    for (auto& [task, record] : this->records)
    {
        if (is_removed(record.owner) || is_removed(record.recipient))
        {
            // The recipient searches the report for tasks of removed owners.
            record.owner = is_removed(record.owner) ? record.owner : record.recipient;
            record.recipient = recipient;
            found.push_back(task);
        }
    }
    return found;
}

wire::ledger_entry ledger::make_ledger_entry(task_identity const& task, bool with_result) const
{
    auto const& record = this->records.at(task);
    wire::ledger_entry entry;
    *entry.mutable_task() = wire::make_task_ref(task.job, task.index);
    entry.set_job_digest(record.job_digest);
    entry.set_task_count(record.task_count);
    *entry.mutable_owner() = wire::to_wire(record.owner);
    entry.set_team(record.team);
    entry.set_started_unix_ms(record.started_unix_ms);
    if (with_result && record.state != ledger_entry_state::running)
    {
        *entry.mutable_result() = record.result;
    }
    return entry;
}

} // namespace filbertroad::execution::internal

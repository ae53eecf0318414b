#include "filbertroad/submission/internal/job_table.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission::internal
{

job& job_table::add(model::job_id id, base::system_time created, std::string digest,
                    std::uint32_t task_count, std::string_view team)
{
    auto const position = this->jobs.try_emplace(std::move(id)).first;
    auto& added = position->second;
    added.identity = &position->first;
    added.created = created;
    added.digest = std::move(digest);
    added.task_count = task_count;
    added.serial = ++this->last_serial;
    added.team = this->intern_name(team);
    added.content = std::make_unique<job_content>();
    added.content->tasks.resize(task_count);
    added.content->queued_tasks = task_count;
    this->unfinished.emplace(added.serial, &added);
    this->charge(added, bytes_per_job + bytes_per_content + task_count * bytes_per_task);
    return added;
}

job* job_table::find(model::job_id const& id)
{
    auto const found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

job const* job_table::find(model::job_id const& id) const
{
    auto const found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

job* job_table::find_by_scheduler_job_id(std::uint64_t number) const
{
    auto const found = this->scheduler_job_ids.find(number);
    return found == this->scheduler_job_ids.end() ? nullptr : found->second;
}

std::vector<job*> job_table::jobs_by_serial()
{
    std::vector<job*> ordered;
    ordered.reserve(this->jobs.size());
    for (auto& [id, record] : this->jobs)
    {
        ordered.push_back(&record);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](job const* a, job const* b) { return a->serial < b->serial; });
    return ordered;
}

std::uint64_t job_table::add_scheduler_job_id(job& record)
{
    this->scheduler_job_ids.emplace(++this->last_scheduler_job_id, &record);
    record.content->scheduler_job_ids.push_back(this->last_scheduler_job_id);
    return this->last_scheduler_job_id;
}

void job_table::charge(job& record, std::size_t bytes)
{
    record.bytes += bytes;
    this->bytes += bytes;
}

void job_table::release(job& record, std::size_t bytes)
{
    record.bytes -= bytes;
    this->bytes -= bytes;
}

void job_table::end(job& record, base::system_time at, base::steady_time answers_expire_at,
                    base::steady_time key_expires_at)
{
    record.ended_at = at;
    record.key_expires_at = key_expires_at;
    this->unfinished.erase(record.serial);
    this->expiries.push({answers_expire_at, record.serial, &record});
    for (auto const id : record.content->scheduler_job_ids)
    {
        this->scheduler_job_ids.erase(id);
    }
    record.content->scheduler_job_ids = {};
}

void job_table::discard_answers(job& record)
{
    this->release(record, record.bytes - bytes_per_job);
    record.content.reset();
}

void job_table::remove(job& record)
{
    this->release(record, record.bytes);
    this->unfinished.erase(record.serial);
    if (record.content)
    {
        for (auto const id : record.content->scheduler_job_ids)
        {
            this->scheduler_job_ids.erase(id);
        }
    }
    this->jobs.erase(this->jobs.find(record.id()));
}

void job_table::expire(base::steady_time now)
{
    while (!this->expiries.empty() && this->expiries.top().at <= now)
    {
        auto next = this->expiries.top();
        this->expiries.pop();
        if (next.record->key_expires_at <= now)
        {
            this->remove(*next.record);
            continue;
        }
        if (next.record->content)
        {
            this->discard_answers(*next.record);
        }
        next.at = next.record->key_expires_at;
        this->expiries.push(next);
    }
}

std::uint32_t job_table::intern_name(std::string_view name)
{
    auto const found = this->name_ids.find(name);
    if (found != this->name_ids.end())
    {
        return found->second;
    }
    auto const number = static_cast<std::uint32_t>(this->names.size());
    this->names.emplace_back(name);
    this->name_ids.emplace(std::string(name), number);
    return number;
}

std::string const& job_table::name_of(std::uint32_t number) const
{
    return this->names.at(number);
}

} // namespace filbertroad::submission::internal

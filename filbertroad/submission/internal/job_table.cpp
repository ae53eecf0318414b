#include "filbertroad/submission/internal/job_table.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission::internal
{

job& job_table::add(model::job_id id, base::system_time created, std::string digest,
                    std::uint32_t task_count, std::string_view team)
{
    auto const place = this->jobs.try_emplace(std::move(id)).first;
    auto& added = place->second;
    added.identity = &place->first;
    added.created = created;
    added.digest = std::move(digest);
    added.task_count = task_count;
    added.serial = ++this->last_serial;
    added.team = this->number_of_name(team);
    added.content = std::make_unique<job_content>();
    added.content->tasks.resize(task_count);
    added.content->queued_tasks = task_count;
    this->open.emplace(added.serial, &added);
    this->hold(added, bytes_per_job + bytes_per_content + task_count * bytes_per_task);
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

job* job_table::find_number(std::uint64_t number) const
{
    auto const found = this->numbers.find(number);
    return found == this->numbers.end() ? nullptr : found->second;
}

std::vector<job*> job_table::in_order()
{
    std::vector<job*> ordered;
    ordered.reserve(this->jobs.size());
    for (auto& [id, held] : this->jobs)
    {
        ordered.push_back(&held);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](job const* a, job const* b) { return a->serial < b->serial; });
    return ordered;
}

std::uint64_t job_table::add_number(job& owner)
{
    this->numbers.emplace(++this->last_number, &owner);
    owner.content->numbers.push_back(this->last_number);
    return this->last_number;
}

void job_table::hold(job& owner, std::size_t bytes)
{
    owner.bytes += bytes;
    this->bytes += bytes;
}

void job_table::release(job& owner, std::size_t bytes)
{
    owner.bytes -= bytes;
    this->bytes -= bytes;
}

void job_table::end(job& ended, base::system_time at, base::system_time drop_at,
                    base::system_time forget_at)
{
    ended.ended_at = at;
    ended.forget_at = forget_at;
    this->open.erase(ended.serial);
    this->expiries.push({drop_at, ended.serial, &ended});
    for (auto const number : ended.content->numbers)
    {
        this->numbers.erase(number);
    }
    ended.content->numbers = {};
}

void job_table::forget_answers(job& acknowledged)
{
    this->release(acknowledged, acknowledged.bytes - bytes_per_job);
    acknowledged.content.reset();
}

void job_table::remove(job& removed)
{
    this->release(removed, removed.bytes);
    this->open.erase(removed.serial);
    if (removed.content)
    {
        for (auto const number : removed.content->numbers)
        {
            this->numbers.erase(number);
        }
    }
    this->jobs.erase(this->jobs.find(removed.id()));
}

void job_table::expire(base::system_time wall)
{
    while (!this->expiries.empty() && this->expiries.top().at <= wall)
    {
        auto next = this->expiries.top();
        this->expiries.pop();
        if (next.ended->forget_at <= wall)
        {
            this->remove(*next.ended);
            continue;
        }
        if (next.ended->content)
        {
            this->forget_answers(*next.ended);
        }
        next.at = next.ended->forget_at;
        this->expiries.push(next);
    }
}

std::uint32_t job_table::number_of_name(std::string_view name)
{
    auto const found = this->name_numbers.find(name);
    if (found != this->name_numbers.end())
    {
        return found->second;
    }
    auto const number = static_cast<std::uint32_t>(this->names.size());
    this->names.emplace_back(name);
    this->name_numbers.emplace(std::string(name), number);
    return number;
}

std::string const& job_table::name_of(std::uint32_t number) const
{
    return this->names.at(number);
}

} // namespace filbertroad::submission::internal

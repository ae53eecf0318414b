#include "filbertroad/submission/internal/owner_state.hpp"

#include <numeric>
#include <utility>

namespace filbertroad::submission
{
namespace
{

using internal::error_code;

error_code to_error(scheduling::admission_code code)
{
    switch (code)
    {
    case scheduling::admission_code::overloaded:
        return error_code::overloaded;
    case scheduling::admission_code::team_over_quota:
        return error_code::team_over_quota;
    case scheduling::admission_code::deadline_unreachable:
        return error_code::deadline_unreachable;
    }
    return error_code::overloaded;
}

std::size_t payload_bytes(wire::job_request const& request)
{
    return std::accumulate(request.tasks().begin(), request.tasks().end(), std::size_t{0},
                           [](std::size_t sum, wire::task_spec const& spec)
                           { return sum + spec.payload().size(); });
}

} // namespace

void shard_owner::state::handle(std::uint64_t number, internal::call const& call,
                                bool lookup_completed)
{
    std::visit([&](auto const& typed) { this->handle_call(number, typed, lookup_completed); },
               call);
}

std::optional<error_code>
shard_owner::state::refusal_for_unknown_key(base::system_time created) const
{
    if (this->current_ownership.leaving)
    {
        return error_code::leaving;
    }
    if (!this->current_ownership.is_owner || this->removed)
    {
        return error_code::not_owner;
    }
    if (!this->confirmed)
    {
        return error_code::not_confirmed;
    }
    auto const age = this->wall() - created;
    if (age > this->options.key_retention)
    {
        return error_code::key_expired;
    }
    if (age < -this->options.clock_skew)
    {
        return error_code::key_in_future;
    }
    return std::nullopt;
}

void shard_owner::state::handle_call(std::uint64_t number, internal::submit_call const& call,
                                     bool lookup_completed)
{
    auto const& request = call.request.job();
    auto const key = model::parse_key(request.key());
    if (!key)
    {
        this->outbox.refuse(number, error_code::bad_key, key.error().detail);
        return;
    }
    model::job_id const id{request.route(), request.key()};
    if (auto* const job = this->jobs.find(id))
    {
        this->submit_existing(number, call, *job, lookup_completed);
        return;
    }
    auto const created = key.value().created;
    if (auto const refusal = this->refusal_for_unknown_key(created))
    {
        this->outbox.refuse(number, *refusal, "key " + request.key() + " is not known here");
        return;
    }
    if (request.tasks().empty() ||
        static_cast<std::uint32_t>(request.tasks_size()) > model::max_tasks)
    {
        this->outbox.refuse(number, error_code::bad_request,
                            "tasks: 1 to " + std::to_string(model::max_tasks) +
                                " are accepted, got " + std::to_string(request.tasks_size()));
        return;
    }
    if (!lookup_completed && !this->is_created_after(created, this->ownership_changed_at))
    {
        this->start_lookup(number, id, created, call);
        return;
    }
    this->accept(number, call, created);
}

void shard_owner::state::submit_existing(std::uint64_t number, internal::submit_call const& call,
                                         internal::job& job, bool lookup_completed)
{
    auto const& request = call.request.job();
    if (this->jobs.name_of(job.team) != request.team())
    {
        this->outbox.refuse(number, error_code::wrong_team, "the key belongs to another team");
    }
    else if (job.digest != request.digest())
    {
        auto const in_doubt = job.in_doubt || !this->is_confirmed_member();
        this->outbox.refuse(number,
                            in_doubt ? error_code::key_reused_in_doubt : error_code::key_reused,
                            "key " + request.key() + " was submitted with another body");
    }
    else if (!job.content)
    {
        this->outbox.refuse(number, error_code::acknowledged,
                            "the answers of " + request.key() + " were acknowledged");
    }
    else if (!this->needs_lookup(job))
    {
        this->answer_or_wait(number, job, call.request.wait_ms(), false);
    }
    else if (!this->accepts_new_keys())
    {
        this->outbox.refuse(number, error_code::outcome_unknown, "the job is interrupted");
    }
    else if (!lookup_completed &&
             job.content->lookup_completed_view != this->current_ownership.view)
    {
        this->start_lookup(number, job.id(), job.created, call);
    }
    else
    {
        this->resume(number, call, job);
    }
}

bool shard_owner::state::has_memory_for(std::size_t bytes, std::uint32_t tasks) const
{
    auto const answers = (this->unfinished_tasks + tasks) * this->mean_answer_bytes;
    auto const tables =
        internal::bytes_per_job + internal::bytes_per_content + tasks * internal::bytes_per_task;
    return this->jobs.held_bytes() + this->lookup_bytes + bytes + tables + answers <=
           this->options.max_bytes;
}

void shard_owner::state::copy_request(internal::job& job, internal::submit_call const& call)
{
    auto const& request = call.request.job();
    auto& content = *job.content;
    content.traceparent = request.traceparent();
    content.needs.assign(request.needs().begin(), request.needs().end());
    content.placement = call.limits.placement;
    content.task_timeout = call.limits.task_timeout;
    content.deadline = std::chrono::milliseconds(request.deadline_ms());
    content.repeatable = request.repeatable();
    content.submitted = true;
    for (std::uint32_t i = 0; i < job.task_count; ++i)
    {
        auto& task = content.tasks[i];
        if (!internal::is_ended(task.state))
        {
            task.payload = request.tasks(static_cast<int>(i)).payload();
            this->jobs.charge(job, task.payload.size());
        }
    }
}

void shard_owner::state::clear_request(internal::job& job)
{
    job.content->submitted = false;
    for (auto& task : job.content->tasks)
    {
        this->jobs.release(job, task.payload.size());
        std::string().swap(task.payload);
    }
}

void shard_owner::state::accept(std::uint64_t number, internal::submit_call const& call,
                                base::system_time created)
{
    auto const& request = call.request.job();
    auto const count = static_cast<std::uint32_t>(request.tasks_size());
    // Only a key that a removed member may have held can have starts in a lost ledger.
    auto const in_doubt = !this->is_created_after(created, this->ownership_changed_at) &&
                          this->recovery.is_in_doubt(created, this->agents);
    if (!this->has_memory_for(payload_bytes(request), count))
    {
        this->outbox.refuse(number,
                            in_doubt ? error_code::outcome_unknown : error_code::memory_full,
                            "payloads and answers held reach the limit of " +
                                std::to_string(this->options.max_bytes) + " bytes");
        return;
    }
    auto& job = this->add_job({request.route(), request.key()}, created, request.digest(), count,
                              request.team());
    this->copy_request(job, call);
    this->record_history(job, internal::whole_job, internal::history_event::accepted);
    if (in_doubt)
    {
        this->interrupt_tasks(job);
        this->end_interrupted_tasks(job);
        this->answer_or_wait(number, job, call.request.wait_ms(), false);
        return;
    }
    std::vector<std::uint32_t> indexes(count);
    std::iota(indexes.begin(), indexes.end(), 0U);
    auto const admitted = this->admit(job, indexes);
    if (!admitted)
    {
        auto const& refusal = admitted.error();
        this->outbox.answer(number, internal::make_error(to_error(refusal.code), refusal.detail,
                                                         refusal.retry_after));
        this->remove_job(job);
        return;
    }
    this->answer_or_wait(number, job, call.request.wait_ms(), false);
}

void shard_owner::state::resume(std::uint64_t number, internal::submit_call const& call,
                                internal::job& job)
{
    auto const& request = call.request.job();
    if (static_cast<std::uint32_t>(request.tasks_size()) != job.task_count)
    {
        this->outbox.refuse(number, error_code::key_reused, "the job has another number of tasks");
        return;
    }
    this->copy_request(job, call);
    std::vector<std::uint32_t> rest;
    for (std::uint32_t i = 0; i < job.task_count; ++i)
    {
        if (job.content->tasks[i].state == internal::task_state::interrupted)
        {
            rest.push_back(i);
        }
    }
    this->recovered_jobs.erase(job.serial);
    this->record_history(job, internal::whole_job, internal::history_event::resumed);
    if (this->recovery.is_in_doubt(job.created, this->agents))
    {
        this->end_interrupted_tasks(job);
        this->answer_or_wait(number, job, call.request.wait_ms(), false);
        return;
    }
    auto const admitted = this->admit(job, rest);
    if (!admitted)
    {
        this->clear_request(job);
        this->recovered_jobs.emplace(job.serial, &job);
        this->outbox.answer(number, internal::make_error(error_code::rest_not_admitted,
                                                         admitted.error().detail,
                                                         admitted.error().retry_after));
        return;
    }
    for (auto const index : rest)
    {
        this->apply(job, index, internal::task_event::resumed);
    }
    this->answer_or_wait(number, job, call.request.wait_ms(), false);
}

} // namespace filbertroad::submission

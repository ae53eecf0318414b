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

void shard_owner::state::handle(std::uint64_t number, internal::call const& call, bool cleared)
{
    std::visit([&](auto const& typed) { this->handle_call(number, typed, cleared); }, call);
}

std::optional<error_code> shard_owner::state::refusal_of_unknown(base::system_time created) const
{
    if (this->owned.leaving)
    {
        return error_code::leaving;
    }
    if (!this->owned.is_owner || this->removed)
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
                                     bool cleared)
{
    auto const& request = call.request.job();
    auto const key = model::parse_key(request.key());
    if (!key)
    {
        this->out.refuse(number, error_code::bad_key, key.error().detail);
        return;
    }
    model::job_id const id{request.route(), request.key()};
    if (auto* const known = this->jobs.find(id))
    {
        this->submit_known(number, call, *known, cleared);
        return;
    }
    auto const created = key.value().created;
    if (auto const refusal = this->refusal_of_unknown(created))
    {
        this->out.refuse(number, *refusal, "key " + request.key() + " is not known here");
        return;
    }
    if (request.tasks().empty() ||
        static_cast<std::uint32_t>(request.tasks_size()) > model::max_tasks)
    {
        this->out.refuse(number, error_code::bad_request,
                         "tasks: 1 to " + std::to_string(model::max_tasks) + " are accepted, got " +
                             std::to_string(request.tasks_size()));
        return;
    }
    if (!cleared && !this->is_after(created, this->changed_at))
    {
        this->inquire(number, id, created, call);
        return;
    }
    this->accept(number, call, created);
}

void shard_owner::state::submit_known(std::uint64_t number, internal::submit_call const& call,
                                      internal::job& known, bool cleared)
{
    auto const& request = call.request.job();
    if (this->jobs.name_of(known.team) != request.team())
    {
        this->out.refuse(number, error_code::wrong_team, "the key belongs to another team");
    }
    else if (known.digest != request.digest())
    {
        auto const in_doubt = known.in_doubt || !this->is_current();
        this->out.refuse(number,
                         in_doubt ? error_code::key_reused_in_doubt : error_code::key_reused,
                         "key " + request.key() + " was submitted with another body");
    }
    else if (!known.content)
    {
        this->out.refuse(number, error_code::acknowledged,
                         "the answers of " + request.key() + " were acknowledged");
    }
    else if (!this->needs_inquiry(known))
    {
        this->answer_or_wait(number, known, call.request.wait_ms(), false);
    }
    else if (!this->is_serving())
    {
        this->out.refuse(number, error_code::outcome_unknown, "the job is interrupted");
    }
    else if (!cleared && known.content->cleared_view != this->owned.view)
    {
        this->inquire(number, known.id(), known.created, call);
    }
    else
    {
        this->resume(number, call, known);
    }
}

bool shard_owner::state::has_room_for(std::size_t bytes, std::uint32_t tasks) const
{
    auto const answers = (this->open_tasks + tasks) * this->mean_answer;
    auto const tables =
        internal::bytes_per_job + internal::bytes_per_content + tasks * internal::bytes_per_task;
    return this->jobs.held_bytes() + this->inquiry_bytes + bytes + tables + answers <=
           this->options.max_bytes;
}

void shard_owner::state::fill(internal::job& owner, internal::submit_call const& call)
{
    auto const& request = call.request.job();
    auto& content = *owner.content;
    content.traceparent = request.traceparent();
    content.needs.assign(request.needs().begin(), request.needs().end());
    content.placement = call.limits.placement;
    content.task_timeout = call.limits.task_timeout;
    content.deadline = std::chrono::milliseconds(request.deadline_ms());
    content.repeatable = request.repeatable();
    content.submitted = true;
    for (std::uint32_t i = 0; i < owner.task_count; ++i)
    {
        auto& held = content.tasks[i];
        if (!internal::is_ended(held.state))
        {
            held.payload = request.tasks(static_cast<int>(i)).payload();
            this->jobs.hold(owner, held.payload.size());
        }
    }
}

void shard_owner::state::undo_fill(internal::job& owner)
{
    owner.content->submitted = false;
    for (auto& held : owner.content->tasks)
    {
        this->jobs.release(owner, held.payload.size());
        std::string().swap(held.payload);
    }
}

void shard_owner::state::accept(std::uint64_t number, internal::submit_call const& call,
                                base::system_time created)
{
    auto const& request = call.request.job();
    auto const count = static_cast<std::uint32_t>(request.tasks_size());
    // Starts of removed members are in doubt only for keys that those members may hold.
    auto const in_doubt = !this->is_after(created, this->changed_at) &&
                          this->fences.is_in_doubt(created, this->agents);
    if (!this->has_room_for(payload_bytes(request), count))
    {
        this->out.refuse(number, in_doubt ? error_code::outcome_unknown : error_code::memory_full,
                         "payloads and answers held reach the limit of " +
                             std::to_string(this->options.max_bytes) + " bytes");
        return;
    }
    auto& added = this->add_job({request.route(), request.key()}, created, request.digest(), count,
                                request.team());
    this->fill(added, call);
    this->note(added, internal::whole_job, internal::history_event::accepted);
    if (in_doubt)
    {
        this->interrupt_tasks(added);
        this->end_interrupted(added);
        this->answer_or_wait(number, added, call.request.wait_ms(), false);
        return;
    }
    std::vector<std::uint32_t> indexes(count);
    std::iota(indexes.begin(), indexes.end(), 0U);
    auto const admitted = this->admit(added, indexes);
    if (!admitted)
    {
        auto const& refusal = admitted.error();
        this->out.answer(number, internal::make_error(to_error(refusal.code), refusal.detail,
                                                      refusal.retry_after));
        this->remove_job(added);
        return;
    }
    this->answer_or_wait(number, added, call.request.wait_ms(), false);
}

void shard_owner::state::resume(std::uint64_t number, internal::submit_call const& call,
                                internal::job& known)
{
    auto const& request = call.request.job();
    if (static_cast<std::uint32_t>(request.tasks_size()) != known.task_count)
    {
        this->out.refuse(number, error_code::key_reused, "the job has another number of tasks");
        return;
    }
    this->fill(known, call);
    std::vector<std::uint32_t> rest;
    for (std::uint32_t i = 0; i < known.task_count; ++i)
    {
        if (known.content->tasks[i].state == internal::task_state::interrupted)
        {
            rest.push_back(i);
        }
    }
    this->ledger_jobs.erase(known.serial);
    this->note(known, internal::whole_job, internal::history_event::resumed);
    if (this->fences.is_in_doubt(known.created, this->agents))
    {
        this->end_interrupted(known);
        this->answer_or_wait(number, known, call.request.wait_ms(), false);
        return;
    }
    auto const admitted = this->admit(known, rest);
    if (!admitted)
    {
        this->undo_fill(known);
        this->ledger_jobs.emplace(known.serial, &known);
        this->out.answer(number, internal::make_error(error_code::rest_not_admitted,
                                                      admitted.error().detail,
                                                      admitted.error().retry_after));
        return;
    }
    for (auto const index : rest)
    {
        this->apply(known, index, internal::task_event::resumed);
    }
    this->answer_or_wait(number, known, call.request.wait_ms(), false);
}

} // namespace filbertroad::submission

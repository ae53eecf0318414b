#include "filbertroad/submission/internal/owner_state.hpp"

#include <utility>

namespace filbertroad::submission
{
namespace
{

/// Size in bytes above which no further job is added to a handover. The handover and its last job
/// must fit into one frame of wire::default_max_frame_bytes.
constexpr std::size_t max_handover_bytes = 16UL * 1024 * 1024;

/// The events that take a queued task to the state of `outcome`.
std::vector<internal::task_event> events_of(wire::outcome outcome)
{
    using internal::task_event;
    switch (outcome)
    {
    case wire::outcome_succeeded:
        return {task_event::dispatched, task_event::succeeded};
    case wire::outcome_not_run:
        return {task_event::rejected};
    case wire::outcome_may_have_run:
        return {task_event::dispatched, task_event::lost};
    default:
        return {task_event::dispatched, task_event::failed};
    }
}

bool has_every_result(wire::job_report const& report)
{
    if (static_cast<std::uint32_t>(report.results_size()) != report.task_count())
    {
        return false;
    }
    for (int i = 0; i < report.results_size(); ++i)
    {
        if (report.results(i).task().index() != static_cast<std::uint32_t>(i))
        {
            return false;
        }
    }
    return true;
}

} // namespace

wire::handover shard_owner::take_handover()
{
    auto& state = *this->impl;
    wire::handover out;
    std::size_t bytes = 0;
    for (auto* const job : state.jobs.jobs_by_serial())
    {
        if (!job->has_ended() || job->handed_over)
        {
            continue;
        }
        if (bytes > 0 && bytes + job->bytes > max_handover_bytes)
        {
            break;
        }
        job->handed_over = true;
        bytes += job->bytes;
        *out.add_jobs() = state.report(*job, false);
        auto& request = *out.add_requests();
        request.set_route(job->id().route);
        request.set_key(job->id().key);
        request.set_team(state.jobs.name_of(job->team));
        request.set_digest(job->digest);
        request.set_repeatable(job->content && job->content->repeatable);
    }
    return out;
}

void shard_owner::accept_handover(wire::handover const& jobs, base::steady_time now,
                                  base::system_time wall)
{
    auto& state = *this->impl;
    state.advance(now, wall);
    for (int i = 0; i < jobs.jobs_size() && i < jobs.requests_size(); ++i)
    {
        auto const& report = jobs.jobs(i);
        auto const& request = jobs.requests(i);
        auto const key = model::parse_key(report.key());
        model::job_id const id{report.route(), report.key()};
        auto const acknowledged = report.results_size() == 0;
        if (!key || report.task_count() == 0 || report.task_count() > model::max_tasks ||
            (!acknowledged && !has_every_result(report)))
        {
            continue;
        }
        if (auto* const job = state.jobs.find(id))
        {
            if (job->has_ended() || job->content->submitted)
            {
                continue;
            }
            state.remove_job(*job);
        }
        state.add_handed_over_job(report, request, key.value().created);
    }
}

void shard_owner::state::add_handed_over_job(wire::job_report const& report,
                                             wire::job_request const& request,
                                             base::system_time created)
{
    auto& job = this->add_job({report.route(), report.key()}, created, request.digest(),
                              report.task_count(), request.team());
    job.content->submitted = true;
    job.content->repeatable = request.repeatable();
    this->record_history(job, internal::whole_job, internal::history_event::handed_over);
    auto const acknowledged = report.results_size() == 0;
    job.in_doubt = acknowledged;
    for (std::uint32_t index = 0; index < report.task_count(); ++index)
    {
        internal::task_answer answer;
        if (acknowledged)
        {
            answer.outcome = report.state() == wire::job_state_complete ? wire::outcome_succeeded
                                                                        : wire::outcome_failed;
        }
        else
        {
            answer = internal::to_answer(report.results(static_cast<int>(index)));
        }
        job.in_doubt = job.in_doubt || answer.outcome == wire::outcome_may_have_run;
        auto const events = events_of(answer.outcome);
        if (events.size() > 1)
        {
            this->apply(job, index, events.front());
        }
        this->end_task(job, index, events.back(), std::move(answer));
    }
    if (acknowledged)
    {
        this->jobs.discard_answers(job);
    }
}

} // namespace filbertroad::submission

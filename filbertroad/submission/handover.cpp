#include "filbertroad/submission/internal/owner_state.hpp"

#include <utility>

namespace filbertroad::submission
{
namespace
{

/// A handover must fit into a frame of wire::default_max_frame together with its last job.
constexpr std::size_t max_handover_bytes = 16UL * 1024 * 1024;

/// The events that lead from a queued task to its outcome.
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

bool is_handed_over_whole(wire::job_report const& report)
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
    auto& state = *this->content;
    wire::handover out;
    std::size_t bytes = 0;
    for (auto* const held : state.jobs.in_order())
    {
        if (!held->has_ended() || held->handed_over)
        {
            continue;
        }
        if (bytes > 0 && bytes + held->bytes > max_handover_bytes)
        {
            break;
        }
        held->handed_over = true;
        bytes += held->bytes;
        *out.add_jobs() = state.report(*held, false);
        auto& request = *out.add_requests();
        request.set_route(held->id().route);
        request.set_key(held->id().key);
        request.set_team(state.jobs.name_of(held->team));
        request.set_digest(held->digest);
        request.set_repeatable(held->content && held->content->repeatable);
    }
    return out;
}

void shard_owner::accept_handover(wire::handover const& jobs, base::steady_time now,
                                  base::system_time wall)
{
    auto& state = *this->content;
    state.advance(now, wall);
    for (int i = 0; i < jobs.jobs_size() && i < jobs.requests_size(); ++i)
    {
        auto const& report = jobs.jobs(i);
        auto const& request = jobs.requests(i);
        auto const key = model::parse_key(report.key());
        model::job_id const id{report.route(), report.key()};
        auto const acknowledged = report.results_size() == 0;
        if (!key || report.task_count() == 0 || report.task_count() > model::max_tasks ||
            (!acknowledged && !is_handed_over_whole(report)))
        {
            continue;
        }
        if (auto* const known = state.jobs.find(id))
        {
            if (known->has_ended() || known->content->submitted)
            {
                continue;
            }
            state.remove_job(*known);
        }
        state.add_handed_over(report, request, key.value().created);
    }
}

void shard_owner::state::add_handed_over(wire::job_report const& report,
                                         wire::job_request const& request,
                                         base::system_time created)
{
    auto& added = this->add_job({report.route(), report.key()}, created, request.digest(),
                                report.task_count(), request.team());
    added.content->submitted = true;
    added.content->repeatable = request.repeatable();
    this->note(added, internal::whole_job, internal::history_event::handed_over);
    auto const acknowledged = report.results_size() == 0;
    added.in_doubt = acknowledged;
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
        added.in_doubt = added.in_doubt || answer.outcome == wire::outcome_may_have_run;
        auto const events = events_of(answer.outcome);
        if (events.size() > 1)
        {
            this->apply(added, index, events.front());
        }
        this->settle(added, index, events.back(), std::move(answer));
    }
    if (acknowledged)
    {
        this->jobs.forget_answers(added);
    }
}

} // namespace filbertroad::submission

#include "filbertroad/submission/internal/owner_state.hpp"

namespace filbertroad::submission
{
namespace internal
{

task_answer to_answer(wire::task_result const& result)
{
    task_answer answer;
    answer.outcome =
        result.outcome() == wire::outcome_unset ? wire::outcome_may_have_run : result.outcome();
    answer.body = result.body();
    answer.reason = result.reason();
    answer.target = result.target();
    answer.run_time_us = result.run_time_us();
    answer.started_unix_ms = result.started_unix_ms();
    return answer;
}

} // namespace internal

namespace
{

wire::job_state state_of(internal::job const& job)
{
    if (job.has_ended())
    {
        return job.failed ? wire::job_state_failed : wire::job_state_complete;
    }
    auto const& content = *job.content;
    if (content.interrupted_tasks > 0)
    {
        return wire::job_state_interrupted;
    }
    return content.queued_tasks == job.task_count ? wire::job_state_queued
                                                  : wire::job_state_running;
}

std::string_view text_of(internal::history_event event)
{
    switch (event)
    {
    case internal::history_event::accepted:
        return "accepted";
    case internal::history_event::recovered:
        return "recovered from ledgers";
    case internal::history_event::resumed:
        return "resubmitted after the owner was lost";
    case internal::history_event::sent:
        return "sent";
    case internal::history_event::refused:
        return "refused";
    case internal::history_event::not_received:
        return "not received";
    case internal::history_event::running:
        return "running";
    case internal::history_event::cancel_requested:
        return "cancel requested";
    case internal::history_event::ended:
        return "ended";
    case internal::history_event::handed_over:
        return "handed over by the previous owner";
    case internal::history_event::truncated:
        return "later lines omitted";
    }
    return "";
}

} // namespace

wire::job_report shard_owner::state::report(internal::job const& job, bool with_history) const
{
    wire::job_report out;
    out.set_route(job.id().route);
    out.set_key(job.id().key);
    out.set_state(state_of(job));
    out.set_task_count(job.task_count);
    out.set_finished(job.ended_tasks);
    out.set_owner(this->self.name);
    if (job.content)
    {
        out.set_reason(job.content->reason);
        if (job.has_ended())
        {
            this->add_answers(job, out);
        }
        if (with_history)
        {
            this->add_history(job, out);
        }
    }
    return out;
}

void shard_owner::state::add_answers(internal::job const& job, wire::job_report& out) const
{
    auto const& tasks = job.content->tasks;
    out.mutable_results()->Reserve(static_cast<int>(tasks.size()));
    for (std::uint32_t i = 0; i < job.task_count; ++i)
    {
        auto const& answer = *tasks[i].answer;
        auto& result = *out.add_results();
        *result.mutable_task() = wire::make_task_ref(job.id(), i);
        result.set_outcome(answer.outcome);
        result.set_body(answer.body);
        result.set_reason(answer.reason);
        result.set_target(answer.target);
        result.set_run_time_us(answer.run_time_us);
        result.set_started_unix_ms(answer.started_unix_ms);
    }
}

void shard_owner::state::add_history(internal::job const& job, wire::job_report& out) const
{
    for (auto const& line : job.content->history)
    {
        auto& text = *out.add_history();
        text.set_index(line.index);
        text.set_unix_ms(line.unix_ms);
        text.set_event(std::string(text_of(line.event)));
        text.set_target(this->jobs.name_of(line.target));
        if (line.refusal != wire::refusal_unset)
        {
            text.set_reason(wire::refusal_Name(line.refusal));
        }
        else if (line.event == internal::history_event::ended)
        {
            auto const& answer = job.content->tasks[line.index].answer;
            text.set_reason(wire::outcome_Name(answer->outcome) +
                            (answer->reason.empty() ? "" : ": " + answer->reason));
        }
    }
}

} // namespace filbertroad::submission

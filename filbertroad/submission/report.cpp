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

wire::job_state state_of(internal::job const& reported)
{
    if (reported.has_ended())
    {
        return reported.failed ? wire::job_state_failed : wire::job_state_complete;
    }
    auto const& content = *reported.content;
    if (content.interrupted_tasks > 0)
    {
        return wire::job_state_interrupted;
    }
    return content.queued_tasks == reported.task_count ? wire::job_state_queued
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
        return "submitted again after the owner was lost";
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
        return "handed over by the earlier owner";
    case internal::history_event::truncated:
        return "later lines left out";
    }
    return "";
}

} // namespace

wire::job_report shard_owner::state::report(internal::job const& reported, bool with_history) const
{
    wire::job_report out;
    out.set_route(reported.id().route);
    out.set_key(reported.id().key);
    out.set_state(state_of(reported));
    out.set_task_count(reported.task_count);
    out.set_finished(reported.ended_tasks);
    out.set_owner(this->self.name);
    if (reported.content)
    {
        out.set_reason(reported.content->reason);
        if (reported.has_ended())
        {
            this->add_answers(reported, out);
        }
        if (with_history)
        {
            this->add_history(reported, out);
        }
    }
    return out;
}

void shard_owner::state::add_answers(internal::job const& reported, wire::job_report& out) const
{
    auto const& tasks = reported.content->tasks;
    out.mutable_results()->Reserve(static_cast<int>(tasks.size()));
    for (std::uint32_t i = 0; i < reported.task_count; ++i)
    {
        auto const& answer = *tasks[i].answer;
        auto& result = *out.add_results();
        *result.mutable_task() = wire::make_task_ref(reported.id(), i);
        result.set_outcome(answer.outcome);
        result.set_body(answer.body);
        result.set_reason(answer.reason);
        result.set_target(answer.target);
        result.set_run_time_us(answer.run_time_us);
        result.set_started_unix_ms(answer.started_unix_ms);
    }
}

void shard_owner::state::add_history(internal::job const& reported, wire::job_report& out) const
{
    for (auto const& line : reported.content->history)
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
            auto const& answer = reported.content->tasks[line.index].answer;
            text.set_reason(wire::outcome_Name(answer->outcome) +
                            (answer->reason.empty() ? "" : ": " + answer->reason));
        }
    }
}

} // namespace filbertroad::submission

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include "filbertroad/dispatch/internal/dispatch_job.hpp"
#include "filbertroad/dispatch/internal/elapsed.hpp"
#include "filbertroad/dispatch/internal/job_footprint.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace filbertroad::dispatch
{

namespace
{

/// Estimated run time of the longest chain of dependent steps.
milliseconds critical_path_time(std::span<job_step const> steps)
{
    std::vector<milliseconds> ends;
    milliseconds longest{};
    for (auto const& step : steps)
    {
        milliseconds begin{};
        for (auto const earlier : step.after)
        {
            begin = std::max(begin, ends[earlier]);
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace

std::string_view to_string(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::given_up:
        return "given_up";
    case job_outcome::not_run:
        break;
    }
    return "not_run";
}

std::string_view to_string(task_place place)
{
    switch (place)
    {
    case task_place::any:
        return "any";
    case task_place::near:
        return "near";
    case task_place::near_queue:
        return "near_queue";
    case task_place::far:
        break;
    }
    return "far";
}

job_dispatcher::job_dispatcher(base::clock const& clock, dispatch_limits limits)
    : clock(clock), limits(limits), started(clock.steady_now())
{
}

job_dispatcher::~job_dispatcher() = default;

bool job_dispatcher::placement::is_better_than(placement const& other) const
{
    if (this->rank != other.rank)
    {
        return this->rank < other.rank;
    }
    return this->wait + this->run < other.wait + other.run;
}

void job_dispatcher::submit(job_request request)
{
    if (this->jobs.contains(request.key))
    {
        return;
    }
    auto const now = this->clock.steady_now();
    auto owned = std::make_unique<job>();
    auto& added = *owned;
    added.request = std::move(request);
    added.arrived = now;
    added.deadline = now + added.request.time_budget;
    added.objective =
        internal::scaled(critical_path_time(added.request.steps), added.request.stretch) +
        added.request.target_latency;
    added.expires_at = std::min(
        added.deadline, now + internal::scaled(added.objective, this->limits.expiry_factor));
    auto const is_full = this->is_full(added.request);
    added.bytes = is_full ? 0 : internal::job_footprint(added.request);
    this->job_bytes += added.bytes;
    if (!is_full)
    {
        added.create_tasks();
    }
    this->visits.tasks += added.tasks.size();
    for (std::size_t index = 0; index < added.tasks.size(); ++index)
    {
        this->tasks[added.tasks[index].name] = {&added, index};
    }
    this->record_work(added.request);
    this->jobs.emplace(added.request.key, std::move(owned));
    added.is_counted_as_waiting = true;
    ++this->waiting_job_counts[added.request.route];
    if (is_full)
    {
        this->finish(added, job_outcome::not_run, "too many jobs");
    }
    else if (this->exceeds_every_target(added))
    {
        this->finish(added, job_outcome::not_run, "no target has the capacity");
    }
    else if (auto const reason = this->unplaceable_reason(added); !reason.empty())
    {
        this->finish(added, job_outcome::not_run, reason);
    }
    else
    {
        this->admit(added);
    }
    this->remove_if_ended(added);
}

void job_dispatcher::refuse(job_request const& request, std::string_view reason)
{
    this->actions.emplace_back(answer_job{.key = request.key,
                                          .outcome = job_outcome::not_run,
                                          .reason = std::string(reason),
                                          .retry_after = this->limits.retry_after});
}

bool job_dispatcher::is_full(job_request const& request) const
{
    if (this->jobs.size() >= this->limits.max_jobs)
    {
        return true;
    }
    auto const added = internal::task_count(request);
    return !this->jobs.empty() &&
           (this->tasks.size() + added > this->share_of(this->limits.max_tasks, added) ||
            this->job_bytes + internal::job_footprint(request) >
                this->share_of(this->limits.max_job_bytes, added));
}

bool job_dispatcher::cancel(std::string_view key)
{
    auto const found = this->jobs.find(key);
    if (found == this->jobs.end())
    {
        return false;
    }
    auto& parent_job = *found->second;
    this->give_up(parent_job, cancelled_reason);
    this->remove_if_ended(parent_job);
    return true;
}

void job_dispatcher::give_up_all(std::string_view reason)
{
    while (!this->jobs.empty())
    {
        auto& parent_job = *this->jobs.begin()->second;
        this->give_up(parent_job, reason);
        this->remove_if_ended(parent_job);
    }
}

bool job_dispatcher::holds(std::string_view key) const
{
    return this->jobs.contains(key);
}

template <class Use>
void job_dispatcher::for_each_sent_to(std::string_view agent, Use use)
{
    for (auto const& [key, parent_job] : this->jobs)
    {
        auto const& sent = parent_job->sent;
        for (auto next = sent.first_from(0); next; next = sent.first_from(*next + 1))
        {
            ++this->visits.tasks;
            if (auto const& item = parent_job->tasks[*next]; item.agent == agent)
            {
                use(item);
            }
        }
    }
}

void job_dispatcher::agent_connected(process_id const& agent)
{
    auto& view = this->agents[agent.name];
    if (agent.incarnation < view.incarnation())
    {
        return;
    }
    bool const is_restart = view.incarnation() != 0 && view.incarnation() != agent.incarnation;
    view.connect(agent.incarnation, this->clock.steady_now());
    if (is_restart)
    {
        // A new agent connects only after every run of the earlier one has ended.
        this->mark_agent_runs_lost(agent.name, "agent restarted");
    }
    send_resume resume{agent.name, {}};
    this->for_each_sent_to(agent.name,
                           [&](task const& item) { resume.orders.push_back(item.order); });
    this->actions.emplace_back(std::move(resume));
}

void job_dispatcher::agent_disconnected(std::string_view agent)
{
    if (auto const found = this->agents.find(agent); found != this->agents.end())
    {
        found->second.disconnect();
    }
}

bool job_dispatcher::can_forget(std::string_view agent) const
{
    auto const found = this->agents.find(agent);
    return found == this->agents.end() ||
           (!found->second.is_connected() && found->second.open_runs() == 0);
}

void job_dispatcher::forget_agent(std::string_view agent)
{
    if (auto const found = this->agents.find(agent); found != this->agents.end())
    {
        this->agents.erase(found);
    }
}

void job_dispatcher::status_received(std::string_view agent, target_status const& status)
{
    auto const found = this->agents.find(agent);
    if (found == this->agents.end())
    {
        return;
    }
    bool const was_accepting = found->second.accepts_starts(this->clock.steady_now());
    found->second.update_status(status, this->clock.steady_now());
    this->crashes.observe(agent, found->second.incarnation(), status, this->clock.steady_now());
    if (!was_accepting && found->second.accepts_starts(this->clock.steady_now()))
    {
        this->tick();
    }
}

void job_dispatcher::run_ended(std::string_view agent, run_report const& report)
{
    this->actions.emplace_back(send_acknowledgement{std::string(agent), report.id});
    auto const found = this->tasks.find(report.id.task);
    if (found == this->tasks.end())
    {
        return;
    }
    auto& parent_job = *found->second.parent_job;
    auto& item = parent_job.tasks[found->second.index];
    bool const is_current =
        item.state == task_state::sent && item.run == report.id.run && item.agent == agent;
    if (is_current)
    {
        this->handle_run_end(parent_job, item, agent, report);
        this->remove_if_ended(parent_job);
    }
}

void job_dispatcher::record_work(job_request const& request)
{
    auto const now = this->clock.steady_now();
    double work = 0;
    for (auto const& step : request.steps)
    {
        work += static_cast<double>(step.estimate.count()) * step.count *
                static_cast<double>(step.resources.cpu) / 1000;
    }
    auto const [found, is_new] = this->recent_work.try_emplace({request.service, request.route});
    found->second.add(work, now);
    this->stragglers.add_work(work, now);
    if (is_new)
    {
        // Routes come and go with the configuration.
        std::erase_if(this->recent_work,
                      [&](auto const& item) { return item.second.is_negligible(now); });
    }
}

void job_dispatcher::handle_run_end(job& parent_job, task& item, std::string_view agent,
                                    run_report const& report)
{
    auto& view = this->agents.find(agent)->second;
    view.remove_open_run();
    this->learn_run_time(parent_job, item, report);
    parent_job.change(item, report.end == run_end::succeeded ? task_state::succeeded
                                                             : task_state::waiting);
    if (report.end != run_end::not_started)
    {
        parent_job.may_have_run = true;
    }
    switch (report.end)
    {
    case run_end::succeeded:
        view.record_success();
        if (parent_job.unfinished == 0)
        {
            this->finish(parent_job, job_outcome::completed, "");
            return;
        }
        break;
    case run_end::failed:
        ++item.failures;
        item.avoided = agent;
        view.record_failure(this->clock.steady_now());
        if (item.failures >= parent_job.request.max_attempts)
        {
            this->finish(parent_job, job_outcome::failed, "a task failed in every attempt");
            return;
        }
        break;
    case run_end::lost:
    case run_end::not_started:
        if (item.is_cancel_sent)
        {
            raise_estimate(item,
                           internal::scaled(report.elapsed, view.status().speed / item.run_factor));
            item.avoided = agent;
            view.record_failure(this->clock.steady_now());
        }
        if (report.end == run_end::not_started)
        {
            item.is_near_wait_over = item.place == task_place::near_queue;
            ++(item.is_near_wait_over ? item.near_waits : item.returns);
        }
        if (report.end == run_end::lost)
        {
            this->count_loss(parent_job, item, report);
            if (parent_job.is_ended)
            {
                return;
            }
        }
        break;
    }
    this->place_waiting_tasks(parent_job);
}

void job_dispatcher::count_loss(job& parent_job, task& item, run_report const& report)
{
    item.target_losses += report.target_lost ? 1 : 0;
    item.losses += report.target_lost || !item.is_cancel_sent ? 1 : 0;
    if (item.target_losses >= this->limits.max_target_losses)
    {
        // Not a failure of the job: no run has reported one, and another cause may have crashed the
        // targets.
        this->finish(parent_job, job_outcome::given_up,
                     "a task was lost with its target too often");
    }
    else if (item.losses >= this->limits.max_losses)
    {
        this->finish(parent_job, job_outcome::given_up, "a task was lost too often");
    }
}

void job_dispatcher::raise_estimate(task& item, milliseconds work)
{
    // At most doubled, because a run on a stalled target also takes long.
    item.estimate = std::max(item.estimate, std::min(work, 2 * item.estimate));
}

void job_dispatcher::mark_agent_runs_lost(std::string_view agent, std::string_view reason)
{
    std::vector<run_report> reports;
    this->for_each_sent_to(agent,
                           [&](task const& item)
                           {
                               reports.push_back({.id = {item.name, item.run},
                                                  .end = run_end::lost,
                                                  .reason = std::string(reason)});
                           });
    for (auto const& report : reports)
    {
        auto const found = this->tasks.find(report.id.task);
        if (found != this->tasks.end())
        {
            auto& parent_job = *found->second.parent_job;
            this->handle_run_end(parent_job, parent_job.tasks[found->second.index], agent, report);
            this->remove_if_ended(parent_job);
        }
    }
}

bool job_dispatcher::is_not_run(job const& parent_job)
{
    return !parent_job.may_have_run && parent_job.sent.empty();
}

void job_dispatcher::give_up(job& parent_job, std::string_view reason)
{
    this->finish(parent_job, is_not_run(parent_job) ? job_outcome::not_run : job_outcome::given_up,
                 reason);
}

void job_dispatcher::finish(job& parent_job, job_outcome outcome, std::string_view reason)
{
    if (std::exchange(parent_job.is_ended, true))
    {
        return;
    }
    answer_job answer;
    answer.key = parent_job.request.key;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.latency = internal::elapsed(parent_job.arrived, this->clock.steady_now());
    answer.runs = parent_job.runs;
    if (outcome == job_outcome::not_run)
    {
        answer.retry_after = parent_job.retry_after.value_or(this->limits.retry_after);
    }
    this->actions.emplace_back(std::move(answer));
}

void job_dispatcher::remove_if_ended(job& parent_job)
{
    if (!parent_job.is_ended)
    {
        return;
    }
    this->learn_from_stopped_runs(parent_job);
    this->stop_counting_as_waiting(parent_job);
    for (auto const& item : parent_job.tasks)
    {
        if (item.state == task_state::sent)
        {
            this->agents.find(item.agent)->second.remove_open_run();
        }
        if (item.state == task_state::sent && !item.is_cancel_sent)
        {
            this->actions.emplace_back(send_cancel{.agent = item.agent, .id = item.order.id});
        }
        this->tasks.erase(item.name);
    }
    this->job_bytes -= parent_job.bytes;
    this->jobs.erase(std::string(parent_job.request.key));
}

std::vector<dispatch_action> job_dispatcher::take_actions()
{
    return std::exchange(this->actions, {});
}

std::size_t job_dispatcher::waiting_jobs(std::string_view route) const
{
    auto const found = this->waiting_job_counts.find(route);
    return found == this->waiting_job_counts.end() ? 0 : found->second;
}

void job_dispatcher::stop_counting_as_waiting(job& parent_job)
{
    if (!std::exchange(parent_job.is_counted_as_waiting, false))
    {
        return;
    }
    auto const found = this->waiting_job_counts.find(parent_job.request.route);
    if (--found->second == 0)
    {
        this->waiting_job_counts.erase(found);
    }
}

std::size_t job_dispatcher::accepting_agents() const
{
    auto const now = this->clock.steady_now();
    return static_cast<std::size_t>(std::count_if(this->agents.begin(), this->agents.end(),
                                                  [&](auto const& item)
                                                  { return item.second.accepts_starts(now); }));
}

} // namespace filbertroad::dispatch

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::dispatch
{

enum class job_dispatcher::task_state
{
    /// Earlier steps are not done.
    blocked,
    /// To be placed on an agent.
    waiting,
    /// Sent to an agent; its end is not known.
    sent,
    succeeded,
};

struct job_dispatcher::task
{
    std::string name;
    std::size_t step = 0;
    task_state state = task_state::blocked;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    std::string agent;
    start_order order;
    base::steady_time sent{};
    /// Expected wait and run time at the time of sending.
    milliseconds expected{};
    bool is_cancel_sent = false;
    /// Agent that stalled or failed the last run; used again only if no other is open.
    std::string avoided;
};

struct job_dispatcher::job
{
    job_request request;
    base::steady_time arrived{};
    base::steady_time deadline{};
    milliseconds objective{};
    /// Time after which the answer is of no use; no task is started for an end after it.
    base::steady_time useful_until{};
    std::vector<task> tasks;
    std::size_t unfinished = 0;
    /// Starts sent to agents.
    std::uint32_t runs = 0;
    /// Whether a run may have begun on a target.
    bool may_have_run = false;
    bool is_ended = false;
};

namespace
{

milliseconds to_ms(base::steady_time::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Longest chain of estimated run times.
milliseconds longest_chain(std::span<job_step const> steps)
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

job_dispatcher::job_dispatcher(base::clock const& clock, dispatch_limits limits)
    : clock(clock), limits(limits)
{
}

job_dispatcher::~job_dispatcher() = default;

bool job_dispatcher::choice::is_better_than(choice const& other) const
{
    if (this->is_prompt != other.is_prompt)
    {
        return this->is_prompt;
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
    added.objective = scaled(longest_chain(added.request.steps), added.request.stretch) +
                      added.request.target_latency;
    added.useful_until =
        std::min(added.deadline, now + scaled(added.objective, this->limits.useful_factor));
    auto const& steps = added.request.steps;
    for (std::size_t step = 0; step < steps.size(); ++step)
    {
        for (std::uint32_t index = 0; index < steps[step].count; ++index)
        {
            task item;
            item.name =
                added.request.key + ".0." + std::to_string(step) + "." + std::to_string(index);
            item.step = step;
            added.tasks.push_back(std::move(item));
        }
    }
    added.unfinished = added.tasks.size();
    for (std::size_t index = 0; index < added.tasks.size(); ++index)
    {
        this->tasks[added.tasks[index].name] = {&added, index};
    }
    auto const is_full = this->jobs.size() >= this->limits.max_jobs;
    this->jobs.emplace(added.request.key, std::move(owned));
    if (is_full)
    {
        this->finish(added, job_outcome::not_run, "too many jobs");
    }
    else
    {
        this->release_steps(added);
        this->admit(added);
    }
    this->settle(added);
}

bool job_dispatcher::cancel(std::string_view key)
{
    auto const found = this->jobs.find(key);
    if (found == this->jobs.end())
    {
        return false;
    }
    auto& of = *found->second;
    this->give_up(of, "cancelled");
    this->settle(of);
    return true;
}

bool job_dispatcher::holds(std::string_view key) const
{
    return this->jobs.contains(key);
}

void job_dispatcher::agent_connected(process_identity const& agent)
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
        // A new agent connects only after every run of the earlier one is over.
        this->runs_of_agent_over(agent.name, "agent restarted");
    }
    send_resume resume{agent.name, {}};
    for (auto const& [key, of] : this->jobs)
    {
        for (auto const& item : of->tasks)
        {
            if (item.state == task_state::sent && item.agent == agent.name)
            {
                resume.orders.push_back(item.order);
            }
        }
    }
    this->actions.emplace_back(std::move(resume));
}

void job_dispatcher::agent_disconnected(std::string_view agent)
{
    if (auto const found = this->agents.find(agent); found != this->agents.end())
    {
        found->second.disconnect();
    }
}

void job_dispatcher::status_received(std::string_view agent, target_status const& status)
{
    auto const found = this->agents.find(agent);
    if (found == this->agents.end())
    {
        return;
    }
    bool const was_open = found->second.is_open(this->clock.steady_now());
    found->second.take_status(status, this->clock.steady_now());
    if (!was_open && found->second.is_open(this->clock.steady_now()))
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
    auto& of = *found->second.owner;
    auto& item = of.tasks[found->second.index];
    bool const is_current =
        item.state == task_state::sent && item.run == report.id.run && item.agent == agent;
    if (is_current)
    {
        this->take_end(of, item, agent, report);
        this->settle(of);
    }
}

void job_dispatcher::take_end(job& of, task& item, std::string_view agent, run_report const& report)
{
    auto& view = this->agents.find(agent)->second;
    item.state = task_state::waiting;
    if (report.end != run_end::not_started)
    {
        of.may_have_run = true;
    }
    switch (report.end)
    {
    case run_end::succeeded:
        item.state = task_state::succeeded;
        --of.unfinished;
        view.note_success();
        this->release_steps(of);
        if (of.unfinished == 0)
        {
            this->finish(of, job_outcome::completed, "");
            return;
        }
        break;
    case run_end::failed:
        ++item.failures;
        item.avoided = agent;
        view.note_failure(this->clock.steady_now());
        if (item.failures >= of.request.max_attempts)
        {
            this->finish(of, job_outcome::failed, "a task failed in every attempt");
            return;
        }
        break;
    case run_end::lost:
    case run_end::not_started:
        if (item.is_cancel_sent)
        {
            item.avoided = agent;
            view.note_failure(this->clock.steady_now());
        }
        break;
    }
    this->place_waiting(of);
}

void job_dispatcher::runs_of_agent_over(std::string_view agent, std::string_view reason)
{
    std::vector<run_report> reports;
    for (auto const& [key, of] : this->jobs)
    {
        for (auto const& item : of->tasks)
        {
            if (item.state == task_state::sent && item.agent == agent)
            {
                reports.push_back(
                    {{item.name, item.run}, run_end::lost, std::string(reason), {}, {}});
            }
        }
    }
    for (auto const& report : reports)
    {
        auto const found = this->tasks.find(report.id.task);
        if (found != this->tasks.end())
        {
            auto& of = *found->second.owner;
            this->take_end(of, of.tasks[found->second.index], agent, report);
            this->settle(of);
        }
    }
}

void job_dispatcher::tick()
{
    std::vector<std::string> keys;
    keys.reserve(this->jobs.size());
    for (auto const& [key, of] : this->jobs)
    {
        keys.push_back(key);
    }
    for (auto const& key : keys)
    {
        if (auto const found = this->jobs.find(key); found != this->jobs.end())
        {
            this->check_job(*found->second);
            this->settle(*found->second);
        }
    }
}

void job_dispatcher::check_job(job& of)
{
    for (auto& item : of.tasks)
    {
        if (of.is_ended)
        {
            return;
        }
        if (item.state == task_state::sent)
        {
            this->check_task(of, item);
        }
    }
    if (of.is_ended)
    {
        return;
    }
    auto const now = this->clock.steady_now();
    if (now >= of.deadline)
    {
        this->give_up(of, "time budget over");
        return;
    }
    this->place_waiting(of);
    if (of.is_ended || this->refuse_if_too_late(of))
    {
        return;
    }
    bool const is_unplaced =
        std::any_of(of.tasks.begin(), of.tasks.end(),
                    [](task const& item) { return item.state == task_state::waiting; });
    auto const patience = scaled(of.objective, this->limits.waiting_share);
    if (is_unplaced && is_not_run(of) && now - of.arrived > patience)
    {
        this->finish(of, job_outcome::not_run, "no target takes work");
    }
}

void job_dispatcher::check_task(job& of, task& item)
{
    auto const now = this->clock.steady_now();
    auto const& view = this->agents.find(item.agent)->second;
    auto const silence = now - view.last_heard();
    if (silence > this->limits.runs_over_after)
    {
        this->take_end(of, item, item.agent,
                       {{item.name, item.run}, run_end::lost, "agent silent", {}, {}});
        return;
    }
    if (silence > this->limits.authority)
    {
        // The run is being stopped by now; whether a further one can end in time is known.
        auto const again = view.last_heard() + this->limits.runs_over_after + item.order.estimate;
        if (again > of.deadline)
        {
            of.may_have_run = true;
            this->finish(of, job_outcome::given_up, "agent silent");
        }
        return;
    }
    auto const patience =
        scaled(item.expected, this->limits.stall_factor) + this->limits.stall_slack;
    if (item.is_cancel_sent || now - item.sent < patience)
    {
        return;
    }
    auto const other = this->choose(of, item, item.agent);
    bool const helps = other && *other->agent != item.agent &&
                       now + other->wait + other->run + this->limits.stall_slack < of.deadline;
    if (helps)
    {
        item.is_cancel_sent = true;
        this->actions.emplace_back(send_cancel{item.agent, item.order.id});
    }
}

bool job_dispatcher::is_crowded_out(base::steady_time now) const
{
    std::size_t open = 0;
    std::size_t suspended = 0;
    for (auto const& [name, view] : this->agents)
    {
        open += view.is_open(now) ? 1 : 0;
        suspended += view.is_open(now) && view.is_suspended(now) ? 1 : 0;
    }
    return suspended * 2 > open;
}

std::optional<job_dispatcher::choice> job_dispatcher::choose(job const& of, task const& item,
                                                             std::string const& avoided) const
{
    auto const now = this->clock.steady_now();
    auto const& step = of.request.steps[item.step];
    auto const prompt_until = of.arrived + of.objective - this->limits.prompt_margin;
    // Half of the targets stay in use, since a fault of so many is not one of the targets.
    bool const ignore_suspension = this->is_crowded_out(now);
    std::optional<choice> best;
    std::optional<choice> last_resort;
    for (auto const& [name, view] : this->agents)
    {
        if (!view.is_open(now) || view.status().service != of.request.service ||
            !view.status().capacity.holds(step.room))
        {
            continue;
        }
        choice candidate{&name, view.expected_wait(step.room, of.request.priority),
                         view.expected_run(step.estimate)};
        candidate.is_prompt = candidate.wait == milliseconds(0) &&
                              now + candidate.run + this->limits.hop_time <= prompt_until;
        bool const is_last_resort =
            avoided == name || (view.is_suspended(now) && !ignore_suspension);
        auto& slot = is_last_resort ? last_resort : best;
        if (!slot || candidate.is_better_than(*slot))
        {
            slot = candidate;
        }
    }
    return best ? best : last_resort;
}

void job_dispatcher::release_steps(job& of)
{
    auto const is_done = [&](std::uint32_t step)
    {
        return std::none_of(of.tasks.begin(), of.tasks.end(),
                            [&](task const& item)
                            { return item.step == step && item.state != task_state::succeeded; });
    };
    for (auto& item : of.tasks)
    {
        auto const& after = of.request.steps[item.step].after;
        if (item.state == task_state::blocked && std::all_of(after.begin(), after.end(), is_done))
        {
            item.state = task_state::waiting;
        }
    }
}

bool job_dispatcher::is_not_run(job const& of)
{
    return !of.may_have_run &&
           std::none_of(of.tasks.begin(), of.tasks.end(),
                        [](task const& item) { return item.state == task_state::sent; });
}

void job_dispatcher::give_up(job& of, std::string_view reason)
{
    this->finish(of, is_not_run(of) ? job_outcome::not_run : job_outcome::given_up, reason);
}

bool job_dispatcher::refuse_if_too_late(job& of)
{
    auto const now = this->clock.steady_now();
    for (auto const& item : of.tasks)
    {
        if (item.state != task_state::waiting)
        {
            continue;
        }
        auto const chosen = this->choose(of, item, item.avoided);
        if (chosen && now + chosen->wait + chosen->run + this->limits.hop_time > of.useful_until)
        {
            this->give_up(of, "cannot end in time");
            return true;
        }
    }
    return false;
}

void job_dispatcher::admit(job& of)
{
    auto const now = this->clock.steady_now();
    milliseconds expected_end{};
    std::vector<std::pair<task*, choice>> plan;
    for (auto& item : of.tasks)
    {
        if (item.state != task_state::waiting)
        {
            continue;
        }
        auto const chosen = this->choose(of, item, item.avoided);
        if (!chosen)
        {
            break;
        }
        this->reserve(of, item, *chosen);
        plan.emplace_back(&item, *chosen);
        expected_end = std::max(expected_end, chosen->wait + chosen->run + this->limits.hop_time);
    }
    auto const lateness = static_cast<double>(expected_end.count()) /
                          static_cast<double>(std::max<std::int64_t>(of.objective.count(), 1));
    bool const is_admitted = this->overload.admits(of.request.priority, lateness, now) &&
                             now + expected_end <= of.useful_until;
    if (!is_admitted)
    {
        for (auto planned = plan.rbegin(); planned != plan.rend(); ++planned)
        {
            this->agents.find(*planned->second.agent)->second.forget_last_sent();
        }
        this->finish(of, job_outcome::not_run, "overload");
        return;
    }
    for (auto& [item, chosen] : plan)
    {
        this->send(of, *item, chosen);
    }
}

void job_dispatcher::place_waiting(job& of)
{
    for (auto& item : of.tasks)
    {
        if (item.state != task_state::waiting)
        {
            continue;
        }
        auto const chosen = this->choose(of, item, item.avoided);
        if (!chosen)
        {
            return;
        }
        auto const end = this->clock.steady_now() + chosen->wait + chosen->run;
        if (end + this->limits.hop_time > of.useful_until)
        {
            this->give_up(of, "cannot end in time");
            return;
        }
        this->reserve(of, item, *chosen);
        this->send(of, item, *chosen);
    }
}

void job_dispatcher::reserve(job const& of, task const& item, choice const& chosen)
{
    auto const& room = of.request.steps[item.step].room;
    auto const work =
        static_cast<double>(chosen.run.count()) * static_cast<double>(room.cpu) / 1000;
    this->agents.find(*chosen.agent)->second.note_sent(room, work, of.request.priority);
}

void job_dispatcher::send(job& of, task& item, choice const& chosen)
{
    auto const now = this->clock.steady_now();
    auto const& step = of.request.steps[item.step];
    item.state = task_state::sent;
    item.agent = *chosen.agent;
    item.sent = now;
    item.expected = chosen.wait + chosen.run + this->limits.hop_time;
    item.is_cancel_sent = false;
    ++item.run;
    ++of.runs;
    auto const time_left = to_ms(of.useful_until - now) - chosen.run;
    auto const queue_limit = chosen.wait * this->limits.queue_factor + this->limits.queue_slack;
    item.order = {.id = {item.name, item.run},
                  .payload = of.request.payload,
                  .room = step.room,
                  .estimate = step.estimate,
                  .priority = of.request.priority,
                  .useful_for = std::clamp(time_left, milliseconds(0), queue_limit)};
    this->actions.emplace_back(send_start{item.agent, item.order, chosen.wait, chosen.run});
}

void job_dispatcher::finish(job& of, job_outcome outcome, std::string_view reason)
{
    if (std::exchange(of.is_ended, true))
    {
        return;
    }
    answer_job answer;
    answer.key = of.request.key;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.held = to_ms(this->clock.steady_now() - of.arrived);
    answer.runs = of.runs;
    if (outcome == job_outcome::not_run)
    {
        answer.retry_after = this->limits.retry_after;
    }
    this->actions.emplace_back(std::move(answer));
}

void job_dispatcher::settle(job& of)
{
    if (!of.is_ended)
    {
        return;
    }
    for (auto const& item : of.tasks)
    {
        if (item.state == task_state::sent && !item.is_cancel_sent)
        {
            this->actions.emplace_back(send_cancel{item.agent, item.order.id});
        }
        this->tasks.erase(item.name);
    }
    this->jobs.erase(std::string(of.request.key));
}

std::vector<dispatch_action> job_dispatcher::take_actions()
{
    return std::exchange(this->actions, {});
}

std::size_t job_dispatcher::waiting_jobs(std::string_view route) const
{
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), this->jobs.end(),
                                                  [&](auto const& item) {
                                                      return item.second->request.route == route &&
                                                             item.second->runs == 0;
                                                  }));
}

std::size_t job_dispatcher::open_agents() const
{
    auto const now = this->clock.steady_now();
    return static_cast<std::size_t>(std::count_if(this->agents.begin(), this->agents.end(),
                                                  [&](auto const& item)
                                                  { return item.second.is_open(now); }));
}

} // namespace filbertroad::dispatch

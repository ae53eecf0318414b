#include "filbertroad/measure/replay.hpp"

#include "filbertroad/measure/event_queue.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <string>

namespace filbertroad::measure
{
namespace
{

/// Targets are announced this long before the first job, so that their ramp-up has passed.
constexpr time_us start_up = 3'000'000;
/// Interval at which the owner looks for held targets that may be used again.
constexpr time_us tick_interval = 10'000;

enum class event_kind
{
    job_arrived,
    task_received,
    task_ended,
    task_reported,
    task_refused,
    zone_left,
    zone_returned,
    tick,
};

struct event
{
    event_kind kind;
    std::uint32_t job = 0;
    std::uint32_t index = 0;
    std::uint32_t target = 0;
};

struct agent
{
    std::uint32_t running = 0;
    std::deque<event> held;
};

class owner_replay
{
public:
    owner_replay(trace const& content, replay_options const& options)
        : content(content), options(options), queue(scheduling::scheduler::builder()
                                                        .seed(options.seed)
                                                        .max_queued_tasks(options.max_queued_tasks)
                                                        .build())
    {
        this->result.responses.resize(content.jobs.size(), not_answered);
        this->remaining.resize(content.jobs.size());
        this->agents.resize(content.targets.size());
        for (std::uint32_t number = 0; number < content.targets.size(); ++number)
        {
            auto const& target = content.targets[number];
            this->numbers[target.name] = number;
            this->queue.update_target(
                {target.name, zone_name(target.zone), {}, target.slots, options.held_starts},
                to_steady(-start_up));
        }
    }

    outcome run()
    {
        for (std::uint32_t job = 0; job < this->content.jobs.size(); ++job)
        {
            this->events.add(this->content.jobs[job].arrival + this->content.caller_latency,
                             {event_kind::job_arrived, job});
        }
        for (auto const& outage : this->options.outages)
        {
            this->events.add(outage.from, {event_kind::zone_left, outage.zone});
            this->events.add(outage.until, {event_kind::zone_returned, outage.zone});
        }
        while (!this->events.empty())
        {
            auto const next = this->events.take();
            this->now = next.time;
            this->handle(next.event);
        }
        std::sort(this->result.completions.begin(), this->result.completions.end());
        return std::move(this->result);
    }

private:
    static base::steady_time to_steady(time_us time)
    {
        return base::steady_time(std::chrono::hours(1)) + std::chrono::microseconds(time);
    }
    static std::string zone_name(std::uint32_t zone) { return "zone-" + std::to_string(zone); }

    void handle(event const& event)
    {
        switch (event.kind)
        {
        case event_kind::job_arrived:
            this->admit(event.job);
            break;
        case event_kind::task_received:
            this->agents[event.target].held.push_back(event);
            this->start_held(event.target);
            return;
        case event_kind::task_ended:
            this->result.completions.push_back(
                {this->now, this->content.jobs[event.job].run_us[event.index]});
            ++this->result.messages;
            --this->agents[event.target].running;
            this->start_held(event.target);
            this->events.add(this->now + this->content.latency_to(event.target),
                             {event_kind::task_reported, event.job, event.index, event.target});
            return;
        case event_kind::task_reported:
            this->report(event);
            break;
        case event_kind::task_refused:
            this->queue.task_refused({event.job, event.index},
                                     scheduling::start_refusal::gate_closed, to_steady(this->now));
            break;
        case event_kind::zone_left:
        case event_kind::zone_returned:
            this->set_zone(event.job, event.kind == event_kind::zone_returned);
            break;
        case event_kind::tick:
            this->ticking = false;
            break;
        }
        this->dispatch();
    }

    void admit(std::uint32_t job)
    {
        auto const& spec = this->content.jobs[job];
        scheduling::job_entry entry;
        entry.job = job;
        entry.team = "team-" + std::to_string(spec.team);
        entry.route = "route-" + std::to_string(spec.route);
        entry.tasks.resize(spec.run_us.size());
        std::iota(entry.tasks.begin(), entry.tasks.end(), 0);
        this->remaining[job] = static_cast<std::uint32_t>(entry.tasks.size());
        // A refused caller does not come back: the trace stays the same for every system.
        static_cast<void>(this->queue.admit(entry, to_steady(this->now)).has_value());
    }

    void report(event const& event)
    {
        this->queue.task_finished(
            {event.job, event.index}, scheduling::finish::succeeded,
            std::chrono::microseconds(this->content.run_time(event.job, event.index, event.target)),
            to_steady(this->now));
        if (--this->remaining[event.job] == 0)
        {
            this->result.responses[event.job] =
                this->now + this->content.caller_latency - this->content.jobs[event.job].arrival;
        }
    }

    void start_held(std::uint32_t target)
    {
        auto& agent = this->agents[target];
        while (!agent.held.empty() && agent.running < this->content.targets[target].slots)
        {
            auto const task = agent.held.front();
            agent.held.pop_front();
            ++agent.running;
            this->events.add(this->now + this->content.run_time(task.job, task.index, target),
                             {event_kind::task_ended, task.job, task.index, target});
        }
    }

    void set_zone(std::uint32_t zone, bool open)
    {
        for (auto const& target : this->content.targets)
        {
            if (target.zone == zone)
            {
                this->queue.set_target_open(target.name, open, to_steady(this->now));
                if (!open)
                {
                    this->refuse_held(this->numbers[target.name]);
                }
            }
        }
    }

    /// The agent of a target that left sends back the starts that it holds, one message each.
    void refuse_held(std::uint32_t target)
    {
        auto& held = this->agents[target].held;
        auto const arrives = this->now + 2 * this->content.latency_to(target);
        for (auto const& task : held)
        {
            ++this->result.messages;
            this->result.wasted_messages += 2;
            this->events.add(arrives, {event_kind::task_refused, task.job, task.index, target});
        }
        held.clear();
    }

    void dispatch()
    {
        this->assignments.clear();
        this->queue.dispatch(to_steady(this->now), this->assignments);
        for (auto const& one : this->assignments)
        {
            ++this->result.messages;
            auto const target = this->numbers[one.target];
            this->events.add(this->now + this->content.latency_to(target),
                             {event_kind::task_received, static_cast<std::uint32_t>(one.task.job),
                              one.task.index, target});
        }
        auto const queued = this->queue.queue().queued;
        this->result.longest_queue = std::max(this->result.longest_queue, queued);
        if (queued > 0 && !this->ticking)
        {
            this->ticking = true;
            this->events.add(this->now + tick_interval, {event_kind::tick});
        }
    }

    trace const& content;
    replay_options const& options;
    scheduling::scheduler queue;
    event_queue<event> events;
    std::map<std::string, std::uint32_t> numbers;
    std::vector<agent> agents;
    std::vector<std::uint32_t> remaining;
    std::vector<scheduling::assignment> assignments;
    outcome result;
    time_us now = 0;
    bool ticking = false;
};

} // namespace

outcome replay_scheduler(trace const& content, replay_options const& options)
{
    return owner_replay(content, options).run();
}

} // namespace filbertroad::measure

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

/// Targets are announced this long before the start of the trace, so that their ramp-up is over.
constexpr time_us announcement_lead = 3'000'000;
/// Interval at which the owner dispatches while jobs are queued, to use targets whose backoff has
/// elapsed.
constexpr time_us tick_interval = 10'000;

enum class event_kind
{
    job_arrived,
    task_received,
    task_ended,
    task_reported,
    task_refused,
    outage_started,
    outage_ended,
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
    std::deque<event> prefetched;
};

class scheduler_replay
{
public:
    scheduler_replay(trace const& input, replay_options const& options)
        : input(input), options(options), queue(scheduling::scheduler::builder()
                                                    .seed(options.seed)
                                                    .max_queued_tasks(options.max_queued_tasks)
                                                    .build())
    {
        this->result.response_times.resize(input.jobs.size(), not_answered);
        this->remaining.resize(input.jobs.size());
        this->agents.resize(input.targets.size());
        for (std::uint32_t index = 0; index < input.targets.size(); ++index)
        {
            auto const& target = input.targets[index];
            this->target_indexes[target.name] = index;
            this->queue.update_target(
                {target.name, zone_name(target.zone), {}, target.slots, options.prefetch_limit},
                to_steady(-announcement_lead));
        }
    }

    replay_result run()
    {
        for (std::uint32_t job = 0; job < this->input.jobs.size(); ++job)
        {
            this->events.add(this->input.jobs[job].arrival + this->input.caller_latency,
                             {event_kind::job_arrived, job});
        }
        for (auto const& outage : this->options.outages)
        {
            this->events.add(outage.from, {event_kind::outage_started, outage.zone});
            this->events.add(outage.until, {event_kind::outage_ended, outage.zone});
        }
        while (!this->events.empty())
        {
            auto const next = this->events.pop();
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
            this->agents[event.target].prefetched.push_back(event);
            this->start_prefetched(event.target);
            return;
        case event_kind::task_ended:
            this->result.completions.push_back(
                {this->now, this->input.jobs[event.job].run_us[event.index]});
            ++this->result.messages;
            --this->agents[event.target].running;
            this->start_prefetched(event.target);
            this->events.add(this->now + this->input.latency_to(event.target),
                             {event_kind::task_reported, event.job, event.index, event.target});
            return;
        case event_kind::task_reported:
            this->report(event);
            break;
        case event_kind::task_refused:
            this->queue.task_refused({event.job, event.index},
                                     scheduling::start_refusal::not_accepting,
                                     to_steady(this->now));
            break;
        case event_kind::outage_started:
        case event_kind::outage_ended:
            this->set_zone(event.job, event.kind == event_kind::outage_ended);
            break;
        case event_kind::tick:
            this->tick_pending = false;
            break;
        }
        this->dispatch();
    }

    void admit(std::uint32_t job)
    {
        auto const& spec = this->input.jobs[job];
        scheduling::job_spec scheduled_job;
        scheduled_job.job = job;
        scheduled_job.team = "team-" + std::to_string(spec.team);
        scheduled_job.route = "route-" + std::to_string(spec.route);
        scheduled_job.tasks.resize(spec.run_us.size());
        std::iota(scheduled_job.tasks.begin(), scheduled_job.tasks.end(), 0);
        this->remaining[job] = static_cast<std::uint32_t>(scheduled_job.tasks.size());
        // Callers do not retry refused jobs, so that the trace is the same for every system.
        static_cast<void>(this->queue.admit(scheduled_job, to_steady(this->now)).has_value());
    }

    void report(event const& event)
    {
        this->queue.task_finished(
            {event.job, event.index}, scheduling::task_outcome::succeeded,
            std::chrono::microseconds(this->input.run_time(event.job, event.index, event.target)),
            to_steady(this->now));
        if (--this->remaining[event.job] == 0)
        {
            this->result.response_times[event.job] =
                this->now + this->input.caller_latency - this->input.jobs[event.job].arrival;
        }
    }

    void start_prefetched(std::uint32_t target)
    {
        auto& agent = this->agents[target];
        while (!agent.prefetched.empty() && agent.running < this->input.targets[target].slots)
        {
            auto const task = agent.prefetched.front();
            agent.prefetched.pop_front();
            ++agent.running;
            this->events.add(this->now + this->input.run_time(task.job, task.index, target),
                             {event_kind::task_ended, task.job, task.index, target});
        }
    }

    void set_zone(std::uint32_t zone, bool in_service)
    {
        for (auto const& target : this->input.targets)
        {
            if (target.zone == zone)
            {
                this->queue.set_target_available(target.name, in_service, to_steady(this->now));
                if (!in_service)
                {
                    this->refuse_prefetched(this->target_indexes[target.name]);
                }
            }
        }
    }

    /// The agent of a target that went out of service refuses its prefetched tasks, with one
    /// message each.
    void refuse_prefetched(std::uint32_t target)
    {
        auto& prefetched = this->agents[target].prefetched;
        auto const arrives = this->now + 2 * this->input.latency_to(target);
        for (auto const& task : prefetched)
        {
            ++this->result.messages;
            this->result.wasted_messages += 2;
            this->events.add(arrives, {event_kind::task_refused, task.job, task.index, target});
        }
        prefetched.clear();
    }

    void dispatch()
    {
        this->assignments.clear();
        this->queue.dispatch(to_steady(this->now), this->assignments);
        for (auto const& started : this->assignments)
        {
            ++this->result.messages;
            auto const target = this->target_indexes[started.target];
            this->events.add(this->now + this->input.latency_to(target),
                             {event_kind::task_received,
                              static_cast<std::uint32_t>(started.task.job), started.task.index,
                              target});
        }
        auto const queued = this->queue.queue().queued;
        this->result.longest_queue = std::max(this->result.longest_queue, queued);
        if (queued > 0 && !this->tick_pending)
        {
            this->tick_pending = true;
            this->events.add(this->now + tick_interval, {event_kind::tick});
        }
    }

    trace const& input;
    replay_options const& options;
    scheduling::scheduler queue;
    event_queue<event> events;
    std::map<std::string, std::uint32_t> target_indexes;
    std::vector<agent> agents;
    std::vector<std::uint32_t> remaining;
    std::vector<scheduling::assignment> assignments;
    replay_result result;
    time_us now = 0;
    bool tick_pending = false;
};

} // namespace

replay_result replay_scheduler(trace const& input, replay_options const& options)
{
    return scheduler_replay(input, options).run();
}

} // namespace filbertroad::measure

#include "filbertroad/measure/event_queue.hpp"
#include "filbertroad/measure/replay.hpp"

#include <algorithm>
#include <deque>
#include <random>

namespace filbertroad::measure
{
namespace
{

/// Backoff before a refused task is sent again; it doubles with each refusal.
constexpr time_us first_retry = 10'000;
constexpr std::uint32_t max_doublings = 6;

enum class event_kind
{
    job_arrived,
    task_received,
    task_ended,
    task_reported,
    task_refused,
};

struct event
{
    event_kind kind;
    std::uint32_t job = 0;
    std::uint32_t index = 0;
    std::uint32_t target = 0;
    /// Number of refusals of this task.
    std::uint32_t attempt = 0;
};

struct agent
{
    std::uint32_t running = 0;
    std::deque<event> waiting;
    /// Tasks that the owner has sent and that are not answered.
    std::uint32_t outstanding = 0;
};

class baseline_replay
{
public:
    baseline_replay(trace const& input, baseline_policy policy, std::uint64_t seed)
        : input(input), policy(policy), generator(seed), agents(input.targets.size())
    {
        this->result.response_times.resize(input.jobs.size(), not_answered);
        for (std::uint32_t job = 0; job < input.jobs.size(); ++job)
        {
            this->remaining.push_back(static_cast<std::uint32_t>(input.jobs[job].run_us.size()));
            this->events.add(input.jobs[job].arrival + input.caller_latency,
                             {event_kind::job_arrived, job});
        }
    }

    replay_result run()
    {
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
    void handle(event const& event)
    {
        switch (event.kind)
        {
        case event_kind::job_arrived:
            for (std::uint32_t index = 0; index < this->remaining[event.job]; ++index)
            {
                this->send(event.job, index, 0);
            }
            break;
        case event_kind::task_received:
            this->receive(event);
            break;
        case event_kind::task_ended:
            this->end(event);
            break;
        case event_kind::task_reported:
            --this->agents[event.target].outstanding;
            if (--this->remaining[event.job] == 0)
            {
                this->result.response_times[event.job] =
                    this->now + this->input.caller_latency - this->input.jobs[event.job].arrival;
            }
            break;
        case event_kind::task_refused:
            this->send(event.job, event.index, event.attempt + 1);
            break;
        }
    }

    std::uint32_t choose_target()
    {
        auto const count = static_cast<std::uint32_t>(this->agents.size());
        if (this->policy == baseline_policy::round_robin)
        {
            return this->next_target++ % count;
        }
        auto const first = static_cast<std::uint32_t>(this->generator() % count);
        if (this->policy == baseline_policy::agent_queue)
        {
            return first;
        }
        auto const second = static_cast<std::uint32_t>(this->generator() % count);
        return this->agents[second].outstanding < this->agents[first].outstanding ? second : first;
    }

    void send(std::uint32_t job, std::uint32_t index, std::uint32_t attempt)
    {
        auto const target = this->choose_target();
        ++this->agents[target].outstanding;
        ++this->result.messages;
        this->events.add(this->now + this->input.latency_to(target),
                         {event_kind::task_received, job, index, target, attempt});
    }

    void receive(event const& event)
    {
        auto& agent = this->agents[event.target];
        auto const slots = this->input.targets[event.target].slots;
        if (agent.running < slots)
        {
            this->start(event);
            return;
        }
        if (this->policy == baseline_policy::agent_queue && agent.waiting.size() >= slots)
        {
            ++this->result.messages;
            this->result.wasted_messages += 2;
            --agent.outstanding;
            auto const wait = first_retry * (1 << std::min(event.attempt, max_doublings));
            this->events.add(
                this->now + this->input.latency_to(event.target) + wait,
                {event_kind::task_refused, event.job, event.index, event.target, event.attempt});
            return;
        }
        agent.waiting.push_back(event);
    }

    void start(event const& event)
    {
        ++this->agents[event.target].running;
        this->events.add(this->now + this->input.run_time(event.job, event.index, event.target),
                         {event_kind::task_ended, event.job, event.index, event.target});
    }

    void end(event const& event)
    {
        auto& agent = this->agents[event.target];
        --agent.running;
        this->result.completions.push_back(
            {this->now, this->input.jobs[event.job].run_us[event.index]});
        ++this->result.messages;
        this->events.add(this->now + this->input.latency_to(event.target),
                         {event_kind::task_reported, event.job, event.index, event.target});
        if (!agent.waiting.empty())
        {
            auto const next = agent.waiting.front();
            agent.waiting.pop_front();
            this->start(next);
        }
    }

    trace const& input;
    baseline_policy policy;
    std::mt19937_64 generator;
    std::vector<agent> agents;
    std::vector<std::uint32_t> remaining;
    event_queue<event> events;
    replay_result result;
    time_us now = 0;
    std::uint32_t next_target = 0;
};

} // namespace

replay_result replay_baseline(trace const& input, baseline_policy policy, std::uint64_t seed)
{
    return baseline_replay(input, policy, seed).run();
}

} // namespace filbertroad::measure

#include "filbertroad/measure/event_queue.hpp"
#include "filbertroad/measure/replay.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <utility>

namespace filbertroad::measure
{
namespace
{

/// As in the scheduler: a job with one more queued task starts as if it had arrived this much
/// later.
constexpr time_us order_penalty_per_task = 10'000;
/// Queued tasks that one decision considers; the tasks behind these would wait for later slots.
constexpr std::uint32_t max_lookahead = 200;

enum class event_kind
{
    job_arrived,
    slot_freed,
    outage_started,
    outage_ended,
};

struct event
{
    event_kind kind;
    /// Index of the job, or of the outage.
    std::uint32_t job = 0;
};

struct team
{
    /// Queued jobs as pairs of order key and job.
    std::set<std::pair<time_us, std::uint32_t>> jobs;
    std::uint32_t running = 0;
    std::uint64_t last_served = 0;
};

/// Position in the queue of a team while a decision looks ahead.
struct cursor
{
    std::set<std::pair<time_us, std::uint32_t>>::const_iterator job;
    std::uint32_t taken = 0;
    std::uint32_t running = 0;
    std::uint64_t last_served = 0;
};

struct task_placement
{
    std::uint32_t job = 0;
    std::uint32_t index = 0;
    std::uint32_t target = 0;
    std::size_t slot = 0;
    time_us start = 0;
    time_us end = 0;
};

class ideal_replay
{
public:
    ideal_replay(trace const& input, ideal_policy policy, std::vector<zone_outage> const& outages)
        : input(input), policy(policy), outages(outages)
    {
        this->result.response_times.resize(input.jobs.size(), 0);
        for (auto const& target : input.targets)
        {
            this->slots.emplace_back(target.slots, time_us{-1});
        }
        for (std::uint32_t job = 0; job < input.jobs.size(); ++job)
        {
            this->unstarted_tasks.emplace_back(input.jobs[job].run_us.size());
            std::iota(this->unstarted_tasks.back().begin(), this->unstarted_tasks.back().end(), 0);
            this->events.add(input.jobs[job].arrival + input.caller_latency,
                             {event_kind::job_arrived, job});
        }
        for (std::uint32_t index = 0; index < outages.size(); ++index)
        {
            this->events.add(outages[index].from, {event_kind::outage_started, index});
            this->events.add(outages[index].until, {event_kind::outage_ended, index});
        }
    }

    replay_result run()
    {
        while (!this->events.empty())
        {
            auto const next = this->events.pop();
            this->now = next.time;
            this->handle(next.event);
            this->assign_tasks();
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
            this->team_of(event.job).jobs.insert({this->order_key(event.job), event.job});
            break;
        case event_kind::slot_freed:
            --this->team_of(event.job).running;
            break;
        case event_kind::outage_started:
            for (std::uint32_t target = 0; target < this->slots.size(); ++target)
            {
                for (auto& free_at : this->slots[target])
                {
                    free_at = this->after_outage(target, std::max(free_at, this->now));
                }
            }
            break;
        case event_kind::outage_ended:
            break;
        }
    }

    /// First time not before `time` at which the zone of the target is in service.
    [[nodiscard]] time_us after_outage(std::uint32_t target, time_us time) const
    {
        for (auto const& outage : this->outages)
        {
            bool const out = outage.zone == this->input.targets[target].zone &&
                             outage.from <= time && time < outage.until;
            time = out ? outage.until : time;
        }
        return time;
    }

    /// With first_come_first_served all jobs are in one queue.
    team& team_of(std::uint32_t job)
    {
        return this->teams[this->policy == ideal_policy::first_come_first_served
                               ? 0
                               : this->input.jobs[job].team];
    }

    [[nodiscard]] time_us order_key(std::uint32_t job) const
    {
        auto const arrival = this->input.jobs[job].arrival;
        return this->policy == ideal_policy::first_come_first_served
                   ? arrival
                   : arrival + order_penalty_per_task *
                                   static_cast<time_us>(this->unstarted_tasks[job].size());
    }

    /// Returns the slot on which a task ends first, given the time at which each slot becomes free.
    [[nodiscard]] task_placement
    best_placement(std::uint32_t job, std::uint32_t index,
                   std::vector<std::vector<time_us>> const& free_at) const
    {
        task_placement best{.end = -1};
        time_us best_response = 0;
        for (std::uint32_t target = 0; target < free_at.size(); ++target)
        {
            auto const slot = std::min_element(free_at[target].begin(), free_at[target].end());
            auto const earliest_arrival = this->input.jobs[job].arrival +
                                          this->input.caller_latency +
                                          this->input.latency_to(target);
            auto const start = std::max({*slot, this->now, earliest_arrival});
            auto const end = start + this->input.run_time(job, index, target);
            auto const response = end + this->input.latency_to(target);
            bool const is_candidate =
                this->policy != ideal_policy::fastest_free || *slot <= this->now;
            if (!is_candidate)
            {
                continue;
            }
            if (best.end < 0 || response < best_response)
            {
                best = {job,    index,
                        target, static_cast<std::size_t>(slot - free_at[target].begin()),
                        start,  end};
                best_response = response;
            }
        }
        return best;
    }

    /// Goes through the queue in order and starts each task whose best slot is free now. A task
    /// that is better off waiting for a busy slot reserves that slot, for this decision only.
    void assign_tasks()
    {
        auto free_at = this->slots;
        auto free_slots = this->count_free_slots();
        std::vector<task_placement> starts;
        std::map<std::uint32_t, cursor> cursors;
        for (auto const& [team_number, team] : this->teams)
        {
            if (!team.jobs.empty())
            {
                cursors[team_number] = {team.jobs.begin(), 0, team.running, team.last_served};
            }
        }
        auto assignment_count = this->assignment_count;
        for (std::uint32_t considered = 0; free_slots > 0 && considered < max_lookahead;
             ++considered)
        {
            auto const next_team =
                std::min_element(cursors.begin(), cursors.end(),
                                 [](auto const& a, auto const& b)
                                 {
                                     return std::pair(a.second.running, a.second.last_served) <
                                            std::pair(b.second.running, b.second.last_served);
                                 });
            if (next_team == cursors.end())
            {
                break;
            }
            auto& position = next_team->second;
            auto const job = position.job->second;
            auto const placement =
                this->best_placement(job, this->unstarted_tasks[job][position.taken], free_at);
            bool const is_free = this->slots[placement.target][placement.slot] <= this->now &&
                                 free_at[placement.target][placement.slot] <= this->now;
            free_at[placement.target][placement.slot] = placement.end;
            if (is_free)
            {
                --free_slots;
                starts.push_back(placement);
            }
            ++position.running;
            position.last_served = ++assignment_count;
            this->advance_cursor(next_team, cursors);
        }
        for (auto const& placement : starts)
        {
            this->start(placement);
        }
    }

    void advance_cursor(std::map<std::uint32_t, cursor>::iterator next_team,
                        std::map<std::uint32_t, cursor>& cursors)
    {
        auto& position = next_team->second;
        if (++position.taken == this->unstarted_tasks[position.job->second].size())
        {
            position.taken = 0;
            ++position.job;
        }
        if (position.job == this->teams[next_team->first].jobs.end())
        {
            cursors.erase(next_team);
        }
    }

    [[nodiscard]] std::uint32_t count_free_slots() const
    {
        std::uint32_t count = 0;
        for (auto const& target : this->slots)
        {
            count += static_cast<std::uint32_t>(std::count_if(target.begin(), target.end(),
                                                              [&](time_us free_at)
                                                              { return free_at <= this->now; }));
        }
        return count;
    }

    void start(task_placement const& placement)
    {
        auto const job = placement.job;
        auto& team = this->team_of(job);
        team.jobs.erase({this->order_key(job), job});
        auto& tasks = this->unstarted_tasks[job];
        tasks.erase(std::find(tasks.begin(), tasks.end(), placement.index));
        if (!tasks.empty())
        {
            team.jobs.insert({this->order_key(job), job});
        }
        ++team.running;
        team.last_served = ++this->assignment_count;
        this->slots[placement.target][placement.slot] =
            this->after_outage(placement.target, placement.end);
        this->events.add(placement.end, {event_kind::slot_freed, job});
        this->result.completions.push_back(
            {placement.end, this->input.jobs[job].run_us[placement.index]});
        this->result.messages += 2;
        auto const response = placement.end + this->input.latency_to(placement.target) +
                              this->input.caller_latency - this->input.jobs[job].arrival;
        this->result.response_times[job] = std::max(this->result.response_times[job], response);
    }

    trace const& input;
    ideal_policy policy;
    std::vector<zone_outage> const& outages;
    std::vector<std::vector<time_us>> slots;
    std::map<std::uint32_t, team> teams;
    /// For each job, the indexes of the tasks that have not started, in order.
    std::vector<std::vector<std::uint32_t>> unstarted_tasks;
    event_queue<event> events;
    replay_result result;
    time_us now = 0;
    std::uint64_t assignment_count = 0;
};

} // namespace

replay_result replay_ideal(trace const& input, ideal_policy policy,
                           std::vector<zone_outage> const& outages)
{
    return ideal_replay(input, policy, outages).run();
}

} // namespace filbertroad::measure

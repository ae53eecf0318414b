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

/// As in the scheduler: a job with one more task starts as if it had arrived this much later.
constexpr time_us ageing_per_task = 10'000;
/// Tasks of the queue that one decision looks at; the rest would wait for later slots.
constexpr std::uint32_t max_lookahead = 200;

enum class event_kind
{
    job_arrived,
    slot_freed,
    zone_left,
    zone_returned,
};

struct event
{
    event_kind kind;
    /// The job, or the position of the outage.
    std::uint32_t job = 0;
};

struct team
{
    /// Queued jobs by order key.
    std::set<std::pair<time_us, std::uint32_t>> jobs;
    std::uint32_t running = 0;
    std::uint64_t last_served = 0;
};

/// Position in the queue of one team while a decision looks ahead.
struct cursor
{
    std::set<std::pair<time_us, std::uint32_t>>::const_iterator job;
    std::uint32_t taken = 0;
    std::uint32_t running = 0;
    std::uint64_t last_served = 0;
};

struct choice
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
    ideal_replay(trace const& content, ideal_kind kind, std::vector<zone_outage> const& outages)
        : content(content), kind(kind), outages(outages)
    {
        this->result.responses.resize(content.jobs.size(), 0);
        for (auto const& target : content.targets)
        {
            this->slots.emplace_back(target.slots, time_us{-1});
        }
        for (std::uint32_t job = 0; job < content.jobs.size(); ++job)
        {
            this->unstarted.emplace_back(content.jobs[job].run_us.size());
            std::iota(this->unstarted.back().begin(), this->unstarted.back().end(), 0);
            this->events.add(content.jobs[job].arrival + content.caller_latency,
                             {event_kind::job_arrived, job});
        }
        for (std::uint32_t number = 0; number < outages.size(); ++number)
        {
            this->events.add(outages[number].from, {event_kind::zone_left, number});
            this->events.add(outages[number].until, {event_kind::zone_returned, number});
        }
    }

    outcome run()
    {
        while (!this->events.empty())
        {
            auto const next = this->events.take();
            this->now = next.time;
            this->handle(next.event);
            this->decide();
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
            this->team_of(event.job).jobs.insert({this->key(event.job), event.job});
            break;
        case event_kind::slot_freed:
            --this->team_of(event.job).running;
            break;
        case event_kind::zone_left:
            for (std::uint32_t target = 0; target < this->slots.size(); ++target)
            {
                for (auto& free_at : this->slots[target])
                {
                    free_at = this->after_outage(target, std::max(free_at, this->now));
                }
            }
            break;
        case event_kind::zone_returned:
            break;
        }
    }

    /// The time from which a slot that is empty at `time` can be used.
    [[nodiscard]] time_us after_outage(std::uint32_t target, time_us time) const
    {
        for (auto const& outage : this->outages)
        {
            bool const out = outage.zone == this->content.targets[target].zone &&
                             outage.from <= time && time < outage.until;
            time = out ? outage.until : time;
        }
        return time;
    }

    /// With first_come all jobs are in one queue.
    team& team_of(std::uint32_t job)
    {
        return this->teams[this->kind == ideal_kind::first_come ? 0 : this->content.jobs[job].team];
    }

    [[nodiscard]] time_us key(std::uint32_t job) const
    {
        auto const arrival = this->content.jobs[job].arrival;
        return this->kind == ideal_kind::first_come
                   ? arrival
                   : arrival + ageing_per_task * static_cast<time_us>(this->unstarted[job].size());
    }

    /// The place where a task ends first, given when each slot becomes free.
    [[nodiscard]] choice best_place(std::uint32_t job, std::uint32_t index,
                                    std::vector<std::vector<time_us>> const& free_at) const
    {
        choice best{.end = -1};
        time_us best_answer = 0;
        for (std::uint32_t target = 0; target < free_at.size(); ++target)
        {
            auto const slot = std::min_element(free_at[target].begin(), free_at[target].end());
            auto const reachable = this->content.jobs[job].arrival + this->content.caller_latency +
                                   this->content.latency_to(target);
            auto const start = std::max({*slot, this->now, reachable});
            auto const end = start + this->content.run_time(job, index, target);
            auto const answer = end + this->content.latency_to(target);
            bool const is_candidate = this->kind != ideal_kind::fastest_free || *slot <= this->now;
            if (!is_candidate)
            {
                continue;
            }
            if (best.end < 0 || answer < best_answer)
            {
                best = {job,    index,
                        target, static_cast<std::size_t>(slot - free_at[target].begin()),
                        start,  end};
                best_answer = answer;
            }
        }
        return best;
    }

    /// Goes through the queue in order and starts each task whose best place is free now. Tasks
    /// that would better wait for a busy slot take that slot in this decision only.
    void decide()
    {
        auto free_at = this->slots;
        auto free_slots = this->count_free();
        std::vector<choice> starts;
        std::map<std::uint32_t, cursor> cursors;
        for (auto const& [number, team] : this->teams)
        {
            if (!team.jobs.empty())
            {
                cursors[number] = {team.jobs.begin(), 0, team.running, team.last_served};
            }
        }
        auto served = this->served;
        for (std::uint32_t seen = 0; free_slots > 0 && seen < max_lookahead; ++seen)
        {
            auto const turn =
                std::min_element(cursors.begin(), cursors.end(),
                                 [](auto const& a, auto const& b)
                                 {
                                     return std::pair(a.second.running, a.second.last_served) <
                                            std::pair(b.second.running, b.second.last_served);
                                 });
            if (turn == cursors.end())
            {
                break;
            }
            auto& position = turn->second;
            auto const job = position.job->second;
            auto const place = this->best_place(job, this->unstarted[job][position.taken], free_at);
            bool const is_free = this->slots[place.target][place.slot] <= this->now &&
                                 free_at[place.target][place.slot] <= this->now;
            free_at[place.target][place.slot] = place.end;
            if (is_free)
            {
                --free_slots;
                starts.push_back(place);
            }
            ++position.running;
            position.last_served = ++served;
            this->step(turn, cursors);
        }
        for (auto const& place : starts)
        {
            this->start(place);
        }
    }

    void step(std::map<std::uint32_t, cursor>::iterator turn,
              std::map<std::uint32_t, cursor>& cursors)
    {
        auto& position = turn->second;
        if (++position.taken == this->unstarted[position.job->second].size())
        {
            position.taken = 0;
            ++position.job;
        }
        if (position.job == this->teams[turn->first].jobs.end())
        {
            cursors.erase(turn);
        }
    }

    [[nodiscard]] std::uint32_t count_free() const
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

    void start(choice const& place)
    {
        auto const job = place.job;
        auto& team = this->team_of(job);
        team.jobs.erase({this->key(job), job});
        auto& tasks = this->unstarted[job];
        tasks.erase(std::find(tasks.begin(), tasks.end(), place.index));
        if (!tasks.empty())
        {
            team.jobs.insert({this->key(job), job});
        }
        ++team.running;
        team.last_served = ++this->served;
        this->slots[place.target][place.slot] = this->after_outage(place.target, place.end);
        this->events.add(place.end, {event_kind::slot_freed, job});
        this->result.completions.push_back(
            {place.end, this->content.jobs[job].run_us[place.index]});
        this->result.messages += 2;
        auto const answer = place.end + this->content.latency_to(place.target) +
                            this->content.caller_latency - this->content.jobs[job].arrival;
        this->result.responses[job] = std::max(this->result.responses[job], answer);
    }

    trace const& content;
    ideal_kind kind;
    std::vector<zone_outage> const& outages;
    std::vector<std::vector<time_us>> slots;
    std::map<std::uint32_t, team> teams;
    /// Indexes of the tasks of each job that have not started, in order.
    std::vector<std::vector<std::uint32_t>> unstarted;
    event_queue<event> events;
    outcome result;
    time_us now = 0;
    std::uint64_t served = 0;
};

} // namespace

outcome replay_ideal(trace const& content, ideal_kind kind, std::vector<zone_outage> const& outages)
{
    return ideal_replay(content, kind, outages).run();
}

} // namespace filbertroad::measure

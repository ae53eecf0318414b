#include "filbertroad/dispatch/load_simulation.hpp"

#include "filbertroad/dispatch/entry_selection.hpp"
#include "filbertroad/dispatch/job_dispatcher.hpp"
#include "filbertroad/dispatch/run_agent.hpp"
#include "filbertroad/dispatch/status_pacing.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace filbertroad::dispatch
{
namespace
{

using std::chrono::microseconds;

constexpr milliseconds tick_period{25};
constexpr milliseconds warm_up{500};
constexpr microseconds target_delay{300};
constexpr milliseconds shortest_time_budget{1'500};
/// Upper bound on the time budgets of callers that return, with the longest tail.
constexpr milliseconds longest_time_budget{60'000};
constexpr milliseconds resend_time{1'300};
constexpr double useful_factor = 3;
constexpr double late_value = 0.2;
constexpr milliseconds target_latency{60};
constexpr double stretch = 1.6;

class fleet
{
public:
    explicit fleet(load_scenario const& scenario)
        : scenario(scenario), generator(scenario.seed), tail_generator(scenario.seed),
          fault_generator(scenario.seed)
    {
        this->result.kinds.resize(scenario.kinds.size());
        for (std::size_t index = 0; index < scenario.entries; ++index)
        {
            this->entries.push_back(std::make_unique<entry>());
            this->entries.back()->name = "entry-" + std::to_string(index);
            this->entries.back()->core =
                std::make_unique<job_dispatcher>(this->clock, this->limits());
        }
        for (std::size_t index = 0; index < scenario.agents; ++index)
        {
            this->add_agent(index);
        }
    }

    load_result run()
    {
        this->schedule_ticks();
        this->ends_at = this->clock.steady_now() + warm_up + this->scenario.duration;
        this->schedule_arrival();
        if (this->scenario.returns_to_service_at > milliseconds(0))
        {
            this->set_out_of_service(true);
            this->schedule(warm_up + this->scenario.returns_to_service_at,
                           [this] { this->set_out_of_service(false); });
        }
        auto const last =
            this->ends_at +
            (this->scenario.callers_return ? longest_time_budget : this->scenario.time_budget);
        while (!this->events.empty() && this->events.top().at <= last)
        {
            auto next = this->events.top();
            this->events.pop();
            this->clock.advance(next.at - this->clock.steady_now());
            (*next.action)();
            if (this->scenario.callers_return && next.at > this->ends_at && this->jobs.empty())
            {
                break;
            }
        }
        return std::move(this->result);
    }

private:
    struct entry
    {
        std::string name;
        std::unique_ptr<job_dispatcher> core;
    };

    struct agent
    {
        std::string name;
        std::size_t index = 0;
        std::string rack;
        double speed = 1;
        std::unique_ptr<run_agent> core;
        std::vector<entry*> linked;
        std::map<std::string, std::uint32_t> running;
        /// Starts of the running tasks.
        std::map<std::string, base::steady_time> started;
        std::vector<finished_run> finished;
        std::uint64_t finish_number = 0;
        bool is_status_scheduled = false;
    };

    struct job
    {
        std::size_t kind = 0;
        base::steady_time arrived{};
        milliseconds longest{};
        std::vector<milliseconds> work;
        std::string near_rack;
        base::steady_time deadline{};
        double weight = 1;
        /// Index in `kind_result::size_jobs`, if counted there.
        std::optional<std::size_t> size;
        /// Core-seconds of the runs that have ended, and of the whole job.
        double work_done = 0;
        double total_work = 0;
        std::size_t entry = 0;
        /// Whether the job is at an entry, not with its caller.
        bool is_held = false;
        job_request request;
    };

    struct event
    {
        base::steady_time at;
        std::uint64_t number;
        std::shared_ptr<std::function<void()>> action;

        bool operator<(event const& other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()> action)
    {
        this->events.push({this->clock.steady_now() + delay, ++this->event_number,
                           std::make_shared<std::function<void()>>(std::move(action))});
    }

    double random(double min, double max)
    {
        return std::uniform_real_distribution(min, max)(this->generator);
    }

    void add_agent(std::size_t index)
    {
        auto added = std::make_unique<agent>();
        added->name = "agent-" + std::to_string(index);
        added->index = index;
        added->speed = this->scenario.speeds[index % this->scenario.speeds.size()];
        added->core = std::make_unique<run_agent>(this->clock, "zone", agent_limits{}, 1);
        added->core->target_announced(
            {"target",
             1,
             "service",
             {this->scenario.target_cpu, 1'000'000, 0},
             false,
             1,
             {"kind", this->rack_name(index / this->scenario.rack_size)}});
        added->rack = this->rack_name(index / this->scenario.rack_size);
        this->renew(*added);
        auto ranked = rank_entries(added->name, this->entry_names());
        ranked.resize(std::min(ranked.size(), this->scenario.entries_per_agent));
        for (auto const& name : ranked)
        {
            auto& chosen = **std::find_if(this->entries.begin(), this->entries.end(),
                                          [&](auto const& item) { return item->name == name; });
            added->linked.push_back(&chosen);
            chosen.core->agent_connected({added->name, 1});
            added->core->entry_connected({chosen.name, 1});
        }
        this->agents[added->name] = std::move(added);
    }

    static std::string rack_name(std::size_t rack) { return "rack-" + std::to_string(rack); }

    /// Rack near which the tasks of a new job run faster; empty for a job without one.
    std::string draw_near_rack()
    {
        if (this->scenario.near_share <= 0 || this->random(0, 1) >= this->scenario.near_share)
        {
            return {};
        }
        auto const racks =
            (this->scenario.agents + this->scenario.rack_size - 1) / this->scenario.rack_size;
        bool const is_hot = this->random(0, 1) < this->scenario.hot_rack_share;
        return rack_name(is_hot ? 0 : this->generator() % racks);
    }

    [[nodiscard]] std::vector<std::string> entry_names() const
    {
        std::vector<std::string> names;
        for (auto const& item : this->entries)
        {
            names.push_back(item->name);
        }
        return names;
    }

    void renew(agent& managed)
    {
        auto const sent = managed.core->make_renewal();
        std::erase_if(managed.finished,
                      [&](finished_run const& item) { return item.number <= sent.last_seen; });
        run_list list;
        list.incarnation = 1;
        list.clock_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(this->clock.steady_now().time_since_epoch())
                .count());
        for (auto const& [task, number] : managed.running)
        {
            list.running.push_back({{task, number}});
        }
        list.finished = managed.finished;
        managed.core->renewal_answered(sent, list);
    }

    void schedule_ticks()
    {
        for (auto const& item : this->entries)
        {
            this->schedule(microseconds(static_cast<int>(this->random(0, 25'000))),
                           [this, &ticked = *item] { this->tick(ticked); });
        }
        for (auto const& [name, item] : this->agents)
        {
            this->send_statuses(*item);
            this->schedule(microseconds(static_cast<int>(this->random(0, 25'000))),
                           [this, &ticked = *item] { this->tick(ticked); });
        }
    }

    void tick(entry& ticked)
    {
        ticked.core->tick();
        this->carry_out(ticked);
        this->schedule(tick_period, [this, &ticked] { this->tick(ticked); });
    }

    void tick(agent& ticked)
    {
        this->renew(ticked);
        ticked.core->tick();
        this->carry_out(ticked);
        ++ticked_count(ticked);
        if (ticked_count(ticked) % 6 == 0)
        {
            this->send_statuses(ticked);
        }
        this->schedule(tick_period, [this, &ticked] { this->tick(ticked); });
    }

    std::size_t& ticked_count(agent const& ticked) { return this->ticks[ticked.name]; }

    /// Jobs per millisecond that demand `utilization` of all targets.
    [[nodiscard]] double arrival_rate() const
    {
        double work_of_job = 0;
        double shares = 0;
        for (auto const& kind : this->scenario.kinds)
        {
            shares += kind.share;
            work_of_job +=
                kind.share * (1 + this->scenario.tail_share * (this->scenario.tail_factor - 1)) *
                kind.tasks * static_cast<double>(kind.work.count()) * static_cast<double>(kind.cpu);
        }
        double capacity = 0;
        for (auto const& [name, item] : this->agents)
        {
            capacity += item->speed * static_cast<double>(this->scenario.target_cpu);
        }
        return capacity * this->scenario.utilization / (work_of_job / shares);
    }

    [[nodiscard]] dispatch_limits limits() const
    {
        auto limits = this->scenario.limits;
        limits.admission = this->scenario.policy;
        return limits;
    }

    void set_out_of_service(bool is_out)
    {
        for (auto const& [name, item] : this->agents)
        {
            item->core->set_zone_out_of_service(is_out);
            this->carry_out(*item);
        }
    }

    [[nodiscard]] base::steady_time measured_from() const
    {
        return this->ends_at - this->scenario.duration;
    }

    /// Factor on the rate of a kind at this time.
    [[nodiscard]] double burst_factor(std::size_t kind) const
    {
        auto const at = this->clock.steady_now() - this->measured_from();
        double factor = 1;
        for (auto const& burst : this->scenario.bursts)
        {
            bool const is_in_force =
                burst.kind.value_or(kind) == kind && burst.begin <= at && at < burst.end;
            factor *= is_in_force ? burst.factor : 1;
        }
        return factor;
    }

    /// Factor on the rate of all jobs at this time.
    [[nodiscard]] double burst_factor() const
    {
        double before = 0;
        double now = 0;
        for (std::size_t kind = 0; kind < this->scenario.kinds.size(); ++kind)
        {
            before += this->scenario.kinds[kind].share;
            now += this->scenario.kinds[kind].share * this->burst_factor(kind);
        }
        return now / before;
    }

    [[nodiscard]] std::size_t choose_entry()
    {
        auto const& shares = this->scenario.entry_shares;
        return shares.empty() ? this->generator() % this->entries.size()
                              : static_cast<std::size_t>(std::discrete_distribution(
                                    shares.begin(), shares.end())(this->generator));
    }

    /// Number of tasks over the usual number of the kind.
    [[nodiscard]] double choose_width(job& added)
    {
        if (!this->scenario.has_uneven_widths)
        {
            return 1;
        }
        auto const drawn = this->random(0, 1);
        if (drawn < 0.7)
        {
            return 0.8;
        }
        added.size = drawn < 0.9 ? 1 : 0;
        return drawn < 0.9 ? 1.2 : 2;
    }

    void schedule_arrival()
    {
        auto const wait = std::exponential_distribution(this->arrival_rate() *
                                                        this->burst_factor())(this->generator);
        this->schedule(microseconds(static_cast<std::int64_t>(wait * 1'000)),
                       [this]
                       {
                           if (this->clock.steady_now() < this->ends_at)
                           {
                               this->submit_job();
                               this->schedule_arrival();
                           }
                       });
    }

    void submit_job()
    {
        auto const to = this->choose_entry();
        std::vector<double> shares;
        for (std::size_t kind = 0; kind < this->scenario.kinds.size(); ++kind)
        {
            shares.push_back(this->scenario.kinds[kind].share * this->burst_factor(kind));
        }
        auto const index = static_cast<std::size_t>(
            std::discrete_distribution(shares.begin(), shares.end())(this->generator));
        auto const& kind = this->scenario.kinds[index];
        auto const spread = this->scenario.spread;
        auto const mean =
            static_cast<double>(kind.work.count()) * this->random(1 - spread, 1 + spread);
        job added;
        added.kind = index;
        added.arrived = this->clock.steady_now();
        added.entry = to;
        auto const tasks = static_cast<std::uint32_t>(
            std::max(1L, std::lround(this->choose_width(added) * kind.tasks)));
        auto& request = added.request;
        request.key = "job" + std::to_string(++this->job_number);
        request.service = "service";
        request.route = "route-" + std::to_string(index);
        request.priority = kind.priority;
        request.max_attempts = 2;
        request.stretch = stretch;
        request.target_latency = target_latency;
        request.time_budget = this->scenario.time_budget;
        auto const error = this->scenario.estimate_error;
        auto const estimate = mean * this->random(1 - error, 1 + error);
        request.steps.push_back({.count = tasks,
                                 .resources = {kind.cpu, 64, 0},
                                 .estimate = milliseconds(static_cast<std::int64_t>(estimate)),
                                 .after = {}});
        added.near_rack = this->draw_near_rack();
        if (!added.near_rack.empty())
        {
            request.steps[0].constraints.emplace();
            request.steps[0].constraints->near_rack = added.near_rack;
        }
        for (std::uint32_t task = 0; task < tasks; ++task)
        {
            added.work.emplace_back(static_cast<std::int64_t>(mean * this->random(0.85, 1.15)));
        }
        this->lengthen_tail(added);
        for (auto const work : added.work)
        {
            added.longest = std::max(added.longest, work);
            added.total_work += static_cast<double>(work.count() * kind.cpu) / 1e6;
        }
        auto const mean_work = static_cast<double>(kind.work.count() * kind.cpu * kind.tasks) / 1e6;
        added.weight = 0.3 + 0.7 * added.total_work / mean_work;
        if (this->scenario.callers_return)
        {
            auto const objective = stretch * static_cast<double>(added.longest.count()) +
                                   static_cast<double>(target_latency.count());
            request.time_budget = std::max(shortest_time_budget,
                                           milliseconds(std::lround(useful_factor * objective)));
        }
        added.deadline = added.arrived + request.time_budget;
        auto const key = request.key;
        this->jobs[key] = std::move(added);
        auto const returns_at = this->measured_from() + this->scenario.returns_to_service_at;
        bool const is_out = this->scenario.returns_to_service_at > milliseconds(0) &&
                            this->clock.steady_now() < returns_at;
        if (is_out)
        {
            auto const wait = returns_at - this->clock.steady_now();
            this->schedule(wait + microseconds(static_cast<int>(this->random(0, 1'300'000))),
                           [this, key] { this->resend(key); });
            return;
        }
        this->send_request(key);
    }

    void send_request(std::string const& key)
    {
        auto& sent = this->jobs.at(key);
        if (this->exceeds_quota(sent))
        {
            answer_job refusal;
            refusal.key = key;
            refusal.outcome = job_outcome::not_run;
            refusal.retry_after = std::chrono::seconds(1);
            this->execute(*this->entries[sent.entry], refusal);
            return;
        }
        sent.is_held = true;
        auto& to = *this->entries[sent.entry];
        to.core->submit(job_request(sent.request));
        this->carry_out(to);
    }

    /// Sends a job that got no result again, to any entry.
    void resend(std::string const& key)
    {
        auto& sent = this->jobs.at(key);
        auto const left =
            std::chrono::duration_cast<milliseconds>(sent.deadline - this->clock.steady_now());
        if (left <= milliseconds(0))
        {
            this->count(sent, job_outcome::given_up);
            this->jobs.erase(key);
            return;
        }
        sent.request.time_budget = left;
        sent.entry = this->choose_entry();
        this->send_request(key);
    }

    /// Whether the kind already has as much work at the entry as its quota allows.
    [[nodiscard]] bool exceeds_quota(job const& sent) const
    {
        if (this->scenario.quotas.empty())
        {
            return false;
        }
        double held = 0;
        for (auto const& [key, item] : this->jobs)
        {
            bool const is_counted =
                item.is_held && item.kind == sent.kind && item.entry == sent.entry;
            held += is_counted ? item.total_work : 0;
        }
        double capacity = 0;
        for (auto const& [name, item] : this->agents)
        {
            capacity += item->speed * static_cast<double>(this->scenario.target_cpu) / 1'000;
        }
        return held + sent.total_work > this->scenario.quotas[sent.kind] * capacity /
                                            static_cast<double>(this->entries.size());
    }

    void carry_out(entry& from)
    {
        std::set<std::string> started_at;
        for (auto& action : from.core->take_actions())
        {
            if (auto const* const start = std::get_if<send_start>(&action))
            {
                started_at.insert(start->agent);
            }
            std::visit([&](auto& item) { this->execute(from, item); }, action);
        }
        this->result.start_messages += started_at.size();
    }

    void send_to_agent(std::string const& name, std::function<void(run_agent&)> event)
    {
        this->schedule(this->scenario.link_delay,
                       [this, &to = *this->agents.at(name), event = std::move(event)]
                       {
                           event(*to.core);
                           this->carry_out(to);
                       });
    }

    void execute(entry& from, send_start& action)
    {
        ++this->result.tasks;
        this->send_to_agent(action.agent, [name = from.name, order = std::move(action.order)](
                                              run_agent& to) { to.start_ordered(name, order); });
    }
    void execute(entry& from, send_cancel& action)
    {
        this->send_to_agent(action.agent, [name = from.name, id = action.id](run_agent& to)
                            { to.cancel_ordered(name, id); });
    }
    void execute(entry& from, send_acknowledgement& action)
    {
        this->send_to_agent(action.agent, [name = from.name, id = action.id](run_agent& to)
                            { to.report_acknowledged(name, id); });
    }
    void execute(entry& /*from*/, send_resume& /*action*/) {}

    void execute(entry& /*from*/, answer_job& action)
    {
        auto const found = this->jobs.find(action.key);
        auto& ended = found->second;
        ended.is_held = false;
        bool const is_final =
            action.outcome == job_outcome::completed || action.outcome == job_outcome::failed;
        auto const pause = action.retry_after ? milliseconds(*action.retry_after) : resend_time;
        if (this->scenario.callers_return && !is_final &&
            this->clock.steady_now() + pause < ended.deadline)
        {
            this->schedule(pause, [this, key = action.key] { this->resend(key); });
            return;
        }
        this->count(ended, action.outcome);
        this->jobs.erase(found);
    }

    void count(job const& ended, job_outcome outcome)
    {
        auto const since = ended.arrived - this->measured_from();
        bool const is_before = since < base::steady_time::duration::zero();
        if (is_before)
        {
            return;
        }
        kind_result one;
        auto const latency =
            std::chrono::duration<double, std::milli>(this->clock.steady_now() - ended.arrived);
        auto const longest = static_cast<double>(ended.longest.count());
        auto const objective = stretch * longest + static_cast<double>(target_latency.count());
        bool const is_completed = outcome == job_outcome::completed;
        bool const is_useful = is_completed && latency.count() <= useful_factor * objective;
        one.jobs = 1;
        one.refused = outcome == job_outcome::not_run ? 1 : 0;
        one.given_up = outcome == job_outcome::given_up ? 1 : 0;
        one.in_time = is_completed && latency.count() <= objective ? 1 : 0;
        one.late_useful = is_useful && one.in_time == 0 ? 1 : 0;
        one.useless = is_useful ? 0 : 1;
        one.response_ratio_sum = is_completed ? latency.count() / longest : 0;
        one.weight = ended.weight;
        one.served_weight = ended.weight * (static_cast<double>(one.in_time) +
                                            late_value * static_cast<double>(one.late_useful));
        if (ended.size)
        {
            one.size_jobs[*ended.size] = 1;
            one.size_in_time[*ended.size] = one.in_time;
        }
        this->result.work += ended.work_done;
        this->result.wasted_work += is_useful ? 0 : ended.work_done;
        this->result.kinds[ended.kind].add(one);
        auto const window = static_cast<std::size_t>(since / result_window);
        this->result.windows.resize(std::max(this->result.windows.size(), window + 1));
        this->result.windows[window].resize(this->scenario.kinds.size());
        this->result.windows[window][ended.kind].add(one);
    }

    void carry_out(agent& from)
    {
        for (auto& action : from.core->take_actions())
        {
            std::visit([&](auto& item) { this->execute(from, item); }, action);
        }
    }

    void execute(agent& from, start_run& action)
    {
        from.running[action.id.task] = action.id.run;
        from.started[action.id.task] = this->clock.steady_now();
        from.core->start_answered(action.id, action.order_number, start_answer::accepted);
        this->count_place(action.id.task, from);
        auto const time =
            this->time_with_faults(from, this->work_of(action.id.task, from) / from.speed);
        this->schedule(
            std::chrono::duration_cast<std::chrono::nanoseconds>(time) + target_delay,
            [this, &from, id = action.id]
            {
                auto const found = from.running.find(id.task);
                if (found != from.running.end() && found->second == id.run)
                {
                    from.running.erase(found);
                    this->result.useful_work += this->used_work(from, id.task);
                    this->record_run(id.task, from);
                    from.finished.push_back({++from.finish_number, id, finish_reason::done});
                    this->renew(from);
                    this->carry_out(from);
                }
            });
    }

    void lengthen_tail(job& added)
    {
        for (auto& work : added.work)
        {
            bool const is_long = std::uniform_real_distribution(0.0, 1.0)(this->tail_generator) <
                                 this->scenario.tail_share;
            work = is_long ? milliseconds(static_cast<std::int64_t>(
                                 static_cast<double>(work.count()) * this->scenario.tail_factor))
                           : work;
        }
    }

    /// Run time of a run that starts now and needs `needed` milliseconds without faults.
    std::chrono::duration<double, std::milli> time_with_faults(agent const& on, double needed)
    {
        auto const begin = this->now_ms();
        auto at = begin;
        for (auto const& fault : this->scenario.faults)
        {
            auto const from = static_cast<double>(fault.from.count());
            auto const until = static_cast<double>(fault.until.count());
            if (fault.agent != on.index || at >= until || at + needed <= from)
            {
                continue;
            }
            if (fault.kind == target_fault_kind::stalls_single_runs)
            {
                bool const is_stalled = begin >= from && std::uniform_real_distribution(0.0, 1.0)(
                                                             this->fault_generator) < fault.factor;
                at = is_stalled ? until : at;
                continue;
            }
            needed -= std::max(from - at, 0.0);
            at = std::max(from, at);
            auto const rate = fault.kind == target_fault_kind::slow ? 1 / fault.factor : 0;
            if (needed <= (until - at) * rate)
            {
                return std::chrono::duration<double, std::milli>(at + needed / rate - begin);
            }
            needed -= (until - at) * rate;
            at = until;
        }
        return std::chrono::duration<double, std::milli>(at + needed - begin);
    }

    [[nodiscard]] double now_ms() const
    {
        return std::chrono::duration<double, std::milli>(this->clock.steady_now() - this->begin)
            .count();
    }

    /// Core-milliseconds that the running task has used until now, and the end of its record.
    double used_work(agent& on, std::string const& task)
    {
        auto const started = on.started.extract(task).mapped();
        auto const elapsed =
            std::chrono::duration<double, std::milli>(this->clock.steady_now() - started).count();
        auto const found = this->jobs.find(task.substr(0, task.find('.')));
        // A job that was answered in the meantime has no kind here; its runs are all alike.
        auto const kind = found == this->jobs.end() ? 0 : found->second.kind;
        return elapsed * static_cast<double>(this->scenario.kinds[kind].cpu) / 1000;
    }

    void record_stop(agent& on, std::string const& task)
    {
        auto const work = this->used_work(on, task);
        ++this->result.stopped_runs;
        this->result.discarded_work += work;
        if (!this->jobs.contains(task.substr(0, task.find('.'))))
        {
            return;
        }
        ++this->result.moved_runs;
        this->result.moved_work += work;
        for (auto const& fault : this->scenario.faults)
        {
            auto const since = this->now_ms() - static_cast<double>(fault.from.count());
            auto const until = static_cast<double>(fault.until.count());
            if (fault.agent == on.index && since >= 0 && this->now_ms() < until)
            {
                this->result.stop_delays.push_back(since);
            }
        }
    }

    void record_run(std::string const& task, agent const& on)
    {
        auto const found = this->jobs.find(task.substr(0, task.find('.')));
        if (found != this->jobs.end())
        {
            found->second.work_done +=
                this->work_of(task, on) *
                static_cast<double>(this->scenario.kinds[found->second.kind].cpu) / 1e6;
        }
    }

    [[nodiscard]] double work_of(std::string const& task, agent const& on) const
    {
        auto const found = this->jobs.find(task.substr(0, task.find('.')));
        if (found == this->jobs.end())
        {
            return 1;
        }
        auto const index = std::stoul(task.substr(task.rfind('.') + 1));
        auto const& parent = found->second;
        bool const is_far = !parent.near_rack.empty() && parent.near_rack != on.rack;
        return static_cast<double>(parent.work[index].count()) *
               (is_far ? this->scenario.limits.far_factor : 1);
    }

    void count_place(std::string const& task, agent const& on)
    {
        auto const found = this->jobs.find(task.substr(0, task.find('.')));
        if (found != this->jobs.end() && !found->second.near_rack.empty())
        {
            ++this->result.near_starts;
            this->result.far_starts += found->second.near_rack != on.rack ? 1 : 0;
        }
    }

    void execute(agent& from, stop_run& action)
    {
        if (from.running.erase(action.id.task) != 0)
        {
            this->record_stop(from, action.id.task);
            from.finished.push_back({++from.finish_number, action.id, finish_reason::stopped});
        }
        from.core->stop_answered(action.id, true);
        this->renew(from);
    }

    void execute(agent& from, send_report& action)
    {
        this->result.returned_starts += action.report.end == run_end::not_started ? 1 : 0;
        this->result.queued_starts += action.report.queued > milliseconds(2) ? 1 : 0;
        auto& to = **std::find_if(this->entries.begin(), this->entries.end(),
                                  [&](auto const& item) { return item->name == action.entry; });
        this->deliver_status(from, to);
        this->schedule(this->scenario.link_delay,
                       [this, &to, name = from.name, report = std::move(action.report)]
                       {
                           to.core->run_ended(name, report);
                           this->carry_out(to);
                       });
    }

    void execute(agent& from, publish_status& /*action*/)
    {
        if (std::exchange(from.is_status_scheduled, true))
        {
            return;
        }
        auto const paced = status_interval(from.linked.size());
        auto const delay = this->scenario.status_delay.count() != 0
                               ? this->scenario.status_delay
                               : std::chrono::duration_cast<microseconds>(paced);
        this->schedule(delay,
                       [this, &from]
                       {
                           from.is_status_scheduled = false;
                           this->send_statuses(from);
                       });
    }
    void execute(agent& from, poll_runs& /*action*/) { this->renew(from); }

    void send_statuses(agent& from)
    {
        for (auto* const to : from.linked)
        {
            this->deliver_status(from, *to);
        }
    }

    void deliver_status(agent& from, entry& to)
    {
        ++this->result.status_messages;
        this->schedule(this->scenario.link_delay,
                       [this, &to, &from, status = from.core->make_status(to.name)]
                       {
                           to.core->status_received(from.name, status);
                           from.core->entry_heartbeat_received(to.name, status.stamp_ms);
                           this->carry_out(to);
                           this->carry_out(from);
                       });
    }

    load_scenario scenario;
    std::mt19937_64 generator;
    /// Of their own, so that a tail or a fault leaves the rest of the load as it is.
    std::mt19937_64 tail_generator;
    std::mt19937_64 fault_generator;
    base::manual_clock clock;
    base::steady_time begin = this->clock.steady_now();
    std::priority_queue<event> events;
    std::uint64_t event_number = 0;
    std::uint64_t job_number = 0;
    base::steady_time ends_at{};
    std::vector<std::unique_ptr<entry>> entries;
    std::map<std::string, std::unique_ptr<agent>> agents;
    std::map<std::string, std::size_t> ticks;
    std::unordered_map<std::string, job> jobs;
    load_result result;
};

} // namespace

load_result simulate_load(load_scenario const& scenario)
{
    return fleet(scenario).run();
}

} // namespace filbertroad::dispatch

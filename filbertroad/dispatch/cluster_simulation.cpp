#include "filbertroad/dispatch/cluster_simulation.hpp"

#include "filbertroad/dispatch/entry_selection.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::dispatch
{
namespace
{

constexpr milliseconds step_time{5};
constexpr std::size_t agent_count = 4;
constexpr std::int64_t target_cpu = 10'000;
/// Same as the delay of the agent process after an unanswered renewal.
constexpr milliseconds renewal_retry_delay{10};
/// Time from the last status that accepts runs until a surplus link is closed, as in the agent
/// process.
constexpr milliseconds release_time{300};
/// Longest lease that a target grants.
constexpr milliseconds max_lease{1'000};
/// Shortest time from a lost connection or an answer "given up" until the platform's callers send
/// the job again.
constexpr milliseconds resubmission_delay{1'300};
constexpr std::uint32_t max_submissions = 3;
/// Steps of a job, and time for which its caller waits, when callers cancel jobs.
constexpr std::uint32_t cancelled_job_steps = 6;
constexpr milliseconds cancelled_job_time{6'000};
/// Silence after which an entry is gone: longer than a job. Most entries freeze or crash before the
/// 20 s of the processes are over, and count anew.
constexpr milliseconds simulated_gone_after{7'000};
/// Latest start of a task after the cancel of its job was acknowledged, the shortest on the
/// platform.
constexpr milliseconds cancel_bound{3'000};
/// Address of an entry that was replaced.
constexpr char const* replaced_entry = "replaced";

/// `KEY` of a task named `KEY.0.STEP.INDEX`.
std::string job_of(std::string const& task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

/// A target that does not enforce its capacity, like the platform's: it starts every run that it is
/// ordered to start.
struct cluster_simulation::target
{
    struct run
    {
        std::uint32_t number = 0;
        std::int64_t cpu = 0;
        base::steady_time ends{};
    };

    std::uint64_t incarnation = 1;
    base::steady_time started_at{};
    std::uint64_t highest_token = 0;
    /// Rate of its clock relative to true time.
    double clock_rate = 1;
    std::uint64_t lease_until = 0;
    std::map<std::string, run> runs;
    std::map<std::string, std::uint32_t> highest_run;
    std::vector<finished_run> finished;
    std::uint64_t finish_number = 0;
    bool is_unresponsive = false;
    double speed = 1;

    /// Extends the lease to `until`, but at most by `max_lease` from now.
    void extend_lease(std::uint64_t until, base::clock const& clock)
    {
        auto const longest = this->clock_ms(clock) + static_cast<std::uint64_t>(max_lease.count());
        this->lease_until = std::max(this->lease_until, std::min(until, longest));
    }

    [[nodiscard]] std::uint64_t clock_ms(base::clock const& clock) const
    {
        auto const now =
            std::chrono::duration<double, std::milli>(clock.steady_now() - this->started_at);
        return static_cast<std::uint64_t>(now.count() * this->clock_rate);
    }
};

struct cluster_simulation::agent_process
{
    std::string name;
    target* managed_target = nullptr;
    std::uint64_t incarnation = 1;
    std::unique_ptr<run_agent> core;
    bool has_crashed = false;
    base::steady_time frozen_until{};
    std::vector<std::function<void()>> deferred_events;
    std::unique_ptr<entry_selection> selection;
    /// Entries to which it has a working link.
    std::set<std::string> linked;
    /// Entries that `selection` regards as linked.
    std::set<std::string> selected;
    /// Surplus links, with the time of their first status that accepts no run.
    std::map<std::string, base::steady_time> releasing;
    /// Number of the current link, by entry; messages of an earlier link are lost.
    std::map<std::string, std::uint64_t> link_number;
    /// Number of the newest renewal; a late answer to an earlier renewal does not start another.
    std::uint64_t renewals = 0;
    std::set<std::string> partitioned_from;

    [[nodiscard]] bool has_link(std::string const& entry, std::uint64_t number)
    {
        return this->linked.contains(entry) && this->link_number[entry] == number;
    }
};

struct cluster_simulation::entry_process
{
    std::string name;
    std::uint64_t incarnation = 1;
    std::unique_ptr<job_dispatcher> core;
    bool has_crashed = false;
    base::steady_time frozen_until{};
    std::vector<std::function<void()>> deferred_events;
    /// Jobs whose callers have disconnected, until the entry notices. Their answers reach nobody.
    std::set<std::string> abandoned_jobs;
    std::unique_ptr<cancel_coordinator> cancels;
    /// Entries that it cannot reach.
    std::set<std::string> cut_from;
    /// Number of the newest link for cancels, by address.
    std::map<std::string, std::uint64_t> peer_links;
};

cluster_simulation::cluster_simulation(std::uint64_t seed, std::size_t entry_count,
                                       std::size_t links_per_agent)
    : links_per_agent(links_per_agent), generator(seed), caller_generator(seed)
{
    for (std::size_t index = 0; index < entry_count; ++index)
    {
        auto entry = std::make_unique<entry_process>();
        entry->name = "entry-" + std::to_string(index);
        entry->core = std::make_unique<job_dispatcher>(this->clock, dispatch_limits{});
        this->entries.push_back(std::move(entry));
    }
    for (auto const& entry : this->entries)
    {
        this->reset_cancels(*entry);
    }
    for (std::size_t index = 0; index < agent_count; ++index)
    {
        auto managed_target = std::make_unique<target>();
        managed_target->clock_rate = this->random_chance(0.5) ? 0.98 : 1;
        managed_target->speed = this->random_chance(0.5) ? 0.6 : 1.6;
        auto agent = std::make_unique<agent_process>();
        agent->name = "agent-" + std::to_string(index);
        agent->managed_target = managed_target.get();
        this->targets.push_back(std::move(managed_target));
        this->agents.push_back(std::move(agent));
        this->restart(*this->agents.back());
    }
}

cluster_simulation::~cluster_simulation() = default;

bool cluster_simulation::random_chance(double probability)
{
    return std::bernoulli_distribution(probability)(this->generator);
}

milliseconds cluster_simulation::random_duration(int min_ms, int max_ms)
{
    return milliseconds(std::uniform_int_distribution(min_ms, max_ms)(this->generator));
}

void cluster_simulation::schedule(milliseconds delay, std::function<void()> event)
{
    this->events.emplace(this->clock.steady_now() + delay, std::move(event));
}

void cluster_simulation::send_in_order(std::string const& link, std::function<void()> event)
{
    auto& last = this->last_delivery[link];
    last = std::max(last, this->clock.steady_now() + this->random_duration(1, 4));
    this->events.emplace(last, std::move(event));
}

void cluster_simulation::run(milliseconds time)
{
    for (milliseconds passed{}; passed < time; passed += step_time)
    {
        this->step();
    }
}

void cluster_simulation::step()
{
    this->clock.advance(step_time);
    this->inject_faults();
    if (this->callers_resubmit)
    {
        this->inject_caller_faults();
        this->expire_requests();
    }
    if (this->callers_cancel)
    {
        this->cut_entries();
        this->cancel_jobs();
    }
    this->deliver_due();
    for (auto const& managed_target : this->targets)
    {
        this->advance(*managed_target);
        this->check_capacity(*managed_target);
    }
    this->connect_missing_links();
    this->submit_jobs();
    bool const is_tick = this->clock.steady_now().time_since_epoch() % milliseconds(25) ==
                         std::chrono::nanoseconds(0);
    if (is_tick)
    {
        this->send_statuses();
    }
    auto const now = this->clock.steady_now();
    for (auto const& agent : this->agents)
    {
        if (!agent->has_crashed && now >= agent->frozen_until)
        {
            for (auto& event : std::exchange(agent->deferred_events, {}))
            {
                event();
            }
            agent->core->tick();
            this->carry_out(*agent);
        }
    }
    for (auto const& entry : this->entries)
    {
        if (!entry->has_crashed && now >= entry->frozen_until)
        {
            for (auto& event : std::exchange(entry->deferred_events, {}))
            {
                event();
            }
            if (is_tick)
            {
                entry->core->tick();
                this->tick_cancels(*entry);
            }
            this->carry_out(*entry);
        }
    }
}

void cluster_simulation::deliver_due()
{
    while (!this->events.empty() && this->events.begin()->first <= this->clock.steady_now())
    {
        auto event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
    }
}

void cluster_simulation::submit_jobs()
{
    if (!this->random_chance(this->callers_cancel ? 0.03 : 0.15))
    {
        return;
    }
    auto& entry = *this->entries[this->generator() % this->entries.size()];
    job_request job;
    job.key = "job" + std::to_string(this->submitted_jobs++);
    job.route = "route";
    job.service = "service";
    job.max_attempts = 2;
    job.stretch = 1.6;
    job.target_latency = milliseconds(60);
    job.time_budget = milliseconds(2'000);
    job.priority = static_cast<std::uint32_t>(this->generator() % 3);
    auto const tasks = 1 + static_cast<std::uint32_t>(this->generator() % 4);
    job.steps.push_back(
        {.count = tasks,
         .resources = {2'000 + static_cast<std::int64_t>(this->generator() % 2'500), 1, 0},
         .estimate = this->random_duration(30, static_cast<int>(this->longest_run.count())),
         .after = {}});
    if (this->callers_cancel)
    {
        job.time_budget = cancelled_job_time;
        job.steps[0].count = 1;
        for (std::uint32_t step = 1; step < cancelled_job_steps; ++step)
        {
            job.steps.push_back(job.steps[0]);
            job.steps.back().after = {step - 1};
        }
    }
    this->submit(entry, std::move(job), 1);
}

void cluster_simulation::submit(entry_process& entry, job_request job, std::uint32_t attempts)
{
    ++this->submissions[job.key];
    if (this->callers_resubmit)
    {
        auto const key = job.key;
        auto const deadline = this->clock.steady_now() + job.time_budget;
        this->open_requests[key] = {job, &entry, deadline, attempts};
        if (entry.has_crashed)
        {
            this->resubmit(key);
            return;
        }
    }
    auto submitted = [this, &entry, job = std::move(job)]
    {
        if (!this->orders_input || !entry.abandoned_jobs.contains(job.key))
        {
            entry.core->submit(job);
        }
    };
    if (this->clock.steady_now() < entry.frozen_until)
    {
        entry.deferred_events.push_back(std::move(submitted));
    }
    else
    {
        submitted();
    }
}

void cluster_simulation::resubmit(std::string const& key)
{
    auto const found = this->open_requests.find(key);
    auto job = std::move(found->second.job);
    auto const attempts = found->second.attempts + 1;
    this->open_requests.erase(found);
    if (attempts > max_submissions)
    {
        return;
    }
    this->schedule(resubmission_delay,
                   [this, job = std::move(job), attempts]
                   {
                       auto& entry =
                           *this->entries[this->caller_generator() % this->entries.size()];
                       ++this->resubmitted_jobs;
                       this->resubmitted_keys.insert(job.key);
                       this->outcomes.erase(job.key);
                       this->submit(entry, job, attempts);
                   });
}

void cluster_simulation::expire_requests()
{
    std::vector<std::string> expired;
    for (auto const& [key, request] : this->open_requests)
    {
        if (this->clock.steady_now() > request.deadline)
        {
            expired.push_back(key);
        }
    }
    for (auto const& key : expired)
    {
        this->disconnect_caller(key);
    }
}

/// Injects about one fault each second.
void cluster_simulation::inject_caller_faults()
{
    if (!std::bernoulli_distribution(0.005)(this->caller_generator))
    {
        return;
    }
    auto& entry = *this->entries[this->caller_generator() % this->entries.size()];
    if (entry.has_crashed)
    {
        return;
    }
    if (std::bernoulli_distribution(0.5)(this->caller_generator))
    {
        this->crash_entry(entry);
    }
    else
    {
        this->reset_caller_connections(entry);
    }
}

void cluster_simulation::crash_entry(entry_process& entry)
{
    entry.has_crashed = true;
    entry.deferred_events.clear();
    entry.abandoned_jobs.clear();
    for (auto const& agent : this->agents)
    {
        agent->linked.erase(entry.name);
    }
    for (auto const& other : this->entries)
    {
        // Connections to the process are reset.
        ++other->peer_links[entry.name];
        other->cancels->link_closed(entry.name, false);
    }
    std::vector<std::string> keys;
    for (auto const& [key, request] : this->open_requests)
    {
        if (request.entry == &entry)
        {
            keys.push_back(key);
        }
    }
    for (auto const& key : keys)
    {
        this->resubmit(key);
    }
    auto const down_ms = std::uniform_int_distribution(50, 2'000)(this->caller_generator);
    this->schedule(milliseconds(down_ms),
                   [this, &entry]
                   {
                       entry.has_crashed = false;
                       entry.frozen_until = {};
                       ++entry.incarnation;
                       entry.core =
                           std::make_unique<job_dispatcher>(this->clock, dispatch_limits{});
                       this->reset_cancels(entry);
                   });
}

void cluster_simulation::reset_caller_connections(entry_process& entry)
{
    std::vector<std::string> keys;
    for (auto const& [key, request] : this->open_requests)
    {
        if (request.entry == &entry)
        {
            keys.push_back(key);
        }
    }
    for (auto const& key : keys)
    {
        this->disconnect_caller(key);
    }
}

void cluster_simulation::disconnect_caller(std::string const& key)
{
    auto& entry = *this->open_requests.find(key)->second.entry;
    this->resubmit(key);
    entry.abandoned_jobs.insert(key);
    auto cancelled = [this, &entry, key]
    {
        entry.core->cancel(key);
        this->carry_out(entry);
        entry.abandoned_jobs.erase(key);
    };
    bool const is_request_deferred = this->orders_input && !entry.deferred_events.empty();
    if (this->clock.steady_now() < entry.frozen_until || is_request_deferred)
    {
        entry.deferred_events.emplace_back(cancelled);
    }
    else
    {
        cancelled();
    }
}

void cluster_simulation::reset_cancels(entry_process& entry)
{
    entry.cancels = std::make_unique<cancel_coordinator>(
        this->clock, entry.name, cancel_limits{.gone_after = simulated_gone_after});
    entry.cancels->add_entry({replaced_entry, replaced_entry});
    for (auto const& other : this->entries)
    {
        entry.cancels->add_entry({other->name, other->name});
    }
}

/// Cuts about one link between two entries every two seconds, one in ten for longer than the
/// silence of an entry that is gone.
void cluster_simulation::cut_entries()
{
    if (!std::bernoulli_distribution(0.0025)(this->caller_generator))
    {
        return;
    }
    auto& one = *this->entries[this->caller_generator() % this->entries.size()];
    auto& other = *this->entries[this->caller_generator() % this->entries.size()];
    bool const is_long = std::bernoulli_distribution(0.1)(this->caller_generator);
    auto const time = std::uniform_int_distribution(100, 4'000)(this->caller_generator);
    one.cut_from.insert(other.name);
    this->schedule(milliseconds(is_long ? 12'000 : time),
                   [&one, name = other.name] { one.cut_from.erase(name); });
}

bool cluster_simulation::is_cut(entry_process const& from, entry_process const& to) const
{
    return from.cut_from.contains(to.name) || to.cut_from.contains(from.name);
}

/// Cancels about four jobs a second, each of the last few that were submitted.
void cluster_simulation::cancel_jobs()
{
    if (this->submitted_jobs == 0 || !std::bernoulli_distribution(0.02)(this->caller_generator))
    {
        return;
    }
    auto const back =
        1 + this->caller_generator() % std::min<std::size_t>(this->submitted_jobs, 15);
    auto const key = "job" + std::to_string(this->submitted_jobs - back);
    auto& entry = *this->entries[this->caller_generator() % this->entries.size()];
    if (entry.has_crashed || this->clock.steady_now() < entry.frozen_until)
    {
        return;
    }
    // The caller does not send the job again.
    this->open_requests.erase(key);
    auto const submission = this->submissions[key];
    if (entry.core->cancel(key))
    {
        entry.cancels->notify(key);
        this->carry_out(entry);
        this->acknowledge_cancel(key, submission);
    }
    else
    {
        this->sent_cancels[++this->last_cancel] = {key, submission, {}};
        entry.cancels->cancel(key, this->last_cancel);
    }
    this->carry_out_cancels(entry);
}

void cluster_simulation::acknowledge_cancel(std::string const& key, std::uint64_t submission)
{
    auto const known = this->acknowledged_cancels.find(key);
    if (known == this->acknowledged_cancels.end() || known->second.submission < submission)
    {
        this->acknowledged_cancels[key] = {key, submission, this->clock.steady_now()};
    }
}

void cluster_simulation::tick_cancels(entry_process& entry)
{
    for (auto const& agent : this->agents)
    {
        if (agent->linked.contains(entry.name))
        {
            entry.cancels->agent_lists(agent->name, {agent->linked.begin(), agent->linked.end()});
        }
        else
        {
            entry.cancels->agent_lost(agent->name);
        }
    }
    entry.cancels->tick();
    this->carry_out_cancels(entry);
}

void cluster_simulation::carry_out_cancels(entry_process& from)
{
    for (auto const& action : from.cancels->take_actions())
    {
        if (auto const* const opened = std::get_if<open_peer_link>(&action))
        {
            this->open_peer(from, opened->address);
        }
        else if (auto const* const closed = std::get_if<close_peer_link>(&action))
        {
            ++from.peer_links[closed->address];
        }
        else if (auto const* const query = std::get_if<send_cancel_query>(&action))
        {
            this->query_peer(from, *query);
        }
        else if (auto const* const answer = std::get_if<answer_cancel>(&action))
        {
            ++this->cancel_results[answer->result];
            auto const sent = this->sent_cancels.extract(answer->caller);
            if (answer->result != cancel_result::unconfirmed)
            {
                this->acknowledge_cancel(sent.mapped().key, sent.mapped().submission);
            }
        }
    }
}

void cluster_simulation::send_to_peer(entry_process& from, entry_process& to,
                                      std::function<void()> event)
{
    auto const process = to.incarnation;
    auto deliver = [this, &from, &to, process, event = std::move(event)]
    {
        if (to.incarnation != process || to.has_crashed || this->is_cut(from, to))
        {
            return;
        }
        if (this->clock.steady_now() < to.frozen_until)
        {
            to.deferred_events.push_back(event);
            return;
        }
        event();
    };
    this->schedule(milliseconds(1 + static_cast<int>(this->caller_generator() % 4)),
                   std::move(deliver));
}

void cluster_simulation::open_peer(entry_process& from, std::string const& address)
{
    auto const number = ++from.peer_links[address];
    if (address == replaced_entry)
    {
        return;
    }
    auto& to = this->find_entry(address);
    if (this->is_cut(from, to))
    {
        return;
    }
    bool const is_refused = to.has_crashed;
    auto answered = [this, &from, address, number, is_refused]
    {
        if (from.peer_links[address] != number)
        {
            return;
        }
        if (is_refused)
        {
            from.cancels->link_closed(address, true);
        }
        else
        {
            from.cancels->peer_identified(address, address);
        }
        this->carry_out_cancels(from);
    };
    if (is_refused)
    {
        this->send_to_peer(to, from, answered);
        return;
    }
    this->send_to_peer(from, to,
                       [this, &from, &to, answered] { this->send_to_peer(to, from, answered); });
}

void cluster_simulation::query_peer(entry_process& from, send_cancel_query const& query)
{
    auto& to = this->find_entry(query.address);
    auto const number = from.peer_links[query.address];
    this->send_to_peer(from, to,
                       [this, &from, &to, number, query]
                       {
                           bool const held = to.core->cancel(query.key);
                           this->carry_out(to);
                           this->send_to_peer(to, from,
                                              [this, &from, number, query, held]
                                              {
                                                  if (from.peer_links[query.address] != number)
                                                  {
                                                      return;
                                                  }
                                                  from.cancels->message_received(query.address);
                                                  from.cancels->answer_received(query.address,
                                                                                query.number, held);
                                                  this->carry_out_cancels(from);
                                              });
                       });
}

/// Injects about one fault every half second; several overlap.
void cluster_simulation::inject_faults()
{
    if (!this->random_chance(0.01))
    {
        return;
    }
    auto const now = this->clock.steady_now();
    auto& agent = *this->agents[this->generator() % agent_count];
    auto& entry = *this->entries[this->generator() % this->entries.size()];
    switch (this->generator() % 8)
    {
    case 0:
        agent.frozen_until = now + this->random_duration(100, 3'000);
        break;
    case 1:
        entry.frozen_until = now + this->random_duration(100, 3'000);
        break;
    case 2:
        agent.has_crashed = true;
        agent.linked.clear();
        agent.deferred_events.clear();
        this->schedule(this->random_duration(50, 2'000), [this, &agent] { this->restart(agent); });
        break;
    case 3:
        agent.partitioned_from.insert(entry.name);
        agent.linked.erase(entry.name);
        this->schedule(this->random_duration(50, 3'000),
                       [&agent, name = entry.name] { agent.partitioned_from.erase(name); });
        break;
    case 4:
        // A connection reset: the link is re-established immediately.
        agent.linked.erase(entry.name);
        break;
    case 5:
        agent.managed_target->is_unresponsive = true;
        this->schedule(this->random_duration(100, 2'000), [managed_target = agent.managed_target]
                       { managed_target->is_unresponsive = false; });
        break;
    case 6:
        this->restart_target(agent);
        break;
    default:
        this->delays_orders = true;
        this->schedule(this->random_duration(500, 3'000), [this] { this->delays_orders = false; });
        break;
    }
}

/// Restarts the target under the same id, without any state of the earlier process.
void cluster_simulation::restart_target(agent_process& agent)
{
    for (auto const& [task, run] : agent.managed_target->runs)
    {
        this->running[task].erase(agent.managed_target);
    }
    target next;
    next.clock_rate = agent.managed_target->clock_rate;
    next.speed = agent.managed_target->speed;
    next.is_unresponsive = agent.managed_target->is_unresponsive;
    next.incarnation = agent.managed_target->incarnation + 1;
    next.started_at = this->clock.steady_now();
    *agent.managed_target = std::move(next);
    // The connection of the pending renewal is reset; a frozen agent notices when it resumes.
    auto renewed = [this, &agent, incarnation = agent.incarnation]
    {
        if (agent.incarnation == incarnation && !agent.has_crashed)
        {
            this->renew(agent);
        }
    };
    this->schedule(renewal_retry_delay,
                   [this, &agent, renewed]
                   {
                       if (this->clock.steady_now() < agent.frozen_until)
                       {
                           agent.deferred_events.push_back(renewed);
                           return;
                       }
                       renewed();
                   });
}

void cluster_simulation::restart(agent_process& agent)
{
    agent.has_crashed = false;
    agent.linked.clear();
    agent.deferred_events.clear();
    ++agent.incarnation;
    ++agent.renewals;
    agent.core = std::make_unique<run_agent>(this->clock, "zone", agent_limits{},
                                             agent.incarnation * 1'000'000);
    agent.selection = std::make_unique<entry_selection>(agent.name, this->links_per_agent);
    for (auto const& entry : this->entries)
    {
        agent.selection->add(entry->name);
    }
    agent.selected.clear();
    agent.releasing.clear();
    this->renew(agent);
}

bool cluster_simulation::can_connect(agent_process const& agent, entry_process const& entry) const
{
    auto const now = this->clock.steady_now();
    return now >= agent.frozen_until && now >= entry.frozen_until && !entry.has_crashed &&
           !agent.partitioned_from.contains(entry.name);
}

cluster_simulation::entry_process& cluster_simulation::find_entry(std::string const& name)
{
    return **std::find_if(this->entries.begin(), this->entries.end(),
                          [&](auto const& item) { return item->name == name; });
}

void cluster_simulation::connect_missing_links()
{
    auto const now = this->clock.steady_now();
    for (auto const& agent : this->agents)
    {
        if (agent->has_crashed || !agent->core->is_recovered() || now < agent->frozen_until)
        {
            continue;
        }
        this->report_lost_links(*agent);
        this->release_surplus_links(*agent);
        for (auto const& name : agent->selection->due(now))
        {
            auto& entry = this->find_entry(name);
            agent->selection->started(name);
            if (!this->can_connect(*agent, entry))
            {
                agent->selection->failed(name, now);
                continue;
            }
            agent->selection->connected(name, now);
            agent->selected.insert(name);
            agent->linked.insert(name);
            this->connect(*agent, entry);
        }
    }
}

void cluster_simulation::report_lost_links(agent_process& agent)
{
    for (auto const& name : std::set(agent.selected))
    {
        if (!agent.linked.contains(name))
        {
            agent.selected.erase(name);
            agent.releasing.erase(name);
            agent.selection->failed(name, this->clock.steady_now());
        }
    }
}

void cluster_simulation::release_surplus_links(agent_process& agent)
{
    auto const now = this->clock.steady_now();
    auto const surplus = agent.selection->surplus(now);
    std::set<std::string> const names(surplus.begin(), surplus.end());
    std::erase_if(agent.releasing, [&](auto const& item) { return !names.contains(item.first); });
    for (auto const& name : names)
    {
        auto const since = agent.releasing.emplace(name, now).first->second;
        if (now - since < release_time || agent.core->has_work_for(name))
        {
            continue;
        }
        agent.selection->released(name);
        agent.releasing.erase(name);
        agent.selected.erase(name);
        agent.linked.erase(name);
        this->find_entry(name).core->agent_disconnected(agent.name);
        ++this->released_link_count;
    }
}

void cluster_simulation::connect(agent_process& agent, entry_process& entry)
{
    ++agent.link_number[entry.name];
    agent.core->entry_connected({entry.name, entry.incarnation});
    entry.core->agent_connected({agent.name, agent.incarnation});
    this->carry_out(entry);
    this->carry_out(agent);
}

void cluster_simulation::send_to_agent(agent_process& agent, entry_process& entry,
                                       std::function<void()> event)
{
    auto const process = agent.incarnation;
    auto const link = agent.link_number[entry.name];
    auto deliver = [this, &agent, name = entry.name, process, link, event = std::move(event)]
    {
        if (agent.incarnation != process || !agent.has_link(name, link))
        {
            return;
        }
        if (this->clock.steady_now() < agent.frozen_until)
        {
            agent.deferred_events.push_back(event);
            return;
        }
        event();
    };
    if (agent.linked.contains(entry.name))
    {
        this->send_in_order(entry.name + ">" + agent.name, std::move(deliver));
    }
}

void cluster_simulation::send_to_entry(entry_process& entry, agent_process& agent,
                                       std::function<void()> event)
{
    auto const process = agent.incarnation;
    auto const link = agent.link_number[entry.name];
    auto deliver = [this, &entry, &agent, process, link, event = std::move(event)]
    {
        if (agent.incarnation != process || !agent.has_link(entry.name, link))
        {
            return;
        }
        if (this->clock.steady_now() < entry.frozen_until)
        {
            entry.deferred_events.push_back(event);
            return;
        }
        event();
    };
    if (agent.linked.contains(entry.name))
    {
        this->send_in_order(agent.name + ">" + entry.name, std::move(deliver));
    }
}

void cluster_simulation::send_statuses()
{
    for (auto const& agent : this->agents)
    {
        if (agent->has_crashed || this->clock.steady_now() < agent->frozen_until)
        {
            continue;
        }
        agent->core->target_announced({"target",
                                       agent->managed_target->incarnation,
                                       "service",
                                       {target_cpu, 1'000, 0},
                                       false,
                                       static_cast<std::uint64_t>(this->submitted_jobs + 1)});
        for (auto const& entry : this->entries)
        {
            auto status = agent->core->make_status(entry->name);
            status.accepting = status.accepting && !agent->releasing.contains(entry->name);
            this->send_to_entry(*entry, *agent,
                                [this, &agent = *agent, &entry = *entry, status]
                                {
                                    entry.core->status_received(agent.name, status);
                                    if (this->orders_input)
                                    {
                                        this->carry_out(entry);
                                    }
                                    this->send_to_agent(agent, entry,
                                                        [&agent, &entry, stamp = status.stamp_ms] {
                                                            agent.core->entry_heartbeat_received(
                                                                entry.name, stamp);
                                                        });
                                });
        }
    }
}

void cluster_simulation::carry_out(entry_process& from)
{
    auto const find = [this](std::string const& name) -> agent_process&
    {
        return **std::find_if(this->agents.begin(), this->agents.end(),
                              [&](auto const& item) { return item->name == name; });
    };
    for (auto& action : from.core->take_actions())
    {
        if (auto const* const start = std::get_if<send_start>(&action))
        {
            auto& agent = find(start->agent);
            this->send_to_agent(agent, from,
                                [&agent, name = from.name, order = start->order]
                                { agent.core->start_ordered(name, order); });
        }
        else if (auto const* const cancel = std::get_if<send_cancel>(&action))
        {
            auto& agent = find(cancel->agent);
            this->send_to_agent(agent, from,
                                [&agent, name = from.name, id = cancel->id]
                                { agent.core->cancel_ordered(name, id); });
        }
        else if (auto const* const acknowledgement = std::get_if<send_acknowledgement>(&action))
        {
            auto& agent = find(acknowledgement->agent);
            this->send_to_agent(agent, from,
                                [&agent, name = from.name, id = acknowledgement->id]
                                { agent.core->report_acknowledged(name, id); });
        }
        else if (auto const* const resume = std::get_if<send_resume>(&action))
        {
            auto& agent = find(resume->agent);
            this->send_to_agent(agent, from,
                                [&agent, name = from.name, orders = resume->orders]
                                { agent.core->runs_resumed(name, orders); });
        }
        else if (auto const* const answer = std::get_if<answer_job>(&action))
        {
            this->record_answer(from, *answer);
        }
    }
}

void cluster_simulation::carry_out(agent_process& from)
{
    for (auto& action : from.core->take_actions())
    {
        if (auto const* const start = std::get_if<start_run>(&action))
        {
            this->order_start(from, *start);
        }
        else if (auto const* const stop = std::get_if<stop_run>(&action))
        {
            this->order_stop(from, *stop);
        }
        else if (auto const* const report = std::get_if<send_report>(&action))
        {
            for (auto const& entry : this->entries)
            {
                if (entry->name == report->entry)
                {
                    this->send_to_entry(
                        *entry, from,
                        [&entry = *entry, name = from.name, content = report->report]
                        { entry.core->run_ended(name, content); });
                }
            }
        }
    }
}

void cluster_simulation::order_start(agent_process& from, start_run const& order)
{
    auto const answer = [this, &from, incarnation = from.incarnation, id = order.id,
                         number = order.order_number](start_answer result)
    {
        if (from.incarnation != incarnation || from.has_crashed)
        {
            return;
        }
        auto deliver = [&from, id, number, result]
        { from.core->start_answered(id, number, result); };
        if (this->clock.steady_now() < from.frozen_until)
        {
            from.deferred_events.push_back(deliver);
        }
        else
        {
            deliver();
        }
    };
    auto& managed_target = *from.managed_target;
    if (managed_target.is_unresponsive || (this->delays_orders && this->random_chance(0.3)))
    {
        // The order is lost, or is executed seconds later. A restarted target refuses it, since
        // orders name the process that they are addressed to, unless
        // restarted_target_accepts_late_orders is set.
        this->schedule(milliseconds(60), [answer] { answer(start_answer::none); });
        this->schedule(this->random_duration(300, 4'000),
                       [this, &managed_target, order, incarnation = managed_target.incarnation]
                       {
                           if (managed_target.incarnation == incarnation ||
                               this->restarted_target_accepts_late_orders)
                           {
                               this->begin(managed_target, order);
                           }
                       });
        return;
    }
    this->schedule(milliseconds(1),
                   [this, &managed_target, order, answer]
                   {
                       if (order.fencing_token < managed_target.highest_token)
                       {
                           answer(start_answer::fenced);
                           return;
                       }
                       if (order.lease_until_ms < managed_target.clock_ms(this->clock))
                       {
                           answer(start_answer::lease_expired);
                           return;
                       }
                       auto const highest = managed_target.highest_run.find(order.id.task);
                       if (highest != managed_target.highest_run.end() &&
                           order.id.run <= highest->second)
                       {
                           answer(start_answer::stale_run);
                           return;
                       }
                       this->begin(managed_target, order);
                       answer(start_answer::accepted);
                   });
}

void cluster_simulation::order_stop(agent_process& from, stop_run const& order)
{
    auto& managed_target = *from.managed_target;
    bool const is_lost = managed_target.is_unresponsive ||
                         (this->delays_orders && this->random_chance(this->lost_stop_share));
    this->schedule(
        is_lost ? milliseconds(60) : milliseconds(1),
        [this, &from, &managed_target, order, is_lost, incarnation = from.incarnation]
        {
            if (!is_lost && order.fencing_token >= managed_target.highest_token)
            {
                managed_target.highest_token = order.fencing_token;
                auto const run = managed_target.runs.find(order.id.task);
                if (run != managed_target.runs.end() && run->second.number <= order.id.run)
                {
                    run->second.ends = this->clock.steady_now() + milliseconds(20);
                }
                auto& highest = managed_target.highest_run[order.id.task];
                highest = std::max(highest, order.id.run);
            }
            bool const is_same_process = from.incarnation == incarnation && !from.has_crashed;
            if (is_same_process && this->clock.steady_now() >= from.frozen_until)
            {
                from.core->stop_answered(order.id, !is_lost);
            }
        });
}

void cluster_simulation::renew(agent_process& from)
{
    auto const number = ++from.renewals;
    auto const sent = from.core->make_renewal();
    auto& managed_target = *from.managed_target;
    bool const is_lost =
        managed_target.is_unresponsive || (this->delays_orders && this->random_chance(0.2));
    if (is_lost && this->executes_late_renewals)
    {
        this->schedule(this->random_duration(5, 2'000),
                       [this, &managed_target, sent]
                       {
                           if (sent.fencing_token >= managed_target.highest_token)
                           {
                               managed_target.highest_token = sent.fencing_token;
                               managed_target.extend_lease(sent.lease_until_ms.value_or(0),
                                                           this->clock);
                           }
                       });
    }
    if (!is_lost)
    {
        this->schedule(milliseconds(1),
                       [&managed_target, sent, incarnation = managed_target.incarnation]
                       {
                           if (managed_target.incarnation == incarnation)
                           {
                               managed_target.highest_token =
                                   std::max(managed_target.highest_token, sent.fencing_token);
                           }
                       });
    }
    this->schedule(is_lost ? milliseconds(200) : this->random_duration(5, 100),
                   [this, &from, sent, is_lost, number]
                   {
                       if (from.renewals != number || from.has_crashed)
                       {
                           return;
                       }
                       if (this->clock.steady_now() < from.frozen_until)
                       {
                           // The loop continues when the agent resumes.
                           from.deferred_events.push_back([this, &from] { this->renew(from); });
                           return;
                       }
                       if (!is_lost)
                       {
                           this->answer_renewal(from, sent);
                       }
                       this->carry_out(from);
                       this->renew(from);
                   });
}

void cluster_simulation::answer_renewal(agent_process& from, renewal const& sent)
{
    auto& managed_target = *from.managed_target;
    if (sent.fencing_token < managed_target.highest_token)
    {
        from.core->renewal_fenced(sent);
        return;
    }
    managed_target.highest_token = sent.fencing_token;
    managed_target.extend_lease(sent.lease_until_ms.value_or(0), this->clock);
    std::erase_if(managed_target.finished,
                  [&](finished_run const& item) { return item.number <= sent.last_seen; });
    run_list list;
    list.incarnation = managed_target.incarnation;
    list.clock_ms = managed_target.clock_ms(this->clock);
    for (auto const& [task, run] : managed_target.runs)
    {
        list.running.push_back({{task, run.number}});
    }
    list.finished = managed_target.finished;
    from.core->renewal_answered(sent, list);
}

void cluster_simulation::begin(target& managed_target, start_run const& order)
{
    auto const highest = managed_target.highest_run.find(order.id.task);
    bool const is_refused =
        order.fencing_token < managed_target.highest_token ||
        order.lease_until_ms < managed_target.clock_ms(this->clock) ||
        managed_target.runs.contains(order.id.task) ||
        (highest != managed_target.highest_run.end() && order.id.run <= highest->second);
    if (is_refused)
    {
        return;
    }
    managed_target.highest_token = std::max(managed_target.highest_token, order.fencing_token);
    managed_target.extend_lease(order.lease_until_ms, this->clock);
    auto const time =
        static_cast<double>(
            this->random_duration(30, static_cast<int>(this->longest_run.count())).count()) /
        managed_target.speed;
    managed_target.runs[order.id.task] = {order.id.run, 3'000,
                                          this->clock.steady_now() +
                                              milliseconds(static_cast<std::int64_t>(time))};
    auto& running_on = this->running[order.id.task];
    running_on.insert(&managed_target);
    if (running_on.size() > 1)
    {
        this->add_violation("two runs of " + order.id.task + " at the same time");
    }
    auto const job = job_of(order.id.task);
    this->started_jobs.insert(job);
    auto const cancelled = this->acknowledged_cancels.find(job);
    if (cancelled != this->acknowledged_cancels.end() &&
        cancelled->second.submission == this->submissions[job] &&
        this->clock.steady_now() > cancelled->second.acknowledged + cancel_bound)
    {
        this->add_violation(order.id.task + " starts after the cancel of its job");
    }
    auto const outcome = this->outcomes.find(job);
    if (outcome != this->outcomes.end() && outcome->second == job_outcome::not_run &&
        !this->resubmitted_keys.contains(job))
    {
        this->add_violation(order.id.task + " starts after its job was reported as not run");
    }
}

void cluster_simulation::advance(target& managed_target)
{
    bool const is_lease_expired = managed_target.clock_ms(this->clock) > managed_target.lease_until;
    for (auto item = managed_target.runs.begin(); item != managed_target.runs.end();)
    {
        if (!is_lease_expired && this->clock.steady_now() < item->second.ends)
        {
            ++item;
            continue;
        }
        auto const reason = is_lease_expired            ? finish_reason::expired
                            : this->random_chance(0.02) ? finish_reason::failed
                                                        : finish_reason::done;
        managed_target.finished.push_back(
            {++managed_target.finish_number, {item->first, item->second.number}, reason});
        auto& highest = managed_target.highest_run[item->first];
        highest = std::max(highest, item->second.number);
        this->running[item->first].erase(&managed_target);
        item = managed_target.runs.erase(item);
    }
}

void cluster_simulation::check_capacity(target const& managed_target)
{
    // Tasks use 2,000 to 4,500 of the 10,000 thousandths of a core: at most five fit.
    if (managed_target.runs.size() > 5)
    {
        this->add_violation("more runs than the capacity of a target allows");
    }
}

void cluster_simulation::record_answer(entry_process const& from, answer_job const& answer)
{
    // An earlier submission of the job may have been started and is answered separately.
    bool const is_resubmitted = this->resubmitted_keys.contains(answer.key);
    if (!this->outcomes.emplace(answer.key, answer.outcome).second && !is_resubmitted)
    {
        this->add_violation(answer.key + " was answered twice");
    }
    if (answer.outcome == job_outcome::not_run && !is_resubmitted &&
        this->started_jobs.contains(answer.key))
    {
        this->add_violation(answer.key + " was reported as not run after a start");
    }
    this->completed_jobs += answer.outcome == job_outcome::completed ? 1 : 0;
    auto const request = this->open_requests.find(answer.key);
    if (!from.abandoned_jobs.contains(answer.key) && request != this->open_requests.end() &&
        request->second.entry == &from)
    {
        if (answer.outcome == job_outcome::given_up)
        {
            this->resubmit(answer.key);
        }
        else
        {
            this->open_requests.erase(answer.key);
        }
    }
}

} // namespace filbertroad::dispatch

#include "filbertroad/submission/internal/test_cluster.hpp"

#include <utility>

namespace filbertroad::submission::internal
{
namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t test_epoch_ms = 1'790'000'000'000;

template <class Range, class Value>
bool contains(Range const& range, Value const& value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

std::unique_ptr<shard_owner> make_owner(model::process_id const& id)
{
    return std::make_unique<shard_owner>(id, "svc", 0, owner_options{},
                                         scheduling::scheduler::builder().build());
}

/// Serializes an action, for comparison.
std::string bytes_of(action const& done)
{
    struct writer
    {
        std::string operator()(send_start const& a) const
        {
            return a.agent.name + a.start.SerializeAsString();
        }
        std::string operator()(send_cancel const& a) const
        {
            return a.agent.name + a.cancel.SerializeAsString();
        }
        std::string operator()(send_finished_ack const& a) const
        {
            return a.agent.name + a.ack.SerializeAsString();
        }
        std::string operator()(send_fence const& a) const
        {
            return a.agent.name + a.fence.SerializeAsString();
        }
        std::string operator()(send_lookup const& a) const
        {
            return a.member.name + a.lookup.SerializeAsString();
        }
        std::string operator()(reply const& a) const
        {
            return std::to_string(a.request_number) +
                   std::visit([](auto const& answer) { return answer.SerializeAsString(); },
                              a.answer);
        }
        std::string operator()(forward const& a) const
        {
            return std::to_string(a.request_number) + a.member.name;
        }
    };
    return std::to_string(done.index()) + std::visit(writer{}, done) + "\n";
}

} // namespace

model::process_id log_state::owner() const
{
    model::process_id best;
    std::uint64_t best_score = 0;
    for (auto const& member : this->members)
    {
        auto const score = base::hash64(member.name, member.incarnation);
        if (!contains(this->leaving, member) && score >= best_score)
        {
            best = member;
            best_score = score;
        }
    }
    return best;
}

ownership log_state::ownership_of(model::process_id const& self) const
{
    ownership owned;
    owned.view = this->view;
    owned.is_owner = this->owner() == self;
    owned.leaving = contains(this->leaving, self);
    for (auto const& member : this->members)
    {
        if (member != self)
        {
            owned.other_members.push_back(member);
        }
    }
    owned.removed = this->removed;
    owned.agents = this->agents;
    owned.unregistered_agents = this->unregistered_agents;
    return owned;
}

test_cluster::test_cluster(std::uint64_t seed) : random(seed)
{
    this->entry_fault_interval = 30 + random_below(this->random, 100);
    for (auto const* const name : {"e1", "e2", "e3"})
    {
        this->add_entry(name);
    }
    for (auto const* const name : {"a1", "a2", "a3"})
    {
        this->add_agent(name);
    }
}

void test_cluster::run(int steps, std::int64_t recovery_limit)
{
    for (int i = 0; i < steps; ++i)
    {
        this->step(true);
    }
    this->stop_faults();
    auto const is_open = [](caller_job const& job) { return job.persistent && !job.ended; };
    auto const limit = this->now + recovery_limit;
    while (this->now < limit && std::any_of(this->jobs.begin(), this->jobs.end(), is_open))
    {
        this->step(false);
    }
    for (auto const& job : this->jobs)
    {
        if (is_open(job))
        {
            this->executions.violations.push_back("never ended: " + job.key);
        }
    }
}

void test_cluster::check_replay()
{
    for (auto const& process : this->entries)
    {
        auto const owner = make_owner(process->id);
        std::string actions;
        for (auto const& [event, at] : process->event_log)
        {
            event(*owner, at);
            for (auto const& done : owner->take_actions())
            {
                actions += bytes_of(done);
            }
        }
        if (actions != process->actions)
        {
            this->executions.violations.push_back("replay differs: " + process->id.name);
        }
    }
}

void test_cluster::step(bool faults)
{
    this->now += 20 + static_cast<std::int64_t>(random_below(this->random, faults ? 130 : 300));
    if (faults)
    {
        this->inject_faults();
        if (this->jobs.size() < 8 && random_chance(this->random, 8))
        {
            this->add_job();
        }
    }
    this->send_due_requests();
    for (std::size_t i = 0; i < this->agents.size(); ++i)
    {
        for (auto& process : this->entries)
        {
            auto& connection = this->links[{process->id, this->agents[i]->id}];
            if (process->alive && !connection.up && random_chance(this->random, faults ? 15 : 100))
            {
                this->connect(connection, process->id, *this->agents[i]);
            }
            if (process->alive && process->paused_until <= this->now &&
                this->is_confirmed(*process) && random_chance(this->random, 60))
            {
                this->send_pong(connection, *process);
            }
        }
        if (this->agents_paused_until[i] <= this->now)
        {
            this->agents[i]->tick(this->now);
        }
    }
    this->deliver();
    // Entries that start during this step first run in the next step.
    auto const count = this->entries.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        if (this->entries[i]->alive && this->entries[i]->paused_until <= this->now)
        {
            this->run_entry(*this->entries[i]);
        }
    }
}

void test_cluster::deliver()
{
    for (auto& agent : this->agents)
    {
        for (auto& process : this->entries)
        {
            this->deliver_link(process->id, this->links[{process->id, agent->id}], *agent);
        }
    }
    auto const due = [&](in_flight_message const& message) { return message.at <= this->now; };
    auto const first =
        std::stable_partition(this->in_flight.begin(), this->in_flight.end(),
                              [&](in_flight_message const& message) { return !due(message); });
    std::vector<in_flight_message> arrived(std::make_move_iterator(first),
                                           std::make_move_iterator(this->in_flight.end()));
    this->in_flight.erase(first, this->in_flight.end());
    std::shuffle(arrived.begin(), arrived.end(), this->random);
    for (auto& message : arrived)
    {
        if (auto* const process = this->find_entry(message.entry))
        {
            process->inbox.push_back(std::move(message.message));
        }
    }
}

void test_cluster::deliver_link(model::process_id const& entry_id, link& connection,
                                test_agent& agent)
{
    auto* const process = this->find_entry(entry_id);
    while (process != nullptr && !connection.to_entry.empty() &&
           connection.to_entry.front().first <= this->now)
    {
        process->inbox.push_back({std::move(connection.to_entry.front().second)});
        connection.to_entry.pop_front();
    }
    auto const index = std::find_if(this->agents.begin(), this->agents.end(),
                                    [&](auto const& a) { return a.get() == &agent; }) -
                       this->agents.begin();
    while (this->agents_paused_until[static_cast<std::size_t>(index)] <= this->now &&
           !connection.to_agent.empty() && connection.to_agent.front().first <= this->now)
    {
        auto const message = std::move(connection.to_agent.front().second);
        connection.to_agent.pop_front();
        message(agent);
    }
}

bool test_cluster::is_confirmed(entry const& process) const
{
    return this->now - process.confirmed_at <= 2000;
}

event_time test_cluster::event_time_of(entry const& process) const
{
    return {base::steady_time(milliseconds(3'600'000 + this->now)),
            base::system_time(milliseconds(test_epoch_ms + this->now + process.clock_offset))};
}

void test_cluster::run_entry(entry& process)
{
    auto const confirmed = this->is_confirmed(process);
    this->apply_event(process, [confirmed](shard_owner& owner, event_time const& at)
                      { owner.set_confirmed(confirmed, at.now); });
    auto const inbox = std::exchange(process.inbox, {});
    for (auto const& message : inbox)
    {
        if (message.is_recorded)
        {
            this->apply_event(process, message.event);
        }
        else
        {
            message.event(*process.owner, this->event_time_of(process));
        }
    }
    this->read_log(process);
    if (process.alive)
    {
        this->apply_event(process, [](shard_owner& owner, event_time const& at)
                          { owner.tick(at.now, at.wall); });
        this->finish_leaving(process);
    }
}

void test_cluster::apply_event(entry& process, owner_event const& event)
{
    auto const at = this->event_time_of(process);
    event(*process.owner, at);
    process.event_log.emplace_back(event, at);
    for (auto const& next : process.owner->take_actions())
    {
        process.actions += bytes_of(next);
        this->perform(process, next);
    }
}

void test_cluster::read_log(entry& process)
{
    if (process.partitioned_until > this->now)
    {
        process.pending_log_read.reset();
        return;
    }
    if (process.pending_log_read)
    {
        auto const [sent_at, newest] = *process.pending_log_read;
        process.pending_log_read.reset();
        if (newest == process.applied_version)
        {
            process.confirmed_at = sent_at;
            return;
        }
        process.applied_version = newest;
        auto const& state = this->log[newest];
        this->apply_event(process, [owned = state.ownership_of(process.id)](shard_owner& owner,
                                                                            event_time const& at)
                          { owner.set_ownership(owned, at.now, at.wall); });
        if (contains(this->log[newest].removed, process.id))
        {
            this->restart_entry(process);
            return;
        }
    }
    process.pending_log_read = {this->now, this->log.size() - 1};
}

void test_cluster::perform(entry& process, action const& next)
{
    if (auto const* const start = std::get_if<send_start>(&next))
    {
        this->check_start(process, *start);
        this->send_start_to_agent(process, *start);
    }
    else if (auto const* const cancel = std::get_if<send_cancel>(&next))
    {
        this->send_to_agent(process, cancel->agent,
                            [this, message = cancel->cancel](test_agent& agent)
                            { agent.cancel(message, this->now); });
    }
    else if (auto const* const ack = std::get_if<send_finished_ack>(&next))
    {
        this->send_to_agent(process, ack->agent,
                            [from = process.id, message = ack->ack](test_agent& agent)
                            { agent.acknowledge(from, message); });
    }
    else if (auto const* const fence = std::get_if<send_fence>(&next))
    {
        this->send_to_agent(process, fence->agent,
                            [from = process.id, message = fence->fence](test_agent& agent)
                            { agent.fence(from, message); });
    }
    else if (auto const* const sent_lookup = std::get_if<send_lookup>(&next))
    {
        this->deliver_lookup(process.id, *sent_lookup);
    }
    else if (auto const* const sent_reply = std::get_if<reply>(&next))
    {
        this->check_reply(*sent_reply);
    }
    else if (auto const* const forwarded = std::get_if<forward>(&next))
    {
        this->send_request(this->requests.at(forwarded->request_number), forwarded->member,
                           forwarded->request_number);
    }
}

void test_cluster::check_start(entry const& process, send_start const& start)
{
    auto const& state = this->log[process.applied_version];
    auto const registered = std::any_of(state.agents.begin(), state.agents.end(),
                                        [&](wire::agent const& agent)
                                        { return wire::to_model(agent.id()) == start.agent; });
    if (!registered || contains(state.unregistered_agents, start.agent))
    {
        this->executions.violations.push_back("start to an unregistered agent: " +
                                              start.agent.name);
    }
}

void test_cluster::check_reply(reply const& sent_reply)
{
    ++this->replies;
    auto& job = this->jobs[this->requests.at(sent_reply.request_number).job];
    // The caller does not see a reply that is lost.
    auto const arrives = !random_chance(this->random, 10);
    if (auto const* const error = std::get_if<wire::request_error>(&sent_reply.answer))
    {
        if (error->not_run() == "yes" && this->executions.has_started(job.key, job.body))
        {
            this->executions.violations.push_back("false \"not run\" (" + error->code() +
                                                  "): " + job.key);
        }
        // A deadline that is shorter than the learnt run times is refused permanently, before the
        // job is accepted.
        if (error->code() == "key_reused" || error->code() == "acknowledged" ||
            error->code() == "deadline_unreachable")
        {
            job.ended = job.ended || arrives;
        }
        return;
    }
    auto const& report = std::get<wire::job_report>(sent_reply.answer);
    auto const has_ended =
        report.state() == wire::job_state_complete || report.state() == wire::job_state_failed;
    if (has_ended && report.results_size() > 0)
    {
        ++this->answers;
        this->check_report(job, report);
        job.ended = job.ended || arrives;
    }
    else if (report.results_size() > 0)
    {
        this->executions.violations.push_back("partial answer: " + job.key);
    }
}

void test_cluster::check_report(caller_job const& job, wire::job_report const& report)
{
    auto const expect = [&](bool holds, std::string const& what)
    {
        if (!holds)
        {
            this->executions.violations.push_back(what + ": " + job.key);
        }
    };
    expect(report.results_size() == job.tasks, "answer with too few or too many tasks");
    bool all_succeeded = true;
    for (int i = 0; i < report.results_size(); ++i)
    {
        auto const& result = report.results(i);
        expect(result.task().index() == static_cast<std::uint32_t>(i), "tasks out of order");
        auto const started = this->executions.has_started(job.key + "/" + std::to_string(i));
        all_succeeded = all_succeeded && result.outcome() == wire::outcome_succeeded;
        if (result.outcome() == wire::outcome_not_run)
        {
            expect(!started, "a task that ran is reported as not run");
        }
        else if (result.outcome() != wire::outcome_may_have_run)
        {
            expect(started && result.body() == "ran " + job.body + "#" + std::to_string(i),
                   "answer body of another task");
        }
    }
    expect(all_succeeded == (report.state() == wire::job_state_complete),
           "wrong end state of the job");
}

} // namespace filbertroad::submission::internal

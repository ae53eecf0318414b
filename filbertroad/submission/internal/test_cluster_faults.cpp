#include "filbertroad/submission/internal/test_cluster.hpp"

#include <utility>

namespace filbertroad::submission::internal
{
namespace
{

constexpr std::int64_t test_epoch_ms = 1'790'000'000'000;

} // namespace

void test_cluster::inject_faults()
{
    auto const index = random_below(this->random, this->agents.size());
    auto& process = this->random_entry();
    switch (random_below(this->random, 100))
    {
    case 0:
        this->restart_agent(index);
        break;
    case 1:
        this->agents_paused_until[index] =
            this->now + static_cast<std::int64_t>(random_below(this->random, 6000));
        break;
    case 2:
    case 3:
    case 4:
    case 5:
        this->disconnect(this->links[{process.id, this->agents[index]->id}], process.id,
                         *this->agents[index]);
        break;
    default:
        this->inject_entry_fault(process);
    }
    // Members that stopped are removed from the view some time later.
    auto const members = this->log.back().members;
    for (auto const& member : members)
    {
        if (this->find_entry(member) == nullptr && random_chance(this->random, 4))
        {
            auto& state = this->append_log_state();
            std::erase(state.members, member);
            std::erase(state.leaving, member);
            state.removed.push_back(member);
            state.view = this->log.size();
        }
    }
}

void test_cluster::inject_entry_fault(entry& process)
{
    auto const up_to = [&](std::uint64_t limit)
    { return this->now + static_cast<std::int64_t>(random_below(this->random, limit)); };
    switch (random_below(this->random, this->entry_fault_interval))
    {
    case 0:
        this->restart_entry(process);
        break;
    case 1:
    case 2:
        process.paused_until = up_to(12000);
        break;
    case 3:
        process.partitioned_until = up_to(6000);
        break;
    case 4: // A live member is removed, as after a network partition.
    {
        auto& state = this->append_log_state();
        std::erase(state.members, process.id);
        std::erase(state.leaving, process.id);
        state.removed.push_back(process.id);
        state.view = this->log.size();
        break;
    }
    case 5:
    {
        auto const& members = this->log.back().members;
        if (std::find(members.begin(), members.end(), process.id) != members.end() &&
            this->log.back().leaving.empty())
        {
            auto& state = this->append_log_state();
            state.leaving.push_back(process.id);
            state.view = this->log.size();
        }
        break;
    }
    default:
        break;
    }
}

void test_cluster::stop_faults()
{
    for (auto& until : this->agents_paused_until)
    {
        until = 0;
    }
    auto& state = this->append_log_state();
    std::vector<model::process_id> alive;
    for (auto const& member : state.members)
    {
        auto* const process = this->find_entry(member);
        (process == nullptr ? state.removed : alive).push_back(member);
        if (process != nullptr)
        {
            process->paused_until = 0;
            process->partitioned_until = 0;
        }
    }
    state.members = alive;
    state.view = this->log.size();
}

void test_cluster::restart_entry(entry& process)
{
    process.alive = false;
    for (auto& [ids, connection] : this->links)
    {
        if (ids.first == process.id)
        {
            connection = {};
        }
    }
    auto const name = process.id.name;
    this->add_entry(name);
}

void test_cluster::finish_leaving(entry& process)
{
    auto const& state = this->log[process.applied_version];
    auto* const next = this->find_entry(state.owner());
    auto const is_leaving =
        std::find(state.leaving.begin(), state.leaving.end(), process.id) != state.leaving.end();
    if (!is_leaving || !process.owner->is_idle() || next == nullptr ||
        next->paused_until > this->now)
    {
        return;
    }
    for (auto jobs = process.owner->take_handover(); jobs.jobs_size() > 0;
         jobs = process.owner->take_handover())
    {
        this->apply_event(*next, [jobs](shard_owner& owner, event_time const& at)
                          { owner.accept_handover(jobs, at.now, at.wall); });
    }
    auto& left = this->append_log_state();
    std::erase(left.members, process.id);
    std::erase(left.leaving, process.id);
    left.removed.push_back(process.id);
    left.view = this->log.size();
    this->restart_entry(process);
}

void test_cluster::add_entry(std::string const& name)
{
    auto added = std::make_unique<entry>();
    added->id = {name, ++this->last_incarnation};
    added->owner = std::make_unique<shard_owner>(added->id, "svc", 0, owner_options{},
                                                 scheduling::scheduler::builder().build());
    added->clock_offset = static_cast<std::int64_t>(random_below(this->random, 5000)) - 2500;
    auto& state = this->append_log_state();
    for (auto const& member : this->log[this->log.size() - 2].members)
    {
        if (member.name == name)
        {
            std::erase(state.members, member);
            std::erase(state.leaving, member);
            state.removed.push_back(member);
        }
    }
    state.members.push_back(added->id);
    state.view = this->log.size();
    this->entries.push_back(std::move(added));
}

void test_cluster::add_agent(std::string const& name)
{
    // The incarnation is the start time by the clock of the agent's machine. Owners compare it with
    // the creation time of keys.
    auto const skew = static_cast<std::int64_t>(base::hash64(name) % 5000) - 2500;
    auto const incarnation = static_cast<std::uint64_t>(test_epoch_ms + this->now + skew);
    auto added = std::make_unique<test_agent>(name, incarnation, this->executions, this->random);
    added->send = [this, id = added->id](model::process_id const& to, owner_event event)
    {
        auto& connection = this->links[{to, id}];
        if (connection.up)
        {
            auto const last = connection.to_entry.empty() ? 0 : connection.to_entry.back().first;
            connection.to_entry.emplace_back(std::max(last, this->now + this->delay()),
                                             std::move(event));
        }
    };
    auto& state = this->append_log_state();
    for (auto const& agent : state.agents)
    {
        if (agent.id().name() == name)
        {
            state.unregistered_agents.push_back(wire::to_model(agent.id()));
        }
    }
    auto& registered = state.agents.emplace_back();
    *registered.mutable_id() = wire::to_wire(added->id);
    registered.set_zone("z");
    this->agents.push_back(std::move(added));
    this->agents_paused_until.push_back(0);
}

void test_cluster::restart_agent(std::size_t index)
{
    auto const name = this->agents[index]->id.name;
    auto const id = this->agents[index]->id;
    for (auto& process : this->entries)
    {
        this->disconnect(this->links[{process->id, id}], process->id, *this->agents[index]);
    }
    this->agents.erase(this->agents.begin() + static_cast<std::ptrdiff_t>(index));
    this->agents_paused_until.erase(this->agents_paused_until.begin() +
                                    static_cast<std::ptrdiff_t>(index));
    this->add_agent(name);
}

void test_cluster::disconnect(link& connection, model::process_id const& entry_id,
                              test_agent const& agent)
{
    if (!connection.up)
    {
        return;
    }
    connection = {};
    // Without this message, the entry learns of the disconnect only from the next link.
    if (random_chance(this->random, 70))
    {
        this->in_flight.push_back(
            {this->now, entry_id, {[id = agent.id](shard_owner& owner, event_time const& at) {
                 owner.agent_unlinked(id, at.now);
             }}});
    }
}

void test_cluster::connect(link& connection, model::process_id const& entry_id, test_agent& agent)
{
    connection = {};
    connection.up = true;
    connection.number = ++this->last_link;
    agent.send(entry_id,
               [this, entry_id, hello = agent.hello(entry_id), number = connection.number,
                id = agent.id](shard_owner& owner, event_time const& at)
               {
                   auto& current = this->links[{entry_id, id}];
                   current.hello_received = current.hello_received || current.number == number;
                   owner.agent_linked(hello, at.now);
               });
}

bool test_cluster::send_to_agent(entry const& process, model::process_id const& agent,
                                 std::function<void(test_agent&)> message)
{
    auto& connection = this->links[{process.id, agent}];
    if (!connection.up || !connection.hello_received)
    {
        return false;
    }
    auto const last = connection.to_agent.empty() ? 0 : connection.to_agent.back().first;
    connection.to_agent.emplace_back(std::max(last, this->now + this->delay()), std::move(message));
    return true;
}

void test_cluster::send_start_to_agent(entry const& process, send_start const& start)
{
    auto const is_sent =
        this->send_to_agent(process, start.agent,
                            [this, at = process.id, message = start.start](test_agent& agent)
                            { agent.start(at, message, this->now); });
    // An agent may have received the start on the previous connection and refuse it on the new one.
    if (is_sent || random_chance(this->random, 50))
    {
        return;
    }
    for (auto& agent : this->agents)
    {
        if (agent->id == start.agent)
        {
            agent->refuse(process.id, start.start.task(), wire::refusal_stale_link);
        }
    }
}

void test_cluster::send_pong(link& connection, entry const& process)
{
    if (!connection.up || !connection.hello_received)
    {
        return;
    }
    auto const last = connection.to_agent.empty() ? 0 : connection.to_agent.back().first;
    connection.to_agent.emplace_back(
        std::max(last, this->now + this->delay()),
        [confirmed_at = process.confirmed_at, version = process.applied_version,
         members = this->log[process.applied_version].members](test_agent& agent)
        {
            if (version < agent.version)
            {
                return;
            }
            agent.version = version;
            agent.members = members;
            agent.confirmed_at = std::max(agent.confirmed_at, confirmed_at);
        });
}

void test_cluster::deliver_lookup(model::process_id const& requester,
                                  send_lookup const& sent_lookup)
{
    auto const& member = sent_lookup.member;
    auto const& lookup = sent_lookup.lookup;
    if (this->find_entry(member) == nullptr || random_chance(this->random, 10))
    {
        this->in_flight.push_back({this->now + this->delay(),
                                   requester,
                                   {[member, lookup](shard_owner& owner, event_time const& at)
                                    { owner.lookup_failed(member, lookup, at.now); }}});
        return;
    }
    auto const answer = [this, requester, member, lookup](shard_owner& owner, event_time const&)
    {
        auto const found = owner.answer_lookup(lookup);
        auto const copies = random_chance(this->random, 10) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            this->in_flight.push_back(
                {this->now + this->delay(),
                 requester,
                 {[member, lookup, found](shard_owner& requesting_owner, event_time const& at)
                  { requesting_owner.lookup_answered(member, lookup, found, at.now); }}});
        }
    };
    this->in_flight.push_back({this->now + this->delay(), member, {answer, false}});
}

void test_cluster::add_job()
{
    auto const skew = static_cast<std::int64_t>(random_below(this->random, 5000)) - 2500;
    caller_job job;
    job.key =
        std::to_string(test_epoch_ms + this->now + skew) + "-" + std::to_string(this->jobs.size());
    job.body = "body" + std::to_string(this->jobs.size());
    job.tasks = 1 + static_cast<int>(random_below(this->random, 4));
    job.persistent = random_chance(this->random, 85);
    job.deadline_ms = random_chance(this->random, 25)
                          ? 200 + static_cast<std::uint32_t>(random_below(this->random, 3000))
                          : 0;
    job.next_request_at = this->now;
    job.shares_key = random_chance(this->random, 15);
    if (!this->jobs.empty() && this->jobs.back().shares_key)
    {
        // This job has another body under the key of an earlier job.
        job.key = this->jobs.back().key;
        job.tasks = this->jobs.back().tasks;
        job.persistent = false;
        job.shares_key = true;
    }
    job.cancels = !job.shares_key && random_chance(this->random, 10);
    this->jobs.push_back(job);
}

void test_cluster::send_due_requests()
{
    for (std::size_t i = 0; i < this->jobs.size(); ++i)
    {
        auto& job = this->jobs[i];
        auto const should_send =
            !job.ended || (!job.acknowledged && random_chance(this->random, 2));
        if (job.next_request_at > this->now || !should_send ||
            (!job.persistent && random_chance(this->random, 70)))
        {
            continue;
        }
        job.next_request_at =
            this->now + 200 + static_cast<std::int64_t>(random_below(this->random, 3000));
        wire::job_query query;
        query.set_route("r");
        query.set_key(job.key);
        query.set_team("team");
        query.set_wait_ms(random_chance(this->random, 50) ? 2000 : 0);
        wire::submit_request request;
        request.set_wait_ms(query.wait_ms());
        auto& submitted_job = *request.mutable_job();
        submitted_job.set_route("r");
        submitted_job.set_key(job.key);
        submitted_job.set_team("team");
        submitted_job.set_digest(job.body);
        submitted_job.set_deadline_ms(job.deadline_ms);
        for (int task = 0; task < job.tasks; ++task)
        {
            submitted_job.add_tasks()->set_payload(job.body + "#" + std::to_string(task));
        }
        auto const number = ++this->last_request;
        sent_request sent{i, {}};
        if (job.ended)
        {
            job.acknowledged = true;
            sent.event = [number, query](shard_owner& owner, event_time const& at)
            { owner.acknowledge(number, query, at.now, at.wall); };
        }
        else if (job.cancels && random_chance(this->random, 20))
        {
            sent.event = [number, query](shard_owner& owner, event_time const& at)
            { owner.cancel(number, query, at.now, at.wall); };
        }
        else if (!job.shares_key && random_chance(this->random, 15))
        {
            sent.event = [number, query](shard_owner& owner, event_time const& at)
            { owner.query(number, query, at.now, at.wall); };
        }
        else
        {
            sent.event = [number, request](shard_owner& owner, event_time const& at)
            { owner.submit(number, request, {}, at.now, at.wall); };
        }
        this->requests[number] = sent;
        this->send_request(std::move(sent), this->random_entry().id, number);
    }
}

void test_cluster::send_request(sent_request request, model::process_id const& to,
                                std::uint64_t /*number*/)
{
    this->in_flight.push_back({this->now + this->delay(), to, {std::move(request.event)}});
}

test_cluster::entry* test_cluster::find_entry(model::process_id const& id)
{
    for (auto& process : this->entries)
    {
        if (process->alive && process->id == id)
        {
            return process.get();
        }
    }
    return nullptr;
}

test_cluster::entry& test_cluster::random_entry()
{
    std::vector<entry*> alive;
    for (auto& process : this->entries)
    {
        if (process->alive)
        {
            alive.push_back(process.get());
        }
    }
    return *alive[random_below(this->random, alive.size())];
}

std::int64_t test_cluster::delay()
{
    auto const slow = random_chance(this->random, 5);
    return static_cast<std::int64_t>(random_below(this->random, slow ? 4000 : 100));
}

log_state& test_cluster::append_log_state()
{
    auto next = this->log.back();
    return this->log.emplace_back(std::move(next));
}

} // namespace filbertroad::submission::internal

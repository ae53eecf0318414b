#ifndef FILBERTROAD_SUBMISSION_INTERNAL_TEST_AGENT_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_TEST_AGENT_HPP

/// A simulated agent for the property test, with start admission, ledger and target in one class.
/// Times are milliseconds since the start of the test.

#include "filbertroad/submission/shard_owner.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertroad::submission::internal
{

using random_source = std::mt19937_64;

inline std::uint64_t random_below(random_source& random, std::uint64_t limit)
{
    return random() % limit;
}

inline bool random_chance(random_source& random, std::uint64_t percent)
{
    return random_below(random, 100) < percent;
}

/// Records which tasks actually started, over all agents and incarnations, and the violations seen.
struct execution_log
{
    std::map<std::string, int> starts;
    /// The job bodies of the started tasks of each key: their payloads without the task index.
    std::map<std::string, std::set<std::string>> bodies;
    std::vector<std::string> violations;

    static std::string name(wire::task_ref const& task)
    {
        return task.key() + "/" + std::to_string(task.index());
    }

    void started(wire::start_task const& start)
    {
        auto const task = name(start.task());
        if (++this->starts[task] > 1)
        {
            this->violations.push_back("started twice: " + task);
        }
        auto const& payload = start.payload();
        auto& bodies = this->bodies[start.task().key()];
        bodies.insert(payload.substr(0, payload.find('#')));
        if (bodies.size() > 1)
        {
            this->violations.push_back("two bodies under one key: " + task);
        }
    }

    [[nodiscard]] bool has_started(std::string const& task) const
    {
        return this->starts.contains(task);
    }

    /// Whether a task of the key with this body has started.
    [[nodiscard]] bool has_started(std::string const& key, std::string const& body) const
    {
        auto const found = this->bodies.find(key);
        return found != this->bodies.end() && found->second.contains(body);
    }
};

/// The steady and wall time at which an entry handles an event.
struct event_time
{
    base::steady_time now;
    base::system_time wall;
};

/// A message to an entry, as the call that it makes to the shard owner there.
using owner_event = std::function<void(shard_owner&, event_time const&)>;

class test_agent
{
public:
    test_agent(std::string name, std::uint64_t incarnation, execution_log& executions,
               random_source& random)
        : id{std::move(name), incarnation}, executions(executions), random(random)
    {
    }

    static constexpr std::uint32_t slots = 2;

    model::process_id id;
    /// Members of the newest view that the agent has received, its version, and when it was last
    /// confirmed as the newest.
    std::vector<model::process_id> members;
    std::uint64_t version = 0;
    std::int64_t confirmed_at = -100000;
    /// Sends a message to an entry over the link, if there is one.
    std::function<void(model::process_id const&, owner_event)> send;

    [[nodiscard]] wire::agent_hello hello(model::process_id const& entry) const
    {
        wire::agent_hello hello;
        *hello.mutable_id() = wire::to_wire(this->id);
        hello.set_zone("z");
        hello.mutable_target()->set_name("t-" + this->id.name);
        hello.mutable_target()->set_slots(slots);
        hello.mutable_target()->set_reachable(true);
        for (auto const& [name, held] : this->ledger)
        {
            auto const is_receiver =
                held.receiver == entry || wire::to_model(held.entry.owner()) == entry;
            if (is_receiver && !held.acknowledged_by.contains(entry))
            {
                *hello.add_open() = held.entry;
            }
        }
        return hello;
    }

    void start(model::process_id const& from, wire::start_task const& start, std::int64_t now)
    {
        auto const name = execution_log::name(start.task());
        if (this->ledger.contains(name))
        {
            return;
        }
        if (auto const reason = this->find_refusal(from, now); reason != wire::refusal_unset)
        {
            this->refuse(from, start.task(), reason);
            return;
        }
        auto& held = this->ledger[name];
        held.receiver = from;
        held.start = start;
        held.next_step_at = now + static_cast<std::int64_t>(random_below(this->random, 60));
        *held.entry.mutable_task() = start.task();
        held.entry.set_job_digest(start.job_digest());
        held.entry.set_task_count(start.task_count());
        held.entry.set_team(start.team());
        *held.entry.mutable_owner() = wire::to_wire(from);
    }

    void cancel(wire::cancel_task const& cancel, std::int64_t now)
    {
        auto const found = this->ledger.find(execution_log::name(cancel.task()));
        if (found != this->ledger.end() && found->second.started &&
            !found->second.entry.has_result())
        {
            this->finish(found->second, wire::outcome_cancelled, now);
        }
    }

    void acknowledge(model::process_id const& from, wire::finished_ack const& ack)
    {
        for (auto const& task : ack.tasks())
        {
            auto const found = this->ledger.find(execution_log::name(task));
            if (found != this->ledger.end() && found->second.entry.has_result())
            {
                found->second.acknowledged_by.insert(from);
            }
        }
    }

    void fence(model::process_id const& from, wire::fence const& fence)
    {
        wire::ledger_report report;
        report.set_view(fence.view());
        *report.mutable_agent() = wire::to_wire(this->id);
        std::set<model::process_id> removed;
        for (auto const& member : fence.removed())
        {
            removed.insert(wire::to_model(member));
        }
        this->fenced.insert(removed.begin(), removed.end());
        for (auto& [name, held] : this->ledger)
        {
            if (!removed.contains(wire::to_model(held.entry.owner())))
            {
                continue;
            }
            held.receiver = from;
            *report.add_entries() = held.entry;
            if (random_chance(this->random, 30))
            {
                this->report(from, report);
                report.clear_entries();
            }
        }
        report.set_last(true);
        this->report(from, report);
    }

    /// Advances tasks: accepted → started or refused by the target → finished.
    void tick(std::int64_t now)
    {
        std::vector<std::string> refused;
        for (auto& [name, held] : this->ledger)
        {
            if (held.entry.has_result() || held.next_step_at > now)
            {
                continue;
            }
            if (held.started)
            {
                this->finish(held, this->random_outcome(), now);
            }
            else if (random_chance(this->random, 10))
            {
                refused.push_back(name);
            }
            else
            {
                held.started = true;
                held.next_step_at =
                    now + 20 + static_cast<std::int64_t>(random_below(this->random, 1500));
                this->executions.started(held.start);
            }
        }
        for (auto const& name : refused)
        {
            auto const held = this->ledger.at(name);
            this->ledger.erase(name);
            this->refuse(held.receiver, held.start.task(), wire::refusal_target_refused);
        }
    }

    void refuse(model::process_id const& to, wire::task_ref const& task, wire::refusal reason)
    {
        wire::start_refused refused;
        *refused.mutable_task() = task;
        refused.set_reason(reason);
        this->send(to, [id = this->id, refused](shard_owner& owner, event_time const& at)
                   { owner.start_refused(id, refused, at.now); });
    }

private:
    struct ledger_record
    {
        wire::ledger_entry entry;
        wire::start_task start;
        model::process_id receiver;
        std::int64_t next_step_at = 0;
        bool started = false;
        std::set<model::process_id> acknowledged_by;
    };

    [[nodiscard]] wire::refusal find_refusal(model::process_id const& from, std::int64_t now) const
    {
        if (now - this->confirmed_at > 2000)
        {
            return wire::refusal_not_confirmed;
        }
        if (this->fenced.contains(from))
        {
            return wire::refusal_fenced;
        }
        if (std::find(this->members.begin(), this->members.end(), from) == this->members.end())
        {
            return wire::refusal_unknown_owner;
        }
        auto const open = std::count_if(this->ledger.begin(), this->ledger.end(),
                                        [](auto const& e) { return !e.second.entry.has_result(); });
        return open >= slots ? wire::refusal_no_slot : wire::refusal_unset;
    }

    wire::outcome random_outcome()
    {
        auto const roll = random_below(this->random, 100);
        return roll < 85   ? wire::outcome_succeeded
               : roll < 95 ? wire::outcome_failed
                           : wire::outcome_may_have_run;
    }

    void finish(ledger_record& held, wire::outcome outcome, std::int64_t now)
    {
        auto& result = *held.entry.mutable_result();
        *result.mutable_task() = held.start.task();
        result.set_outcome(outcome);
        result.set_body("ran " + held.start.payload());
        result.set_started_unix_ms(static_cast<std::uint64_t>(now));
        auto const copies = random_chance(this->random, 10) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            this->send(held.receiver,
                       [id = this->id, result](shard_owner& owner, event_time const& at)
                       { owner.task_finished(id, result, at.now, at.wall); });
        }
    }

    void report(model::process_id const& to, wire::ledger_report const& report)
    {
        this->send(to, [report](shard_owner& owner, event_time const& at)
                   { owner.ledger_reported(report, at.now, at.wall); });
    }

    execution_log& executions;
    random_source& random;
    std::map<std::string, ledger_record> ledger;
    std::set<model::process_id> fenced;
};

} // namespace filbertroad::submission::internal

#endif

#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace filbertroad::execution
{
namespace
{

using std::chrono::milliseconds;

/// A message in flight to the agent. It may be delivered late, repeatedly, or after its link was
/// closed.
struct in_flight_message
{
    model::process_id sender;
    std::uint64_t link = 0;
    std::variant<wire::start_task, wire::pong> content;
};

/// Drives an agent with random events and checks its actions against a model.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed) : random(seed), core({"g1", 1}, "khi-b", {})
    {
        for (auto const* name : {"e1", "e2", "e3"})
        {
            this->entries.push_back({name, 1});
        }
        this->announce();
        this->send_state();
        for (auto const& entry : this->entries)
        {
            this->link(entry);
        }
        this->take_actions();
    }

    void step()
    {
        switch (this->random_below(16))
        {
        case 0:
            this->clock.advance(milliseconds(this->random_below(8) == 0 ? 5000 : 200));
            break;
        case 1:
            this->link(this->random_entry());
            break;
        case 2:
            if (this->random_below(3) == 0)
            {
                this->unlink(this->random_entry());
            }
            break;
        case 3:
            this->change_service();
            break;
        case 4:
            this->fence();
            break;
        case 5:
            this->promise();
            break;
        case 6:
            this->announce();
            break;
        case 7:
        case 8:
            this->send_pong();
            break;
        case 9:
        case 10:
            this->finish_random_task();
            break;
        case 11:
            this->acknowledge_random_result();
            break;
        case 12:
            this->core.tick(this->now());
            break;
        default:
            this->send_start();
        }
        this->deliver_random_messages();
        this->take_actions();
    }

    /// Finishes all tasks and lets the last member take over. That member must then have received
    /// all results that were not acknowledged.
    void drain()
    {
        auto const successor = this->entries.back();
        this->link(successor);
        wire::fence fence;
        fence.set_view(++this->offset);
        for (auto const& entry : this->entries)
        {
            if (entry != successor)
            {
                *fence.add_removed() = wire::to_wire(entry);
            }
        }
        this->core.fence_received(successor, fence, this->now());
        for (auto const& task : std::set(this->running))
        {
            this->finish(task, execution_outcome::succeeded);
        }
        this->take_actions();
        for (auto const& [task, acknowledged] : this->accepted)
        {
            EXPECT_TRUE(acknowledged || this->delivered_results[successor].contains(task))
                << "task " << task;
            wire::finished_ack ack;
            *ack.add_tasks() = make_task(task);
            this->core.finished_ack_received(successor, ack, this->now());
        }
        EXPECT_EQ(this->core.unacknowledged(), 0U);
        EXPECT_TRUE(this->core.is_drained());
    }

    [[nodiscard]] std::size_t accepted_count() const { return this->accepted.size(); }

private:
    std::uint64_t random_below(std::uint64_t limit) { return this->random() % limit; }
    base::steady_time now() const { return this->clock.steady_now(); }
    model::process_id const& random_entry() { return this->entries[this->random_below(3)]; }

    static wire::task_ref make_task(std::uint32_t index)
    {
        return wire::make_task_ref({"stock", "1800000000000-a"}, index);
    }

    void announce()
    {
        wire::target_description target;
        target.set_name("t1");
        this->core.target_announced(target, this->now());
    }

    void send_state()
    {
        wire::agent_state state;
        state.set_offset(++this->offset);
        state.set_view(this->offset);
        for (auto const& entry : this->entries)
        {
            if (!this->fenced.contains(entry))
            {
                *state.add_members()->mutable_id() = wire::to_wire(entry);
                this->promised.erase(entry);
            }
        }
        auto* const zone = state.add_zones();
        zone->set_name("khi-b");
        zone->set_in_service(this->zone_in_service);
        auto* const target = state.add_targets();
        target->set_name("t1");
        target->set_in_service(this->target_in_service);
        this->core.state_received(state, this->now());
    }

    void change_service()
    {
        this->zone_in_service = this->random_below(6) != 0;
        this->target_in_service = this->random_below(6) != 0;
        this->send_state();
    }

    void link(model::process_id const& entry)
    {
        wire::member member;
        *member.mutable_id() = wire::to_wire(entry);
        this->core.entry_linked(member, ++this->last_link, this->now());
        this->links[entry] = this->last_link;
        this->delivered_results[entry].clear();
    }

    void unlink(model::process_id const& entry)
    {
        this->core.entry_unlinked(entry, this->links[entry]);
    }

    /// Fences a random entry except the last one, which must remain to take over.
    void fence()
    {
        if (this->random_below(6) != 0)
        {
            return;
        }
        auto const& removed = this->entries[this->random_below(2)];
        wire::fence fence;
        fence.set_view(++this->offset);
        *fence.add_removed() = wire::to_wire(removed);
        this->core.fence_received(this->entries[2], fence, this->now());
        if (!this->promised.contains(this->entries[2]))
        {
            this->fenced.insert(removed);
        }
    }

    void promise()
    {
        wire::promise_request request;
        request.set_view(this->offset);
        *request.add_missing() = wire::to_wire(this->entries[this->random_below(2)]);
        this->core.promise_requested(this->entries[2], request, this->now());
    }

    void send_pong()
    {
        wire::pong pong;
        pong.set_confirmed(this->random_below(5) != 0);
        pong.set_confirmation_age_ms(static_cast<std::uint32_t>(this->random_below(600)));
        pong.set_state_offset(this->offset + (this->random_below(8) == 0 ? 1 : 0));
        pong.set_echoed_steady_ns(
            static_cast<std::uint64_t>(this->now().time_since_epoch().count()));
        auto const& sender = this->random_entry();
        this->in_flight.push_back({sender, this->links[sender], pong});
    }

    void send_start()
    {
        wire::start_task start;
        *start.mutable_task() = make_task(static_cast<std::uint32_t>(this->random_below(30)));
        auto const& sender = this->random_entry();
        this->in_flight.push_back({sender, this->links[sender], start});
    }

    void deliver_random_messages()
    {
        while (!this->in_flight.empty() && this->random_below(3) != 0)
        {
            auto const position = this->random_below(this->in_flight.size());
            auto const message = this->in_flight[position];
            if (this->random_below(4) != 0)
            {
                this->in_flight.erase(this->in_flight.begin() +
                                      static_cast<std::ptrdiff_t>(position));
            }
            if (auto const* const start = std::get_if<wire::start_task>(&message.content))
            {
                this->sender = message.sender;
                this->sender_link = message.link;
                this->core.start_received(message.sender, message.link, *start, this->now(),
                                          this->clock.system_now());
            }
            else
            {
                this->deliver_pong(message.sender, std::get<wire::pong>(message.content));
            }
            this->take_actions();
        }
    }

    void deliver_pong(model::process_id const& entry, wire::pong const& pong)
    {
        this->core.pong_received(entry, pong, this->now());
        if (pong.confirmed())
        {
            // Upper bound of the time for which the agent may be confirmed.
            auto const as_of =
                base::steady_time(std::chrono::nanoseconds(pong.echoed_steady_ns())) -
                milliseconds(pong.confirmation_age_ms());
            this->confirmed_as_of = std::max(this->confirmed_as_of, as_of);
        }
    }

    void finish_random_task()
    {
        if (!this->running.empty())
        {
            auto const outcome = this->random_below(4) == 0   ? execution_outcome::refused_no_slot
                                 : this->random_below(3) == 0 ? execution_outcome::unknown
                                                              : execution_outcome::succeeded;
            this->finish(*this->running.begin(), outcome);
        }
    }

    void finish(std::uint32_t task, execution_outcome outcome)
    {
        this->running.erase(task);
        if (outcome == execution_outcome::refused_no_slot)
        {
            this->accepted.erase(task);
        }
        this->core.execution_ended(make_task(task), outcome, "body", "", milliseconds(50),
                                   this->now());
    }

    void acknowledge_random_result()
    {
        auto const& entry = this->random_entry();
        auto& known = this->delivered_results[entry];
        if (known.empty() || this->fenced.contains(entry))
        {
            return;
        }
        wire::finished_ack ack;
        auto const before = this->core.unacknowledged();
        *ack.add_tasks() = make_task(*known.begin());
        this->core.finished_ack_received(entry, ack, this->now());
        auto const task = this->accepted.find(*known.begin());
        if (this->core.unacknowledged() < before && task != this->accepted.end())
        {
            task->second = true;
        }
    }

    void take_actions()
    {
        for (auto const& action : this->core.take_actions())
        {
            if (auto const* const run = std::get_if<run_task>(&action))
            {
                this->check_run(*run);
            }
            else if (auto const* const sent = std::get_if<send_to_entry>(&action))
            {
                this->record_message(*sent);
            }
        }
    }

    void check_run(run_task const& run)
    {
        auto const task = run.start.task().index();
        EXPECT_TRUE(this->accepted.emplace(task, false).second) << "second start of task " << task;
        this->running.insert(task);
        EXPECT_TRUE(this->zone_in_service && this->target_in_service);
        EXPECT_FALSE(this->fenced.contains(this->sender)) << this->sender.name;
        EXPECT_FALSE(this->promised.contains(this->sender)) << this->sender.name;
        EXPECT_EQ(this->sender_link, this->links[this->sender]);
        auto const age = this->now() - this->confirmed_as_of;
        EXPECT_LT(age, milliseconds(2000));
        EXPECT_LE(run.start_before, this->clock.system_now() + milliseconds(2000) - age);
    }

    void record_message(send_to_entry const& sent)
    {
        auto const& message = sent.message;
        if (message.has_finished())
        {
            this->delivered_results[sent.entry].insert(message.finished().task().index());
        }
        for (auto const& entry : message.ledger().entries())
        {
            if (entry.has_result())
            {
                this->delivered_results[sent.entry].insert(entry.task().index());
            }
        }
        for (auto const& missing : message.promise().missing())
        {
            this->promised.insert(wire::to_model(missing));
        }
        EXPECT_FALSE(this->fenced.contains(sent.entry) && message.has_ping());
    }

    std::mt19937_64 random;
    base::manual_clock clock;
    agent_core core;
    std::vector<model::process_id> entries;
    std::vector<in_flight_message> in_flight;
    std::map<model::process_id, std::uint64_t> links;
    std::map<model::process_id, std::set<std::uint32_t>> delivered_results;
    /// Tasks that were started and not refused by the target; true once acknowledged.
    std::map<std::uint32_t, bool> accepted;
    std::set<std::uint32_t> running;
    std::set<model::process_id> fenced;
    std::set<model::process_id> promised;
    model::process_id sender;
    std::uint64_t sender_link = 0;
    std::uint64_t last_link = 0;
    std::uint64_t offset = 0;
    base::steady_time confirmed_as_of;
    bool zone_in_service = true;
    bool target_in_service = true;
};

// Guards against duplicate starts, starts that the agent must refuse, and lost results, for any
// order of duplicated, delayed and reordered messages.
TEST(agent_core_property, starts_each_task_at_most_once_and_keeps_every_result)
{
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 5000; ++seed)
    {
        random_schedule events(seed);
        for (int step = 0; step < 300; ++step)
        {
            events.step();
        }
        events.drain();
        accepted += events.accepted_count();
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
    }
    EXPECT_GT(accepted, 20000U) << "the schedules no longer start tasks";
}

} // namespace
} // namespace filbertroad::execution

#ifndef FILBERTROAD_DISPATCH_AGENT_FIXTURE_HPP
#define FILBERTROAD_DISPATCH_AGENT_FIXTURE_HPP

/// A run agent with a manual clock and a fake target. The target accepts starts and lists its runs,
/// unless the test changes that.
///
///     class my_test : public agent_fixture {};
///     this->connect("entry");
///     this->order("entry", "task", 3'000);
///     EXPECT_EQ(this->running(), std::set<std::string>{"task"});

#include "filbertroad/dispatch/run_agent.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace filbertroad::dispatch
{

class agent_fixture : public testing::Test
{
protected:
    void SetUp() override
    {
        this->announce();
        this->renew();
        // A lease that an earlier agent may have given is over.
        this->clock.advance(agent_limits{}.longest_target_lease + milliseconds(100));
        this->renew();
    }

    void announce(bool draining = false)
    {
        ++this->sequence;
        this->agent.target_announced({"target", this->incarnation, "service", this->capacity,
                                      draining, this->sequence, this->labels});
        this->collect();
    }

    void announce_capacity(model::resources const& announced)
    {
        this->capacity = announced;
        this->announce();
    }

    void connect(std::string const& entry, std::uint64_t entry_incarnation = 1)
    {
        this->agent.entry_connected({entry, entry_incarnation});
        this->heartbeat(entry);
    }

    /// The entry echoes a status created now.
    void heartbeat(std::string const& entry)
    {
        this->agent.entry_heartbeat_received(entry, this->agent.make_status(entry).stamp_ms);
        this->collect();
    }

    static start_order make_order(std::string const& task, std::int64_t cpu,
                                  std::uint32_t priority = 0, std::uint32_t run = 1)
    {
        return {.id = {task, run},
                .payload = "payload",
                .resources = {cpu, 10, 0},
                .estimate = milliseconds(200),
                .priority = priority,
                .queue_timeout = milliseconds(1'000),
                .route = "route"};
    }

    void order(std::string const& entry, std::string const& task, std::int64_t cpu,
               std::uint32_t priority = 0, std::uint32_t run = 1)
    {
        this->agent.start_ordered(entry, make_order(task, cpu, priority, run));
        this->collect();
    }

    /// Answers the newest start of `task`.
    void answer_start(std::string const& task, start_answer answer)
    {
        auto const start =
            std::find_if(this->starts.rbegin(), this->starts.rend(),
                         [&](start_run const& item) { return item.id.task == task; });
        ASSERT_NE(start, this->starts.rend()) << task;
        this->agent.start_answered(start->id, start->order_number, answer);
    }

    /// Sends one renewal, which the target answers immediately.
    void renew()
    {
        auto const sent = this->agent.make_renewal();
        this->last_lease = sent.lease_until_ms;
        this->agent.renewal_answered(sent, this->list());
        this->collect();
    }

    [[nodiscard]] run_list list() const
    {
        run_list content;
        content.incarnation = this->incarnation;
        content.clock_ms = this->target_clock();
        for (auto const& [task, run] : this->on_target)
        {
            content.running.push_back({{task, run}});
        }
        content.finished = this->finished;
        return content;
    }

    [[nodiscard]] std::uint64_t target_clock() const
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(this->clock.steady_now().time_since_epoch())
                .count());
    }

    /// Latest end, on the target's clock, of the lease of a run whose entry falls silent now.
    [[nodiscard]] std::uint64_t latest_run_end() const
    {
        agent_limits const limits;
        auto const time_left = limits.entry_lease + limits.target_lease;
        return this->target_clock() + static_cast<std::uint64_t>(time_left.count());
    }

    /// Ends a run on the target; the answer to the next renewal lists the end.
    void finish(std::string const& task, finish_reason reason = finish_reason::done)
    {
        auto const found = this->on_target.find(task);
        ASSERT_NE(found, this->on_target.end()) << task;
        this->finished.push_back({++this->finish_number, {task, found->second}, reason});
        this->on_target.erase(found);
    }

    /// Advances the clock in steps of 25 ms, with a tick in each. In each step `live_entries` send
    /// a heartbeat. Renewals are answered every 100 ms if `target_answers`.
    void advance_time(milliseconds time, std::vector<std::string> const& live_entries,
                      bool target_answers = true)
    {
        for (milliseconds passed{}; passed < time; passed += milliseconds(25))
        {
            this->clock.advance(milliseconds(25));
            for (auto const& entry : live_entries)
            {
                this->heartbeat(entry);
            }
            if (target_answers && passed.count() % 100 == 0)
            {
                this->renew();
            }
            this->agent.tick();
            this->collect();
        }
    }

    [[nodiscard]] std::set<std::string> running() const
    {
        std::set<std::string> tasks;
        for (auto const& [task, run] : this->on_target)
        {
            tasks.insert(task);
        }
        return tasks;
    }

    [[nodiscard]] run_report const* report(std::string const& task) const
    {
        auto const found =
            std::find_if(this->reports.rbegin(), this->reports.rend(),
                         [&](send_report const& item) { return item.report.id.task == task; });
        return found == this->reports.rend() ? nullptr : &found->report;
    }

    void collect()
    {
        for (auto& action : this->agent.take_actions())
        {
            std::visit([this](auto& item) { this->handle(item); }, action);
        }
    }

    base::manual_clock clock;
    run_agent agent{this->clock, "zone-1", {}, 1};
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    model::resources capacity{9'000, 1'000, 0};
    target_labels labels;
    /// Run number of each run on the target, by task.
    std::map<std::string, std::uint32_t> on_target;
    std::vector<finished_run> finished;
    std::uint64_t finish_number = 0;
    std::vector<send_report> reports;
    std::vector<start_run> starts;
    std::vector<stop_run> stops;
    std::optional<std::uint64_t> last_lease;
    bool is_poll_requested = false;
    /// Whether the target executes and answers starts, and whether it executes and answers stops.
    bool answers_starts = true;
    bool answers_stops = true;

private:
    void handle(start_run& action)
    {
        this->starts.push_back(action);
        if (this->answers_starts)
        {
            this->on_target[action.id.task] = action.id.run;
            this->agent.start_answered(action.id, action.order_number, start_answer::accepted);
        }
    }

    void handle(stop_run& action)
    {
        this->stops.push_back(action);
        if (!this->answers_stops)
        {
            return;
        }
        if (this->on_target.contains(action.id.task))
        {
            this->finish(action.id.task, finish_reason::stopped);
        }
        this->agent.stop_answered(action.id, true);
    }

    void handle(send_report& action) { this->reports.push_back(action); }
    void handle(publish_status& /*action*/) {}
    void handle(poll_runs& /*action*/) { this->is_poll_requested = true; }
};

} // namespace filbertroad::dispatch

#endif

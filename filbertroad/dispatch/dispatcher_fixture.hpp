#ifndef FILBERTROAD_DISPATCH_DISPATCHER_FIXTURE_HPP
#define FILBERTROAD_DISPATCH_DISPATCHER_FIXTURE_HPP

/// A job dispatcher with a manual clock and fake agents that send the reports given by the test.
///
///     class my_test : public dispatcher_fixture {};
///     this->add_agent("a", 32'000);
///     this->submit("job-1", 2);
///     EXPECT_EQ(this->starts_at("a").size(), 2U);

#include "filbertroad/dispatch/job_dispatcher.hpp"

#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::dispatch
{

class dispatcher_fixture : public testing::Test
{
protected:
    explicit dispatcher_fixture(dispatch_limits limits = {}) : dispatcher(this->clock, limits) {}

    static constexpr std::int64_t task_cpu = 3'000;

    static target_status make_status(std::int64_t cpu, double speed = 1)
    {
        target_status status;
        status.accepting = true;
        status.service = "service";
        status.capacity = {cpu, 100'000, 0};
        status.free = status.capacity;
        status.speed = speed;
        return status;
    }

    void add_agent(std::string const& name, std::int64_t cpu, double speed = 1)
    {
        this->dispatcher.agent_connected({name, 1});
        this->report(name, make_status(cpu, speed));
    }

    void report(std::string const& name, target_status status)
    {
        status.starts_seen = this->sent_to[name];
        this->statuses[name] = status;
        this->dispatcher.status_received(name, status);
        this->collect();
    }

    /// Reports no free resources and so much queued work that every task of make_job() is late.
    void report_long_queue(std::string const& name)
    {
        auto status = this->statuses[name];
        auto const cores = static_cast<double>(status.capacity.cpu) / 1000;
        status.free = {};
        status.running_work = cores * 100;
        status.queued_work[0] = cores * 250;
        this->report(name, status);
    }

    /// Reports a crash of the agent's target right after the start of a task of `route`.
    void report_crash(std::string const& name, std::string const& route)
    {
        auto status = this->statuses[name];
        ++status.crash_count;
        status.crash_routes = {route};
        this->report(name, status);
    }

    /// All agents repeat their last report.
    void report_all()
    {
        for (auto const& [name, status] : std::map(this->statuses))
        {
            this->report(name, status);
        }
    }

    static job_request make_job(std::string const& key, std::uint32_t tasks)
    {
        job_request job;
        job.key = key;
        job.route = "route";
        job.service = "service";
        job.payload = "payload";
        job.max_attempts = 2;
        job.stretch = 1.6;
        job.target_latency = milliseconds(60);
        job.time_budget = milliseconds(2'000);
        job.steps.push_back({.count = tasks,
                             .resources = {task_cpu, 64, 0},
                             .estimate = milliseconds(200),
                             .after = {}});
        return job;
    }

    /// A job of one task that may run again many times: neither its attempts nor its time budget
    /// are used up.
    static job_request make_patient_job(std::string const& key)
    {
        auto job = make_job(key, 1);
        job.max_attempts = 20;
        job.target_latency = milliseconds(60'000);
        job.time_budget = milliseconds(60'000);
        return job;
    }

    void submit(job_request job)
    {
        this->dispatcher.submit(std::move(job));
        this->collect();
    }

    void end(start_order const& order, std::string const& agent, run_end how)
    {
        this->dispatcher.run_ended(agent, {order.id, how, "", milliseconds(100), {}});
        this->collect();
    }

    void end_lost(start_order const& order, std::string const& agent, bool target_lost)
    {
        this->dispatcher.run_ended(agent, {.id = order.id,
                                           .end = run_end::lost,
                                           .reason = "",
                                           .elapsed = milliseconds(100),
                                           .target_lost = target_lost});
        this->collect();
    }

    /// Advances the clock in steps of 25 ms, with a tick in each. If `agents_report`, all agents
    /// repeat their last report in each step.
    void advance_time(milliseconds time, bool agents_report = true)
    {
        for (milliseconds passed{}; passed < time; passed += milliseconds(25))
        {
            this->clock.advance(milliseconds(25));
            if (agents_report)
            {
                this->report_all();
            }
            this->dispatcher.tick();
            this->collect();
        }
    }

    /// Starts sent to `agent` since the last call.
    std::vector<start_order> starts_at(std::string const& agent)
    {
        return std::exchange(this->starts[agent], {});
    }

    [[nodiscard]] answer_job const* answer(std::string const& key) const
    {
        auto const found = this->answers.find(key);
        return found == this->answers.end() ? nullptr : &found->second;
    }

    [[nodiscard]] std::optional<job_outcome> outcome(std::string const& key) const
    {
        auto const* const found = this->answer(key);
        return found == nullptr ? std::nullopt : std::optional(found->outcome);
    }

    base::manual_clock clock;
    job_dispatcher dispatcher;
    std::map<std::string, target_status> statuses;
    std::map<std::string, std::uint64_t> sent_to;
    std::map<std::string, std::vector<start_order>> starts;
    std::vector<send_cancel> cancels;
    std::vector<send_resume> resumes;
    std::map<std::string, answer_job> answers;

private:
    void collect()
    {
        for (auto& action : this->dispatcher.take_actions())
        {
            std::visit([this](auto& item) { this->handle(item); }, action);
        }
    }

    void handle(send_start& action)
    {
        ++this->sent_to[action.agent];
        this->starts[action.agent].push_back(std::move(action.order));
    }
    void handle(send_cancel& action) { this->cancels.push_back(std::move(action)); }
    void handle(send_acknowledgement& /*action*/) {}
    void handle(send_resume& action) { this->resumes.push_back(std::move(action)); }
    void handle(answer_job& action) { this->answers[action.key] = std::move(action); }
};

} // namespace filbertroad::dispatch

#endif

#include "filbertroad/submission/shard_owner.hpp"

#include "filbertroad/base/hash.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace filbertroad::submission
{
namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int agents = 64;
constexpr std::uint32_t slots = 8;
constexpr std::size_t payload_bytes = 64;

/// An owner with 64 agents, whose targets finish every task at once.
class benchmark_owner
{
public:
    explicit benchmark_owner(std::size_t max_bytes = owner_options{}.max_bytes)
        : owner({"e1", 1}, "svc", 0, options_with(max_bytes),
                scheduling::scheduler::builder().build())
    {
        ownership owned;
        owned.view = 1;
        owned.is_owner = true;
        for (int i = 0; i < agents; ++i)
        {
            auto& agent = owned.agents.emplace_back();
            *agent.mutable_id() = wire::to_wire(model::process_id{"a" + std::to_string(i), 1});
        }
        this->owner.set_confirmed(true, this->clock.steady_now());
        this->owner.set_ownership(owned, this->clock.steady_now(), this->clock.system_now());
        for (auto const& agent : owned.agents)
        {
            wire::agent_hello hello;
            *hello.mutable_id() = agent.id();
            hello.mutable_target()->set_name("t-" + agent.id().name());
            hello.mutable_target()->set_slots(slots);
            hello.mutable_target()->set_reachable(true);
            this->owner.agent_linked(hello, this->clock.steady_now());
        }
        this->clock.advance(std::chrono::seconds(20));
        this->owner.tick(this->clock.steady_now(), this->clock.system_now());
    }

    /// Submits one job and finishes its tasks until the owner replies with all answers. Returns the
    /// key.
    std::string run_job(int tasks)
    {
        wire::submit_request request;
        request.set_wait_ms(60000);
        auto& job = *request.mutable_job();
        job.set_route("prices");
        job.set_key(std::to_string(base::to_unix_ms(this->clock.system_now())) + "-order-" +
                    std::to_string(++this->last_request));
        job.set_team("team");
        job.set_digest(std::string(32, 'd'));
        for (int i = 0; i < tasks; ++i)
        {
            job.add_tasks()->set_payload(std::string(payload_bytes, 'p'));
        }
        this->owner.submit(this->last_request, request, {}, this->clock.steady_now(),
                           this->clock.system_now());
        for (bool answered = false; !answered;)
        {
            this->clock.advance(microseconds(100));
            answered = this->answer_starts();
        }
        return job.key();
    }

    void acknowledge(std::string const& key)
    {
        wire::job_query query;
        query.set_route("prices");
        query.set_key(key);
        query.set_team("team");
        this->owner.acknowledge(++this->last_request, query, this->clock.steady_now(),
                                this->clock.system_now());
        benchmark::DoNotOptimize(this->owner.take_actions());
    }

    void tick()
    {
        this->clock.advance(milliseconds(50));
        this->owner.tick(this->clock.steady_now(), this->clock.system_now());
    }

private:
    static owner_options options_with(std::size_t max_bytes)
    {
        owner_options options;
        options.max_bytes = max_bytes;
        return options;
    }

    bool answer_starts()
    {
        bool answered = false;
        for (auto& action : this->owner.take_actions())
        {
            if (auto* const start = std::get_if<send_start>(&action))
            {
                wire::task_result result;
                *result.mutable_task() = std::move(*start->start.mutable_task());
                result.set_outcome(wire::outcome_succeeded);
                result.set_body(std::string(payload_bytes, 'r'));
                result.set_run_time_us(100000);
                this->owner.task_finished(start->agent, result, this->clock.steady_now(),
                                          this->clock.system_now());
            }
            answered = answered || std::holds_alternative<reply>(action);
        }
        return answered;
    }

    base::manual_clock clock;
    shard_owner owner;
    std::uint64_t last_request = 0;
};

/// Runs jobs from submission to acknowledgement: submit → start → finish → answer → acknowledge.
/// Items are started tasks. The number of keys that the owner holds grows as in production.
void run_jobs(benchmark::State& state)
{
    auto const tasks = static_cast<int>(state.range(0));
    benchmark_owner owner(std::size_t{1} << 34U);
    std::int64_t jobs = 0;
    for (auto _ : state)
    {
        owner.acknowledge(owner.run_job(tasks));
        if (++jobs % 50 == 0)
        {
            owner.tick();
        }
    }
    state.SetItemsProcessed(jobs * tasks);
}
BENCHMARK(run_jobs)->Arg(1)->Arg(27)->Arg(270);

/// Measures the heap bytes of a key whose answers were acknowledged, and of a key whose only answer
/// is kept.
void hold_keys(benchmark::State& state)
{
    auto const keys = state.range(0);
    auto const acknowledged = state.range(1) != 0;
    for (auto _ : state)
    {
        benchmark_owner owner(std::size_t{1} << 34U);
        auto const before = mallinfo2().uordblks;
        for (std::int64_t i = 0; i < keys; ++i)
        {
            auto const key = owner.run_job(1);
            if (acknowledged)
            {
                owner.acknowledge(key);
            }
        }
        state.counters["bytes_per_key"] =
            static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(keys);
    }
}
BENCHMARK(hold_keys)
    ->ArgsProduct({{10'000, 100'000, 500'000}, {0, 1}})
    ->ArgNames({"keys", "acknowledged"})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace filbertroad::submission

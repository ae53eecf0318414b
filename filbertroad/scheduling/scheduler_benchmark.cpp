#include "filbertroad/scheduling/scheduler.hpp"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <malloc.h>
#include <numeric>
#include <string>
#include <vector>

namespace filbertroad::scheduling
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t tasks_per_job = 10;
constexpr std::uint32_t team_count = 20;

/// A scheduler with queued jobs of ten tasks from twenty teams and with all slots busy.
class loaded_scheduler
{
public:
    loaded_scheduler(std::uint32_t targets, std::uint32_t tasks)
        : queue(scheduler::builder().max_queued_tasks(10 * tasks).build())
    {
        for (std::uint32_t target = 0; target < targets; ++target)
        {
            this->queue.update_target({"target-" + std::to_string(target), "zone", {}, 8, 0},
                                      this->now);
        }
        this->now += 3s;
        for (std::uint32_t job = 0; job < (tasks + targets * 8) / tasks_per_job; ++job)
        {
            this->admit();
        }
        this->queue.dispatch(this->now, this->running);
    }

    void admit()
    {
        job_spec spec;
        spec.job = this->next_job++;
        spec.team = "team-" + std::to_string(spec.job % team_count);
        spec.route = "route";
        spec.tasks.resize(tasks_per_job);
        std::iota(spec.tasks.begin(), spec.tasks.end(), 0);
        benchmark::DoNotOptimize(this->queue.admit(spec, this->now).has_value());
    }

    /// Ends the longest-running task.
    void finish_oldest()
    {
        this->now += 1ms;
        this->queue.task_finished(this->running[this->next].task, task_outcome::succeeded, 200ms,
                                  this->now);
    }

    /// Starts a task in the slot that finish_oldest() has freed.
    void start_replacement()
    {
        this->assignments.clear();
        this->queue.dispatch(this->now, this->assignments);
        this->running[this->next] = this->assignments.at(0);
        this->next = (this->next + 1) % this->running.size();
    }

    scheduler queue;
    base::steady_time now{1h};
    std::uint64_t next_job = 0;
    std::vector<assignment> running;
    std::vector<assignment> assignments;
    std::size_t next = 0;
};

/// Time from a finished task to the assignment of its slot. Admissions are not timed.
void finish_and_assign(benchmark::State& state)
{
    loaded_scheduler filled(static_cast<std::uint32_t>(state.range(0)),
                            static_cast<std::uint32_t>(state.range(1)));
    std::uint32_t finished_tasks = 0;
    for (auto _ : state)
    {
        filled.finish_oldest();
        filled.start_replacement();
        if (++finished_tasks == tasks_per_job)
        {
            state.PauseTiming();
            filled.admit();
            finished_tasks = 0;
            state.ResumeTiming();
        }
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(finish_and_assign)
    ->ArgNames({"targets", "queued"})
    ->ArgsProduct({{11, 64, 256}, {1000, 20'000, 200'000}});

/// Time of one assignment when all slots are free at once, as after a burst.
void assign_all_slots(benchmark::State& state)
{
    auto const targets = static_cast<std::uint32_t>(state.range(0));
    loaded_scheduler filled(targets, static_cast<std::uint32_t>(state.range(1)));
    for (auto _ : state)
    {
        state.PauseTiming();
        for (auto const& assigned : filled.running)
        {
            filled.queue.task_finished(assigned.task, task_outcome::succeeded, 200ms, filled.now);
        }
        while (filled.queue.queue().queued < state.range(1))
        {
            filled.admit();
        }
        filled.running.clear();
        filled.now += 100ms;
        state.ResumeTiming();
        filled.queue.dispatch(filled.now, filled.running);
    }
    state.SetItemsProcessed(state.iterations() * targets * 8);
}
BENCHMARK(assign_all_slots)
    ->ArgNames({"targets", "queued"})
    ->ArgsProduct({{11, 64, 256}, {1000, 20'000, 200'000}});

/// Heap bytes per queued task, as the counter bytes_per_task.
void memory_of_queue(benchmark::State& state)
{
    auto const tasks = static_cast<std::uint32_t>(state.range(0));
    std::size_t used = 0;
    for (auto _ : state)
    {
        auto const before = mallinfo2().uordblks;
        loaded_scheduler const filled(64, tasks);
        used = mallinfo2().uordblks - before;
    }
    state.counters["bytes_per_task"] = static_cast<double>(used) / tasks;
}
BENCHMARK(memory_of_queue)->ArgName("queued")->Arg(20'000)->Arg(200'000)->Iterations(3);

} // namespace
} // namespace filbertroad::scheduling

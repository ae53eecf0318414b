#ifndef FILBERTROAD_DISPATCH_LOAD_SIMULATION_HPP
#define FILBERTROAD_DISPATCH_LOAD_SIMULATION_HPP

/// Simulation of a fleet under load, without faults: real dispatchers and agents, simulated targets
/// and links with a delay, and simulated time. It measures how well tasks are placed, and how many
/// messages that takes. The same scenario and seed give the same result.
///
///     load_scenario scenario;
///     scenario.entries = 35;
///     scenario.agents = 160;
///     auto result = simulate_load(scenario);
///     EXPECT_LT(result.late_share(), 0.05);

#include "filbertroad/dispatch/job_dispatcher.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace filbertroad::dispatch
{

/// Jobs of one kind. Run times are uniform within `spread` of `work`; estimates are off by up to
/// `estimate_error`.
struct job_kind
{
    std::uint32_t priority = 0;
    std::uint32_t tasks = 1;
    milliseconds work{};
    std::int64_t cpu = 0;
    /// Share of all jobs, relative to the shares of the other kinds.
    double share = 0;
};

/// What a target does wrong for some time, while its agent and its reports are unaffected.
enum class target_fault_kind
{
    /// No run makes progress.
    standstill,
    /// Every run takes `factor` times as long.
    slow,
    /// The share `factor` of the runs that start makes no progress until the fault ends.
    stalls_single_runs,
};

struct target_fault
{
    std::size_t agent = 0;
    target_fault_kind kind = target_fault_kind::standstill;
    /// Times since the begin of the simulation.
    milliseconds from{};
    milliseconds until{};
    double factor = 1;
};

/// Factor on the arrival rate of a kind, or of all kinds, from `begin` until `end` after the
/// warm-up. Overlapping bursts multiply.
struct rate_burst
{
    /// Index in `load_scenario::kinds`; every kind if absent.
    std::optional<std::size_t> kind;
    milliseconds begin{};
    milliseconds end{};
    double factor = 1;
};

struct load_scenario
{
    std::size_t entries = 1;
    std::size_t agents = 1;
    /// Entries to which each agent is linked; all if greater than `entries`.
    std::size_t entries_per_agent = SIZE_MAX;
    /// Speed of target N is `speeds[N % speeds.size()]`.
    std::vector<double> speeds{0.6, 1.0, 1.6};
    std::int64_t target_cpu = 32'000;
    std::vector<job_kind> kinds;
    /// Demanded work over the work that all targets can do.
    double utilization = 0.4;
    /// Delay of a message between an entry and an agent.
    std::chrono::microseconds link_delay{1'000};
    /// Time between a change of load and the status that reports it; 0 uses status_pacing.
    std::chrono::microseconds status_delay{0};
    double spread = 0.4;
    double estimate_error = 0.4;
    milliseconds duration{4'000};
    std::uint64_t seed = 1;
    std::vector<rate_burst> bursts;
    /// Shares of the arrivals that go to each entry; equal shares if empty.
    std::vector<double> entry_shares;
    /// Share of the tasks that take `tail_factor` times as long in each of their runs, whatever
    /// their estimate.
    double tail_share = 0;
    double tail_factor = 7;
    std::vector<target_fault> faults;
    /// Time for which a caller waits for its answer, unless `callers_return`.
    milliseconds time_budget{2'000};
    /// Target N is on rack N / `rack_size`.
    std::size_t rack_size = 9;
    /// Share of jobs whose tasks run faster on a rack, and the share of these whose rack is the
    /// first one; the racks of the others are drawn evenly.
    double near_share = 0;
    double hot_rack_share = 0;
    /// Limits of the entries; the run time on another rack is multiplied by the far factor.
    dispatch_limits limits = {};
    /// Whether the number of tasks varies by job: 70 % of the jobs of a kind have 0.8 times its
    /// tasks, 20 % have 1.2 times, and 10 % have twice as many.
    bool has_uneven_widths = false;
    /// Whether callers behave as those of the deployments: they wait for three times the objective,
    /// at least 1,500 ms, send a refused job again after `Retry-After`, and a job that got no
    /// result after 1,300 ms.
    bool callers_return = false;
    /// Time after the warm-up until which no target is available. Callers whose job arrived before
    /// send it again within 1,300 ms after it, and all jobs that arrived before count in the first
    /// window.
    milliseconds returns_to_service_at{0};
    admission_policy policy = admission_policy::detector;
    /// Most work that each kind may have at an entry, as a share of what all targets do in a second
    /// divided by the number of entries; not limited if empty. Further jobs are refused.
    std::vector<double> quotas;
};

/// The kinds of jobs of a deployment with tasks of five cores: wide short jobs of the highest
/// priority, narrow jobs of medium length, and few long ones.
[[nodiscard]] std::vector<job_kind> wide_short_and_long_jobs();

/// The kinds of jobs of a deployment with uneven demand and a long tail of run times.
[[nodiscard]] std::vector<job_kind> lookups_fetches_and_cutouts();

/// Contention load of the first deployment, as one fleet of 13 entries and 72 targets: 2 s at 70 %,
/// 2 s in which the long kind arrives at 2.3 times its rate, 2 s in which the short kinds arrive at
/// 1.6 times their rate, and 2 s as before. Windows of 2 s.
[[nodiscard]] load_scenario contention_load();
/// Load of the second deployment with its long tail, as one fleet of 9 entries and 54 targets: 2 s
/// at 70 %, 2 s with the long kind at 1.6 times and all kinds at 1.3 times their rate, and 2 s as
/// before. Half of the callers of three entries use three others.
[[nodiscard]] load_scenario uneven_load();
/// Return of all targets of the first deployment to service at the same time, after 2 s without.
[[nodiscard]] load_scenario return_to_service_load();

struct kind_result
{
    std::size_t jobs = 0;
    /// Jobs answered within their objective, from the exact run times.
    std::size_t in_time = 0;
    /// Jobs answered after their objective, but within three times the objective.
    std::size_t late_useful = 0;
    std::size_t refused = 0;
    /// Jobs that were answered without a result after a task may have run.
    std::size_t given_up = 0;
    /// Jobs without a result within three times their objective, which is useless to the caller.
    std::size_t useless = 0;
    /// Sum of the weights of the jobs, and of those weights times the value of the answer: 1 in
    /// time, 0.2 late but useful. A job weighs 0.3 + 0.7 times its work over the mean of its kind.
    double weight = 0;
    double served_weight = 0;
    /// Jobs, and jobs in time, among the tenth with most tasks and the fifth below it. Counted only
    /// if `load_scenario::has_uneven_widths`.
    std::array<std::size_t, 2> size_jobs{};
    std::array<std::size_t, 2> size_in_time{};

    void add(kind_result const& other);
    /// Sum of the response times of answered jobs over the time that a target of speed 1 needs.
    double response_ratio_sum = 0;
};

struct load_result
{
    std::vector<kind_result> kinds;
    /// Results by the window of `result_window` in which the jobs arrived, then by kind.
    std::vector<std::vector<kind_result>> windows;
    std::size_t tasks = 0;
    /// Core-seconds of runs, and of the runs whose job got no useful answer.
    double work = 0;
    double wasted_work = 0;
    /// Starts that an agent returned because it had no free resources.
    std::size_t returned_starts = 0;
    /// Starts that waited in an agent's queue.
    std::size_t queued_starts = 0;
    std::size_t status_messages = 0;
    /// Messages with starts; starts that a dispatcher sends together to an agent share one.
    std::size_t start_messages = 0;
    /// Runs that were stopped on a target before their end, and the time that they had used its
    /// cores, in core-milliseconds.
    std::size_t stopped_runs = 0;
    double discarded_work = 0;
    /// Those among them whose job was not yet answered: the task runs again elsewhere.
    std::size_t moved_runs = 0;
    double moved_work = 0;
    /// Time that runs which ended by themselves have used the cores, in core-milliseconds.
    double useful_work = 0;
    /// Times from the begin of a target's fault to the stop of each moved run on it, in
    /// milliseconds.
    std::vector<double> stop_delays;
    /// Starts of tasks with a near rack, and of these those elsewhere.
    std::size_t near_starts = 0;
    std::size_t far_starts = 0;

    [[nodiscard]] double discarded_share() const;
    [[nodiscard]] double useless_share() const;
    [[nodiscard]] std::size_t jobs() const;
    [[nodiscard]] double late_share() const;
    [[nodiscard]] double late_share(std::size_t kind) const;
    /// Mean response time of completed jobs over the time that a target of speed 1 needs.
    [[nodiscard]] double mean_response_ratio() const;
    /// Share of the jobs that were refused or given up.
    [[nodiscard]] double unserved_share() const;
    /// Mean over the kinds of the share of the weight that was served, of all windows or of one.
    [[nodiscard]] double worth() const;
    [[nodiscard]] double worth(std::size_t window) const;
    /// Share of the weight of a kind in a window that was served.
    [[nodiscard]] double worth(std::size_t window, std::size_t kind) const;
    [[nodiscard]] double queued_share() const;
    [[nodiscard]] double returned_share() const;
};

inline constexpr milliseconds result_window{2'000};

[[nodiscard]] load_result simulate_load(load_scenario const& scenario);

} // namespace filbertroad::dispatch

#endif

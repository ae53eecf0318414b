#include "filbertroad/dispatch/internal/elapsed.hpp"
#include "filbertroad/dispatch/run_agent.hpp"

#include <algorithm>

namespace filbertroad::dispatch
{

using internal::agent_run;
using internal::run_state;

namespace
{

/// A run is overdue after `overdue_factor` times its expected time plus `overdue_slack_ms`.
/// Declared run times are off by 40 %, so a single overdue run is no evidence of a slow target.
/// `min_overdue` overdue runs at the same time are rare on a healthy target.
constexpr double overdue_factor = 2;
constexpr double overdue_slack_ms = 40;
constexpr std::size_t min_overdue = 3;

bool is_active(agent_run const& run)
{
    return run.state == run_state::running || run.state == run_state::stopping;
}

double overdue_time_ms(milliseconds estimate, double speed)
{
    return overdue_factor * static_cast<double>(estimate.count()) / speed + overdue_slack_ms;
}

} // namespace

bool run_agent::is_overdue(agent_run const& run, milliseconds elapsed) const
{
    return static_cast<double>(elapsed.count()) >
           overdue_time_ms(run.order.estimate, this->speed.value());
}

void run_agent::record_overdue_runs()
{
    auto const now = this->clock.steady_now();
    bool const was_delayed = this->progress.is_delayed();
    this->runs.for_each(
        [&](agent_run& run)
        {
            if (is_active(run) && !run.is_overdue_recorded &&
                this->is_overdue(run, internal::elapsed(run.started, now)))
            {
                run.is_overdue_recorded = true;
                this->progress.record_overdue();
            }
        });
    if (this->progress.is_delayed() != was_delayed)
    {
        this->mark_status_changed();
    }
}

void run_agent::record_completed_run(agent_run const& run, milliseconds elapsed)
{
    if (!run.is_overdue_recorded)
    {
        if (this->is_overdue(run, elapsed))
        {
            this->progress.record_overdue();
        }
        else
        {
            this->progress.record_on_time();
        }
    }
    this->observe_speed(run, elapsed);
}

void run_agent::observe_speed(agent_run const& run, milliseconds elapsed)
{
    // A run that is long because of its task says nothing about the speed of the target. It is
    // counted with the time at which it became overdue, because the cause is not certain.
    bool const is_long_task =
        this->progress.has_tail() && !this->progress.is_delayed() && this->is_overdue(run, elapsed);
    auto const counted = is_long_task ? milliseconds(static_cast<std::int64_t>(overdue_time_ms(
                                            run.order.estimate, this->speed.value())))
                                      : elapsed;
    this->speed.observe(run.order.estimate, counted);
}

double run_agent::current_speed() const
{
    auto const average_speed = this->speed.value();
    // Where some tasks take several times as long as others, several overdue runs at the same time
    // are no evidence: three of twelve are overdue in a fifth of the time if 3 % take seven times
    // as long.
    if (this->progress.has_tail() && !this->progress.is_delayed())
    {
        return average_speed;
    }
    auto const now = this->clock.steady_now();
    double total_estimate = 0;
    double total_elapsed = 0;
    std::size_t overdue = 0;
    this->runs.for_each(
        [&](agent_run const& run)
        {
            auto const elapsed = internal::elapsed(run.started, now);
            if (is_active(run) && this->is_overdue(run, elapsed))
            {
                ++overdue;
                total_estimate += static_cast<double>(run.order.estimate.count());
                total_elapsed += static_cast<double>(elapsed.count());
            }
        });
    return overdue >= min_overdue ? std::min(average_speed, total_estimate / total_elapsed)
                                  : average_speed;
}

} // namespace filbertroad::dispatch

#ifndef FILBERTROAD_NODE_INTERNAL_JOB_METRICS_HPP
#define FILBERTROAD_NODE_INTERNAL_JOB_METRICS_HPP

/// Metrics of the jobs and runs of an entry.
///
///     internal::job_metrics job_metrics(registry);
///     job_metrics.record_answer(answer);

#include "filbertroad/dispatch/job_dispatcher.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <string>

namespace filbertroad::node::internal
{

class job_metrics
{
public:
    explicit job_metrics(telemetry::metrics_registry& metrics)
        : metrics(metrics),
          discarded_work(metrics.add_counter("filbertroad_discarded_core_milliseconds_total",
                                             "Core time that moved runs used until their move.")),
          runs_sent(metrics.add_counter("filbertroad_runs_sent_total", "Runs sent to agents.")),
          near_waits_given_up(metrics.add_counter("filbertroad_near_waits_given_up_total",
                                                  "Waits for a near place that ended without a "
                                                  "start.")),
          job_latency(metrics.add_histogram("filbertroad_job_seconds",
                                            "Time from the receipt of a job to its answer."))
    {
        for (auto const outcome : {dispatch::job_outcome::completed, dispatch::job_outcome::failed,
                                   dispatch::job_outcome::given_up, dispatch::job_outcome::not_run})
        {
            this->counter_for(outcome);
        }
        for (auto const reason :
             {dispatch::move_reason::overdue, dispatch::move_reason::target_delayed,
              dispatch::move_reason::longer_than_tail})
        {
            this->counter_for(reason);
        }
    }

    void record_run_sent(dispatch::send_start const& start)
    {
        this->runs_sent.increment();
        if (start.place == dispatch::task_place::any)
        {
            return;
        }
        this->counter_for(start.place).increment();
        if (start.has_given_up_wait)
        {
            this->near_waits_given_up.increment();
        }
    }

    void record_cancel(dispatch::send_cancel const& cancel)
    {
        if (cancel.reason != dispatch::move_reason::none)
        {
            this->counter_for(cancel.reason).increment();
            this->discarded_work.increment(static_cast<std::uint64_t>(cancel.discarded_work));
        }
    }

    void record_answer(dispatch::answer_job const& answer)
    {
        this->counter_for(answer.outcome).increment();
        this->job_latency.observe(std::chrono::duration<double>(answer.latency).count());
    }

private:
    telemetry::counter& counter_for(dispatch::task_place place)
    {
        return this->metrics.add_counter("filbertroad_placed_runs_total",
                                         "Runs of tasks with a preferred place.",
                                         {{"place", std::string(to_string(place))}});
    }

    telemetry::counter& counter_for(dispatch::job_outcome outcome)
    {
        return this->metrics.add_counter("filbertroad_jobs_total", "Jobs answered.",
                                         {{"outcome", std::string(to_string(outcome))}});
    }

    telemetry::counter& counter_for(dispatch::move_reason reason)
    {
        return this->metrics.add_counter("filbertroad_runs_moved_total",
                                         "Runs cancelled to run again on another target.",
                                         {{"reason", std::string(to_string(reason))}});
    }

    telemetry::metrics_registry& metrics;
    telemetry::counter& discarded_work;
    telemetry::counter& runs_sent;
    telemetry::counter& near_waits_given_up;
    telemetry::histogram& job_latency;
};

} // namespace filbertroad::node::internal

#endif

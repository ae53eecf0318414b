#ifndef FILBERTROAD_NODE_INTERNAL_JOB_METRICS_HPP
#define FILBERTROAD_NODE_INTERNAL_JOB_METRICS_HPP

/// Counters of the jobs of an entry.
///
///     internal::job_metrics job_metrics(registry);
///     job_metrics.count(answer);

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
          runs(metrics.add_counter("filbertroad_runs_sent_total", "Runs sent to agents.")),
          latency(metrics.add_histogram("filbertroad_job_seconds",
                                        "Time from the receipt of a job to its answer."))
    {
        for (auto const outcome : {dispatch::job_outcome::completed, dispatch::job_outcome::failed,
                                   dispatch::job_outcome::given_up, dispatch::job_outcome::not_run})
        {
            this->counter_of(outcome);
        }
    }

    void count_run() { this->runs.increment(); }

    void count(dispatch::answer_job const& answer)
    {
        this->counter_of(answer.outcome).increment();
        this->latency.observe(std::chrono::duration<double>(answer.latency).count());
    }

private:
    telemetry::counter& counter_of(dispatch::job_outcome outcome)
    {
        return this->metrics.add_counter("filbertroad_jobs_total", "Jobs answered.",
                                         {{"outcome", std::string(to_string(outcome))}});
    }

    telemetry::metrics_registry& metrics;
    telemetry::counter& runs;
    telemetry::histogram& latency;
};

} // namespace filbertroad::node::internal

#endif

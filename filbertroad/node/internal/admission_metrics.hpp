#ifndef FILBERTROAD_NODE_INTERNAL_ADMISSION_METRICS_HPP
#define FILBERTROAD_NODE_INTERNAL_ADMISSION_METRICS_HPP

/// Metrics and log events of the admission of jobs at an entry.
///
///     internal::admission_metrics admissions(registry, log);
///     admissions.update(dispatcher.admissions(), clock.steady_now());

#include "filbertroad/dispatch/admission_counts.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/events.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <array>
#include <string>
#include <utility>

namespace filbertroad::node::internal
{

class admission_metrics
{
public:
    admission_metrics(telemetry::metrics_registry& metrics, telemetry::event_log& log) : log(log)
    {
        for (std::size_t priority = 0; priority < dispatch::priority_classes; ++priority)
        {
            auto const label = std::to_string(priority);
            auto& added = this->classes[priority];
            added.share = &metrics.add_gauge(
                "filbertroad_refused_share",
                "Share of the jobs of a priority class that is refused.", {{"class", label}});
            for (auto const result : dispatch::all_admission_results)
            {
                added.results[static_cast<std::size_t>(result)] = &metrics.add_counter(
                    "filbertroad_admissions_total", "Decisions on the admission of jobs.",
                    {{"class", label}, {"result", std::string(to_string(result))}});
            }
        }
    }

    void update(dispatch::admission_counts const& counts, base::steady_time now)
    {
        for (std::size_t priority = 0; priority < dispatch::priority_classes; ++priority)
        {
            auto& item = this->classes[priority];
            for (auto const result : dispatch::all_admission_results)
            {
                auto& counter = *item.results[static_cast<std::size_t>(result)];
                counter.increment(counts.total(priority, result) - counter.value());
            }
            auto const share = counts.share(priority, now);
            item.share->set(share);
            bool const is_limited = counts.is_limited(priority, now);
            if (std::exchange(item.is_limited, is_limited) != is_limited)
            {
                this->log.write(
                    is_limited ? telemetry::events::admission_limited
                               : telemetry::events::admission_open,
                    {{"class", std::to_string(priority)}, {"share", std::to_string(share)}});
            }
        }
    }

private:
    struct class_metrics
    {
        std::array<telemetry::counter*, dispatch::all_admission_results.size()> results{};
        telemetry::gauge* share = nullptr;
        bool is_limited = false;
    };

    telemetry::event_log& log;
    std::array<class_metrics, dispatch::priority_classes> classes{};
};

} // namespace filbertroad::node::internal

#endif

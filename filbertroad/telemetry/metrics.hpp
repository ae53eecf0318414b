#ifndef FILBERTROAD_TELEMETRY_METRICS_HPP
#define FILBERTROAD_TELEMETRY_METRICS_HPP

/// Counters, gauges and histograms, exported in the Prometheus text format.
///
///     telemetry::metrics_registry metrics;
///     auto& refused = metrics.add_counter("filbertroad_jobs_refused_total", "Jobs refused.",
///                                         {{"code", "overloaded"}});
///     refused.increment();
///     response.body = metrics.to_prometheus();
///
/// Recording is lock free and thread safe. Metrics are added once, at process start or when a shard
/// is taken over. References to metrics stay valid for the lifetime of the registry.

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::telemetry
{

/// A monotonically increasing number.
class counter
{
public:
    void increment(std::uint64_t by = 1) { this->total.fetch_add(by, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> total{0};
};

/// A number that can increase and decrease.
class gauge
{
public:
    void set(double value) { this->current.store(value, std::memory_order_relaxed); }
    void add(double by) { this->current.fetch_add(by, std::memory_order_relaxed); }
    [[nodiscard]] double value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current{0};
};

/// Counts of observed values by bucket. Bucket bounds are inclusive upper bounds, in ascending
/// order.
class histogram
{
public:
    explicit histogram(std::span<double const> bounds);
    ~histogram();
    histogram(histogram const&) = delete;
    histogram& operator=(histogram const&) = delete;

    void observe(double value);
    [[nodiscard]] std::span<double const> bounds() const;
    /// Number of values that are at most bounds()[index].
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t index) const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;

private:
    struct buckets;
    std::vector<double> upper_bounds;
    std::unique_ptr<buckets> storage;
    std::atomic<double> total{0};
};

/// Default bucket bounds in seconds, for tasks that take from 50 ms to several seconds.
[[nodiscard]] std::span<double const> duration_bounds();

struct metric_label
{
    std::string name;
    std::string value;
};

using metric_labels = std::vector<metric_label>;

/// Owns the metrics of a process. Adding a metric with the same name and labels again returns the
/// existing metric. Precondition: a name is used for only one kind of metric. Thread safe.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(metrics_registry const&) = delete;
    metrics_registry& operator=(metrics_registry const&) = delete;

    counter& add_counter(std::string_view name, std::string_view help, metric_labels labels = {});
    gauge& add_gauge(std::string_view name, std::string_view help, metric_labels labels = {});
    histogram& add_histogram(std::string_view name, std::string_view help,
                             std::span<double const> bounds = duration_bounds(),
                             metric_labels labels = {});

    /// Returns all metrics in the Prometheus text format, ordered by name.
    [[nodiscard]] std::string to_prometheus() const;

private:
    struct family;
    template <class Metric>
    struct series;

    family& find_or_add_family(std::string_view name, std::string_view help, std::string_view type);

    mutable std::mutex lock;
    std::map<std::string, family, std::less<>> families;
};

} // namespace filbertroad::telemetry

#endif

#ifndef FILBERTROAD_TELEMETRY_METRICS_HPP
#define FILBERTROAD_TELEMETRY_METRICS_HPP

/// Counters, gauges and histograms, written in the Prometheus text format.
///
///     telemetry::metrics_registry metrics;
///     auto& refused = metrics.add_counter("filbertroad_jobs_refused_total", "Jobs refused.",
///                                         {{"code", "overloaded"}});
///     refused.increment();
///     response.body = metrics.to_prometheus();
///
/// Recording is lock free and may happen in several threads. Metrics are added once, at the start
/// of a process or when a shard is taken over; the references stay valid as long as the registry.

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

/// A number that only grows.
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

/// A number that goes up and down.
class gauge
{
public:
    void set(double value) { this->current.store(value, std::memory_order_relaxed); }
    void add(double by) { this->current.fetch_add(by, std::memory_order_relaxed); }
    [[nodiscard]] double value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current{0};
};

/// Numbers of values in buckets. Bucket bounds are inclusive upper bounds, in growing order.
class histogram
{
public:
    explicit histogram(std::span<double const> bounds);
    ~histogram();
    histogram(histogram const&) = delete;
    histogram& operator=(histogram const&) = delete;

    void observe(double value);
    [[nodiscard]] std::span<double const> bounds() const;
    /// Number of values up to bounds()[index].
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t index) const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;

private:
    struct buckets;
    std::vector<double> upper_bounds;
    std::unique_ptr<buckets> storage;
    std::atomic<double> total{0};
};

/// Bounds in seconds that suit tasks of 50 ms to several seconds.
[[nodiscard]] std::span<double const> duration_bounds();

struct metric_label
{
    std::string name;
    std::string value;
};

using metric_labels = std::vector<metric_label>;

/// Owns the metrics of a process. Adding the same name with the same labels again returns the
/// metric that is there. Precondition: a name is used for one kind of metric.
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

    /// All metrics, ordered by name.
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

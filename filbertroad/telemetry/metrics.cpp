#include "filbertroad/telemetry/metrics.hpp"

#include <array>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <charconv>
#include <limits>

namespace filbertroad::telemetry
{
namespace
{

namespace bh = boost::histogram;

using atomic_count = bh::accumulators::count<std::uint64_t, true>;
using bucket_axis = bh::axis::variable<double>;
using bucket_histogram = bh::histogram<std::tuple<bucket_axis>, bh::dense_storage<atomic_count>>;

std::string format_number(double value)
{
    std::array<char, 32> text{};
    auto const [end, code] = std::to_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc() ? std::string(text.data(), end) : "0";
}

/// Returns bin edges for upper bounds. Bins of Boost.Histogram include their lower edge, whereas
/// buckets of Prometheus include their upper bound. Each edge is therefore the next greater double.
std::vector<double> bin_edges(std::span<double const> bounds)
{
    std::vector<double> edges{-std::numeric_limits<double>::infinity()};
    for (double const bound : bounds)
    {
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    }
    return edges;
}

void append_escaped(std::string_view text, std::string& out)
{
    for (char const c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
        {
            out += '\\';
        }
        out += c;
    }
}

/// Returns `{a="b"}`, or an empty string without labels.
std::string format_labels(metric_labels const& labels)
{
    std::string out;
    for (auto const& label : labels)
    {
        out += out.empty() ? "{" : ",";
        out += label.name + "=\"";
        append_escaped(label.value, out);
        out += '"';
    }
    return out.empty() ? out : out + "}";
}

metric_labels with_bucket_bound(metric_labels labels, std::string bound)
{
    labels.push_back({"le", std::move(bound)});
    return labels;
}

void append_line(std::string const& name, metric_labels const& labels, std::string const& value,
                 std::string& out)
{
    out += name + format_labels(labels) + " " + value + "\n";
}

void append_metric(std::string const& name, metric_labels const& labels, counter const& metric,
                   std::string& out)
{
    append_line(name, labels, std::to_string(metric.value()), out);
}

void append_metric(std::string const& name, metric_labels const& labels, gauge const& metric,
                   std::string& out)
{
    append_line(name, labels, format_number(metric.value()), out);
}

void append_metric(std::string const& name, metric_labels const& labels, histogram const& metric,
                   std::string& out)
{
    auto const bounds = metric.bounds();
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        append_line(name + "_bucket", with_bucket_bound(labels, format_number(bounds[i])),
                    std::to_string(metric.cumulative_count(i)), out);
    }
    auto const count = std::to_string(metric.count());
    append_line(name + "_bucket", with_bucket_bound(labels, "+Inf"), count, out);
    append_line(name + "_sum", labels, format_number(metric.sum()), out);
    append_line(name + "_count", labels, count, out);
}

} // namespace

struct histogram::buckets
{
    bucket_histogram counts;
};

histogram::histogram(std::span<double const> bounds)
    : upper_bounds(bounds.begin(), bounds.end()),
      storage(std::make_unique<buckets>(buckets{bh::make_histogram_with(
          bh::dense_storage<atomic_count>(), bucket_axis(bin_edges(bounds)))}))
{
}

histogram::~histogram() = default;

void histogram::observe(double value)
{
    this->storage->counts(value);
    this->total.fetch_add(value, std::memory_order_relaxed);
}

std::span<double const> histogram::bounds() const
{
    return this->upper_bounds;
}

std::uint64_t histogram::cumulative_count(std::size_t index) const
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i <= index; ++i)
    {
        sum += this->storage->counts.at(static_cast<int>(i)).value();
    }
    return sum;
}

std::uint64_t histogram::count() const
{
    // Index upper_bounds.size() is the overflow bin.
    return this->cumulative_count(this->upper_bounds.size());
}

double histogram::sum() const
{
    return this->total.load(std::memory_order_relaxed);
}

std::span<double const> duration_bounds()
{
    static constexpr std::array bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                       0.2,    0.35,  0.5,   0.75,  1.0,  2.0,  5.0,  10.0};
    return bounds;
}

template <class Metric>
struct metrics_registry::series
{
    struct labeled_metric
    {
        metric_labels labels;
        std::unique_ptr<Metric> metric;
    };
    std::map<std::string, labeled_metric> metrics_by_labels;

    template <class... Arguments>
    Metric& find_or_add(metric_labels labels, Arguments&&... arguments)
    {
        auto& slot = this->metrics_by_labels[format_labels(labels)];
        if (slot.metric == nullptr)
        {
            slot = {std::move(labels),
                    std::make_unique<Metric>(std::forward<Arguments>(arguments)...)};
        }
        return *slot.metric;
    }

    void append_to(std::string const& name, std::string& out) const
    {
        for (auto const& [key, labeled_metric] : this->metrics_by_labels)
        {
            append_metric(name, labeled_metric.labels, *labeled_metric.metric, out);
        }
    }
};

struct metrics_registry::family
{
    std::string help;
    std::string type;
    series<counter> counters;
    series<gauge> gauges;
    series<histogram> histograms;
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

metrics_registry::family& metrics_registry::find_or_add_family(std::string_view name,
                                                               std::string_view help,
                                                               std::string_view type)
{
    auto const found = this->families.find(name);
    if (found != this->families.end())
    {
        return found->second;
    }
    auto& added = this->families[std::string(name)];
    added.help = help;
    added.type = type;
    return added;
}

counter& metrics_registry::add_counter(std::string_view name, std::string_view help,
                                       metric_labels labels)
{
    std::lock_guard const guard(this->lock);
    return this->find_or_add_family(name, help, "counter").counters.find_or_add(std::move(labels));
}

gauge& metrics_registry::add_gauge(std::string_view name, std::string_view help,
                                   metric_labels labels)
{
    std::lock_guard const guard(this->lock);
    return this->find_or_add_family(name, help, "gauge").gauges.find_or_add(std::move(labels));
}

histogram& metrics_registry::add_histogram(std::string_view name, std::string_view help,
                                           std::span<double const> bounds, metric_labels labels)
{
    std::lock_guard const guard(this->lock);
    return this->find_or_add_family(name, help, "histogram")
        .histograms.find_or_add(std::move(labels), bounds);
}

std::string metrics_registry::to_prometheus() const
{
    std::string out;
    std::lock_guard const guard(this->lock);
    for (auto const& [name, family] : this->families)
    {
        out.append("# HELP ").append(name).append(" ").append(family.help);
        out.append("\n# TYPE ").append(name).append(" ").append(family.type).append("\n");
        family.counters.append_to(name, out);
        family.gauges.append_to(name, out);
        family.histograms.append_to(name, out);
    }
    return out;
}

} // namespace filbertroad::telemetry

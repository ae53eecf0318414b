#include "filbertroad/scheduling/internal/run_time_distribution.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace filbertroad::scheduling::internal
{
namespace
{

constexpr double min_seconds = 0.001;
constexpr double buckets_per_doubling = 4;
/// All counts and sums are halved at this number of samples, so that old samples lose weight.
constexpr double max_samples = 8192;
/// The values derived from the histogram are recomputed after at most this many samples.
constexpr std::uint32_t max_samples_until_refresh = 64;
/// Run time in seconds that is assumed before the first sample; it has the weight of one sample.
constexpr double prior_seconds = 0.3;

} // namespace

run_time_distribution::run_time_distribution() : buckets{}, suffix_sums{}, longest_means{}
{
    auto& prior = this->buckets[bucket_of(prior_seconds)];
    prior = {1, prior_seconds};
    this->refresh();
}

void run_time_distribution::add(double seconds)
{
    auto& bucket = this->buckets[bucket_of(seconds)];
    bucket.count += 1;
    bucket.sum += seconds;
    ++this->sample_count;
    if (--this->samples_until_refresh == 0)
    {
        this->refresh();
    }
}

double run_time_distribution::expected_excess(double seconds) const
{
    auto const here = bucket_of(seconds);
    auto const& inside = this->buckets[here];
    auto const& above = this->suffix_sums[here + 1];
    auto const part = std::max(0.0, inside.sum - seconds * inside.count);
    return (above.sum - seconds * above.count + part) / this->suffix_sums[0].count;
}

double run_time_distribution::expected_longest(std::uint32_t tasks) const
{
    auto const below = static_cast<std::size_t>(std::bit_width(std::max(1U, tasks)) - 1);
    if (below + 1 >= doublings)
    {
        return this->longest_means[doublings - 1];
    }
    auto const power = static_cast<double>(1U << below);
    auto const share = static_cast<double>(tasks) / power - 1;
    return this->longest_means[below] +
           share * (this->longest_means[below + 1] - this->longest_means[below]);
}

std::size_t run_time_distribution::bucket_of(double seconds)
{
    auto const position =
        std::log2(std::max(seconds, min_seconds) / min_seconds) * buckets_per_doubling;
    return std::min(bucket_count - 1, static_cast<std::size_t>(position));
}

void run_time_distribution::refresh()
{
    if (this->suffix_sums[0].count >= max_samples)
    {
        for (auto& bucket : this->buckets)
        {
            bucket.count /= 2;
            bucket.sum /= 2;
        }
    }
    for (std::size_t index = bucket_count; index-- > 0;)
    {
        auto const& next = this->suffix_sums[index + 1];
        this->suffix_sums[index] = {next.count + this->buckets[index].count,
                                    next.sum + this->buckets[index].sum};
    }
    auto const total = this->suffix_sums[0].count;
    this->cached_mean = this->suffix_sums[0].sum / total;
    this->longest_means = {};
    std::array<double, doublings> previous_share{};
    for (std::size_t index = 0; index < bucket_count; ++index)
    {
        auto const& bucket = this->buckets[index];
        if (bucket.count <= 0)
        {
            continue;
        }
        // Share of samples up to this bucket. The share for the longest of 2n run times is the
        // square of the share for the longest of n.
        auto share = 1 - this->suffix_sums[index + 1].count / total;
        for (std::size_t power = 0; power < doublings; ++power)
        {
            this->longest_means[power] +=
                bucket.sum / bucket.count * (share - previous_share[power]);
            previous_share[power] = share;
            share *= share;
        }
    }
    this->samples_until_refresh = std::min(max_samples_until_refresh, 1 + this->sample_count / 8);
}

} // namespace filbertroad::scheduling::internal

#include "filbertroad/scheduling/internal/run_time_profile.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace filbertroad::scheduling::internal
{
namespace
{

constexpr double shortest = 0.001;
constexpr double buckets_per_doubling = 4;
/// All counts are halved at this number of samples.
constexpr double max_samples = 8192;
/// The derived values are computed again after this many samples at the latest.
constexpr std::uint32_t max_refresh_interval = 64;
/// Assumed before anything is known; weighs as much as one sample.
constexpr double first_guess = 0.3;

} // namespace

run_time_profile::run_time_profile() : buckets{}, from_here{}, longest{}
{
    auto& guess = this->buckets[bucket_of(first_guess)];
    guess = {1, first_guess};
    this->refresh();
}

void run_time_profile::add(double seconds)
{
    auto& bucket = this->buckets[bucket_of(seconds)];
    bucket.count += 1;
    bucket.sum += seconds;
    ++this->added;
    if (--this->until_refresh == 0)
    {
        this->refresh();
    }
}

double run_time_profile::excess(double seconds) const
{
    auto const here = bucket_of(seconds);
    auto const& inside = this->buckets[here];
    auto const& above = this->from_here[here + 1];
    auto const part = std::max(0.0, inside.sum - seconds * inside.count);
    return (above.sum - seconds * above.count + part) / this->from_here[0].count;
}

double run_time_profile::longest_of(std::uint32_t tasks) const
{
    auto const below = static_cast<std::size_t>(std::bit_width(std::max(1U, tasks)) - 1);
    if (below + 1 >= doublings)
    {
        return this->longest[doublings - 1];
    }
    auto const power = static_cast<double>(1U << below);
    auto const share = static_cast<double>(tasks) / power - 1;
    return this->longest[below] + share * (this->longest[below + 1] - this->longest[below]);
}

std::size_t run_time_profile::bucket_of(double seconds)
{
    auto const position = std::log2(std::max(seconds, shortest) / shortest) * buckets_per_doubling;
    return std::min(bucket_count - 1, static_cast<std::size_t>(position));
}

void run_time_profile::refresh()
{
    if (this->from_here[0].count >= max_samples)
    {
        for (auto& bucket : this->buckets)
        {
            bucket.count /= 2;
            bucket.sum /= 2;
        }
    }
    for (std::size_t index = bucket_count; index-- > 0;)
    {
        auto const& next = this->from_here[index + 1];
        this->from_here[index] = {next.count + this->buckets[index].count,
                                  next.sum + this->buckets[index].sum};
    }
    auto const total = this->from_here[0].count;
    this->cached_mean = this->from_here[0].sum / total;
    this->longest = {};
    std::array<double, doublings> before{};
    for (std::size_t index = 0; index < bucket_count; ++index)
    {
        auto const& bucket = this->buckets[index];
        if (bucket.count <= 0)
        {
            continue;
        }
        // Share of samples up to this bucket, squared once more for each doubling of the tasks.
        auto share = 1 - this->from_here[index + 1].count / total;
        for (std::size_t power = 0; power < doublings; ++power)
        {
            this->longest[power] += bucket.sum / bucket.count * (share - before[power]);
            before[power] = share;
            share *= share;
        }
    }
    this->until_refresh = std::min(max_refresh_interval, 1 + this->added / 8);
}

} // namespace filbertroad::scheduling::internal

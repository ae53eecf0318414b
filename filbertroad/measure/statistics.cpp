#include "filbertroad/measure/statistics.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace filbertroad::measure
{
namespace
{

time_us warm_up_end(trace const& input)
{
    return static_cast<time_us>(static_cast<double>(input.jobs.back().arrival) * warm_up_share);
}

} // namespace

void response_sample::add(trace const& input, replay_result const& observed)
{
    for (std::size_t job = 0; job < input.jobs.size(); ++job)
    {
        if (input.jobs[job].arrival < warm_up_end(input))
        {
            continue;
        }
        this->times.push_back(observed.response_times[job]);
        this->refused_jobs += observed.response_times[job] == not_answered;
    }
}

double response_sample::mean() const
{
    return static_cast<double>(std::accumulate(this->times.begin(), this->times.end(), time_us{})) /
           static_cast<double>(this->times.size());
}

double response_sample::quantile(double share) const
{
    auto sorted = this->times;
    auto const rank = static_cast<std::size_t>(
        std::max(0.0, std::ceil(share * static_cast<double>(sorted.size())) - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return static_cast<double>(sorted[rank]);
}

double throughput_share(trace const& input, replay_result const& observed)
{
    auto const begin = warm_up_end(input);
    auto const end = input.jobs.back().arrival;
    return work_between(observed, begin, end) /
           (input.capacity() * static_cast<double>(end - begin));
}

double work_between(replay_result const& observed, time_us begin, time_us end)
{
    double work = 0;
    for (auto const& completed : observed.completions)
    {
        work += completed.time >= begin && completed.time < end ? completed.work : 0;
    }
    return work;
}

} // namespace filbertroad::measure

#include "filbertroad/scheduling/internal/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace filbertroad::scheduling::internal
{
namespace
{

/// Run times of one route differ by a factor of 20 and more. A mean of fewer samples is so noisy
/// that the order of the targets by speed is unstable.
constexpr double max_speed_samples = 256;
/// If the mean logarithm of the recent run times differs by more than speed_change_threshold (a
/// factor of 2.5) from that of all, the target has changed its speed, and older run times no longer
/// count. The threshold is seven standard deviations of the recent mean if run times are spread
/// over a factor of twenty. At four standard deviations, targets looked slow by chance alone.
constexpr double max_recent_speed_samples = 32;
constexpr double speed_change_threshold = 0.9;
/// A smaller variance of speeds counts as zero, so that no task waits for one of several targets
/// that are equally fast.
constexpr double min_speed_variance = 1e-3;
constexpr double noise_weight = 1.0 / 512;
constexpr double max_route_samples = 512;
constexpr double failure_weight = 1.0 / 8;
/// A target is ejected only if it has at least min_result_count results, its failure rate is at
/// least min_failure_rate, and that rate is at least min_failure_ratio times the mean rate of the
/// others.
constexpr std::uint32_t min_result_count = 5;
constexpr double min_failure_rate = 0.4;
constexpr double min_failure_ratio = 3;
/// From this many consecutive failures on, the target is backed off. Otherwise a target that fails
/// its tasks at once would get most of the queue before its failure rate is known.
constexpr std::uint32_t failures_before_backoff = 3;
constexpr std::chrono::milliseconds initial_start_backoff{50};
constexpr std::uint32_t max_backoff_doublings = 5;

} // namespace

void target_pool::succeeded(std::uint32_t index, std::uint32_t route,
                            std::chrono::microseconds run_time, base::steady_time now)
{
    auto& target = this->targets[index];
    target.consecutive_failures = 0;
    target.consecutive_refusals = 0;
    target.failure_rate -= target.failure_rate * failure_weight;
    ++target.result_count;
    if (target.health.task_succeeded())
    {
        this->begin_ramp_up(target, now);
    }
    auto const seconds = std::max(1e-6, static_cast<double>(run_time.count()) * 1e-6);
    auto const log_time = std::log(seconds);
    auto& learnt_route = this->routes[route];
    auto const learn = [](double& value, std::uint32_t& samples, double limit, double sample)
    {
        samples += samples < limit ? 1 : 0;
        value += (sample - value) / samples;
    };
    if (target.samples > 0 || learnt_route.samples == 0)
    {
        learn(learnt_route.log_run_time, learnt_route.samples, max_route_samples,
              log_time - target.log_slowness);
    }
    auto const sample = log_time - learnt_route.log_run_time;
    auto const residual = sample - target.log_slowness;
    this->noise_variance += (residual * residual - this->noise_variance) * noise_weight;
    learn(target.log_slowness, target.samples, max_speed_samples, sample);
    learn(target.recent_log_slowness, target.recent_samples, max_recent_speed_samples, sample);
    if (target.recent_samples >= max_recent_speed_samples &&
        std::abs(target.recent_log_slowness - target.log_slowness) > speed_change_threshold)
    {
        target.log_slowness = target.recent_log_slowness;
        target.samples = target.recent_samples;
    }
    this->all_run_times.add(seconds / target.slowness);
    if (--this->samples_until_update == 0)
    {
        this->update_all_slowness();
    }
    else
    {
        this->update_slowness(target);
    }
}

void target_pool::failed(std::uint32_t index, failure_evidence const& evidence,
                         base::steady_time now)
{
    auto& target = this->targets[index];
    if (evidence.failed_elsewhere && !evidence.succeeded_elsewhere)
    {
        // The job has failed on other targets and succeeded on none: the job itself is the more
        // likely cause.
        return;
    }
    if (target.consecutive_failures == 0)
    {
        target.first_failed_job = evidence.job;
        target.several_jobs_failed = false;
    }
    target.several_jobs_failed |= target.first_failed_job != evidence.job;
    ++target.consecutive_failures;
    ++target.result_count;
    target.failure_rate += (1 - target.failure_rate) * failure_weight;
    bool const target_is_the_cause = target.several_jobs_failed || evidence.succeeded_elsewhere;
    bool const is_outlier =
        target.failure_rate >= min_failure_rate && target.result_count >= min_result_count &&
        target.failure_rate >= min_failure_ratio * failure_rate_of_others(index);
    if (!this->can_eject(index, now))
    {
        return;
    }
    if (target.health.state() == health_state::probing || (is_outlier && target_is_the_cause))
    {
        target.health.eject(now, this->jitter());
    }
    else if (target.consecutive_failures >= failures_before_backoff)
    {
        this->back_off(target, target.consecutive_failures - failures_before_backoff, now);
    }
}

void target_pool::refused(std::uint32_t index, start_refusal reason, base::steady_time now)
{
    auto& target = this->targets[index];
    if (reason == start_refusal::no_slot)
    {
        target.slot_limit = std::max(1U, std::min(target.slot_limit, target.running));
        target.next_limit_increase = now + limit_increase_interval;
        if (target.running > 0)
        {
            return;
        }
    }
    this->back_off(target, target.consecutive_refusals, now);
    ++target.consecutive_refusals;
}

void target_pool::update_slowness(target_record& target)
{
    // Shrinks the estimate towards the mean by the share of its variance that is noise of the run
    // times. A fixed prior weight of two samples does not suffice: with exponentially distributed
    // run times, equally fast targets looked up to 2.5 times faster than others, and tasks waited
    // for them although other slots were free.
    auto const relative = target.log_slowness - this->mean_log_slowness;
    auto const noise = this->noise_variance / std::max(1U, target.samples);
    auto const share = this->speed_variance < min_speed_variance
                           ? 0.0
                           : this->speed_variance / (this->speed_variance + noise);
    target.slowness = std::exp(relative * share);
    target.speed = 1 / target.slowness;
}

void target_pool::update_all_slowness()
{
    double sum = 0;
    double sum_of_squares = 0;
    double noise = 0;
    double count = 0;
    for (auto const& target : this->targets)
    {
        if (target.samples > 0)
        {
            sum += target.log_slowness;
            sum_of_squares += target.log_slowness * target.log_slowness;
            noise += this->noise_variance / target.samples;
            ++count;
        }
    }
    this->mean_log_slowness = sum / count;
    // The variance between the targets beyond the noise of their estimates is the variance of
    // speed.
    auto const observed_variance =
        sum_of_squares / count - this->mean_log_slowness * this->mean_log_slowness;
    this->speed_variance = std::max(0.0, observed_variance - noise / count);
    for (auto& target : this->targets)
    {
        this->update_slowness(target);
    }
    // On average, each target reports one result between two updates.
    this->samples_until_update = static_cast<std::uint32_t>(count);
}

bool target_pool::can_eject(std::uint32_t index, base::steady_time now) const
{
    std::uint32_t unavailable = 1;
    std::uint32_t total = 0;
    for (std::uint32_t other = 0; other < this->targets.size(); ++other)
    {
        auto const& target = this->targets[other];
        if (target.announced && target.available && !target.removed)
        {
            ++total;
            unavailable += other != index && (target.health.state() != health_state::in_service ||
                                              now < target.backoff_until);
        }
    }
    return unavailable * 2 <= total;
}

double target_pool::failure_rate_of_others(std::uint32_t index) const
{
    double sum = 0;
    double count = 0;
    for (std::uint32_t other = 0; other < this->targets.size(); ++other)
    {
        auto const& target = this->targets[other];
        if (other != index && target.result_count > 0 &&
            target.health.state() == health_state::in_service)
        {
            sum += target.failure_rate;
            ++count;
        }
    }
    return count > 0 ? sum / count : 1;
}

void target_pool::back_off(target_record& target, std::uint32_t doublings, base::steady_time now)
{
    auto const backoff = std::chrono::duration<double, std::milli>(initial_start_backoff) *
                         static_cast<double>(1U << std::min(doublings, max_backoff_doublings)) *
                         (1 + this->jitter());
    target.backoff_until = now + std::chrono::duration_cast<base::steady_time::duration>(backoff);
}

void target_pool::begin_ramp_up(target_record& target, base::steady_time now)
{
    target.ramp_start = now;
    target.backoff_until = now;
    target.consecutive_failures = 0;
    target.consecutive_refusals = 0;
    target.failure_rate = 0;
    target.result_count = 0;
}

} // namespace filbertroad::scheduling::internal

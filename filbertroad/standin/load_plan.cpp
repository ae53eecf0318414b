#include "filbertroad/standin/load_plan.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

namespace filbertroad::standin
{
namespace
{

constexpr std::uint32_t max_run_ms = 600'000;

std::optional<std::uint32_t> parse_ms(std::string_view text)
{
    std::uint32_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value > max_run_ms)
    {
        return std::nullopt;
    }
    return value;
}

std::uint32_t sample(run_time_distribution const& run_times, std::mt19937_64& random)
{
    switch (run_times.family)
    {
    case run_time_distribution::kind::uniform:
        return std::uniform_int_distribution<std::uint32_t>(run_times.base_ms,
                                                            run_times.max_ms)(random);
    case run_time_distribution::kind::exponential:
    {
        std::exponential_distribution<double> distribution(1.0 / std::max(1U, run_times.base_ms));
        auto const value = std::min<double>(std::round(distribution(random)), max_run_ms);
        return std::max(1U, static_cast<std::uint32_t>(value));
    }
    case run_time_distribution::kind::fixed:
        break;
    }
    return run_times.base_ms;
}

} // namespace

std::optional<run_time_distribution> parse_run_times(std::string_view text)
{
    constexpr std::string_view exponential = "exp:";
    if (text.starts_with(exponential))
    {
        auto const mean = parse_ms(text.substr(exponential.size()));
        return mean ? std::optional(
                          run_time_distribution{.family = run_time_distribution::kind::exponential,
                                                .base_ms = *mean,
                                                .max_ms = 0})
                    : std::nullopt;
    }
    auto const dash = text.find('-');
    auto const base_ms = parse_ms(text.substr(0, dash));
    if (!base_ms)
    {
        return std::nullopt;
    }
    if (dash == std::string_view::npos)
    {
        return run_time_distribution{
            .family = run_time_distribution::kind::fixed, .base_ms = *base_ms, .max_ms = *base_ms};
    }
    auto const max_ms = parse_ms(text.substr(dash + 1));
    if (!max_ms || *max_ms < *base_ms)
    {
        return std::nullopt;
    }
    return run_time_distribution{
        .family = run_time_distribution::kind::uniform, .base_ms = *base_ms, .max_ms = *max_ms};
}

std::vector<planned_job> make_load_plan(load_profile const& profile)
{
    std::vector<planned_job> plan;
    std::mt19937_64 random(profile.seed);
    std::exponential_distribution<double> gap_ms(profile.rate / 1'000.0);
    auto const end = profile.seconds * 1'000.0;
    for (double submit_at = gap_ms(random); submit_at < end; submit_at += gap_ms(random))
    {
        planned_job job{.submit_at = milliseconds_f(submit_at), .run_ms = {}};
        job.run_ms.reserve(profile.tasks);
        for (std::uint32_t i = 0; i < profile.tasks; ++i)
        {
            job.run_ms.push_back(sample(profile.run_times, random));
        }
        plan.push_back(std::move(job));
    }
    return plan;
}

} // namespace filbertroad::standin

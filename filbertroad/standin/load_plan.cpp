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
    auto const [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size() || value > max_run_ms)
    {
        return std::nullopt;
    }
    return value;
}

std::uint32_t choose(run_time_choice const& choice, std::mt19937_64& random)
{
    switch (choice.shape)
    {
    case run_time_choice::kind::uniform:
        return std::uniform_int_distribution<std::uint32_t>(choice.first, choice.last)(random);
    case run_time_choice::kind::exponential:
    {
        std::exponential_distribution<double> distribution(1.0 / std::max(1U, choice.first));
        auto const value = std::min<double>(std::round(distribution(random)), max_run_ms);
        return std::max(1U, static_cast<std::uint32_t>(value));
    }
    case run_time_choice::kind::fixed:
        break;
    }
    return choice.first;
}

} // namespace

std::optional<run_time_choice> parse_run_times(std::string_view text)
{
    constexpr std::string_view exponential = "exp:";
    if (text.starts_with(exponential))
    {
        auto const mean = parse_ms(text.substr(exponential.size()));
        return mean ? std::optional(run_time_choice{
                          .shape = run_time_choice::kind::exponential, .first = *mean, .last = 0})
                    : std::nullopt;
    }
    auto const dash = text.find('-');
    auto const first = parse_ms(text.substr(0, dash));
    if (!first)
    {
        return std::nullopt;
    }
    if (dash == std::string_view::npos)
    {
        return run_time_choice{
            .shape = run_time_choice::kind::fixed, .first = *first, .last = *first};
    }
    auto const last = parse_ms(text.substr(dash + 1));
    if (!last || *last < *first)
    {
        return std::nullopt;
    }
    return run_time_choice{.shape = run_time_choice::kind::uniform, .first = *first, .last = *last};
}

std::vector<planned_job> make_load_plan(load_shape const& shape)
{
    std::vector<planned_job> plan;
    std::mt19937_64 random(shape.seed);
    std::exponential_distribution<double> gap_ms(shape.rate / 1'000.0);
    auto const end = shape.seconds * 1'000.0;
    for (double at = gap_ms(random); at < end; at += gap_ms(random))
    {
        planned_job job{.at = milliseconds_f(at), .run_ms = {}};
        job.run_ms.reserve(shape.tasks);
        for (std::uint32_t i = 0; i < shape.tasks; ++i)
        {
            job.run_ms.push_back(choose(shape.run_times, random));
        }
        plan.push_back(std::move(job));
    }
    return plan;
}

} // namespace filbertroad::standin

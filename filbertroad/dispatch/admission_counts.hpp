#ifndef FILBERTROAD_DISPATCH_ADMISSION_COUNTS_HPP
#define FILBERTROAD_DISPATCH_ADMISSION_COUNTS_HPP

/// Decisions of an entry on the admission of jobs, by priority class. Not thread-safe.
///
///     admission_counts counts;
///     counts.record(0, admission_result::admitted, 0, now);
///     auto const is_limited = counts.is_limited(0, now);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace filbertroad::dispatch
{

enum class admission_result
{
    admitted,
    /// Refused by the admission policy.
    load,
    /// Refused because the job cannot end while its answer is useful.
    too_late,
    /// Refused because no target that the job may use takes work.
    no_target,
};

inline constexpr std::array all_admission_results{
    admission_result::admitted, admission_result::load, admission_result::too_late,
    admission_result::no_target};

[[nodiscard]] constexpr std::string_view to_string(admission_result result)
{
    switch (result)
    {
    case admission_result::admitted:
        return "admitted";
    case admission_result::load:
        return "load";
    case admission_result::too_late:
        return "too_late";
    case admission_result::no_target:
        break;
    }
    return "no_target";
}

class admission_counts
{
public:
    /// `share` is the share of such jobs that is refused at this time, 0 to 1.
    void record(std::uint32_t priority, admission_result result, double share,
                base::steady_time now)
    {
        auto& counted = this->classes[std::min<std::size_t>(priority, priority_classes - 1)];
        ++counted.results[static_cast<std::size_t>(result)];
        counted.share = share;
        if (result == admission_result::load)
        {
            counted.last_refusal = now;
        }
    }

    [[nodiscard]] std::uint64_t total(std::size_t priority_class, admission_result result) const
    {
        return this->classes[priority_class].results[static_cast<std::size_t>(result)];
    }

    /// Refused share at the last decision; 0 if the class is not limited.
    [[nodiscard]] double share(std::size_t priority_class, base::steady_time now) const
    {
        return this->is_limited(priority_class, now) ? this->classes[priority_class].share : 0;
    }

    /// Whether jobs of the class were refused because of the load within `limited_time`.
    [[nodiscard]] bool is_limited(std::size_t priority_class, base::steady_time now) const
    {
        auto const& last = this->classes[priority_class].last_refusal;
        return last && now - *last < limited_time;
    }

    /// Bounds the rate of the events about changes. A caller that was refused returns after this
    /// time at the earliest.
    static constexpr milliseconds limited_time{2'000};

private:
    struct class_counts
    {
        std::array<std::uint64_t, all_admission_results.size()> results{};
        double share = 0;
        std::optional<base::steady_time> last_refusal;
    };

    std::array<class_counts, priority_classes> classes{};
};

} // namespace filbertroad::dispatch

#endif

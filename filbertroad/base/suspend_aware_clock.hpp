#ifndef FILBERTROAD_BASE_SUSPEND_AWARE_CLOCK_HPP
#define FILBERTROAD_BASE_SUSPEND_AWARE_CLOCK_HPP

/// A clock of the machine whose steady time includes time spent suspended. Leases are measured with
/// it: std::chrono::steady_clock stops during a suspension, so that a lease would still look valid
/// after it has expired for all other processes. Thread-safe.
///
///     base::suspend_aware_clock const clock;
///     auto now = clock.steady_now();

#include "filbertroad/base/clock.hpp"

namespace filbertroad::base
{

class suspend_aware_clock final : public clock
{
public:
    [[nodiscard]] steady_time steady_now() const override;
    [[nodiscard]] system_time system_now() const override;
};

} // namespace filbertroad::base

#endif

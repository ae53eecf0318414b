#ifndef FILBERTROAD_BASE_SUSPEND_AWARE_CLOCK_HPP
#define FILBERTROAD_BASE_SUSPEND_AWARE_CLOCK_HPP

/// A clock of the machine whose steady time goes on while the machine is suspended. Leases are
/// measured with it: the usual steady clock stands still in a suspension, so that a lease would
/// look valid after it was over for everybody else.
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

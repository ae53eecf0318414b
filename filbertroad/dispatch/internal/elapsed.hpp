#ifndef FILBERTROAD_DISPATCH_INTERNAL_ELAPSED_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_ELAPSED_HPP

/// Difference of two times in whole milliseconds, rounded towards zero.
///
///     auto age = internal::elapsed(run.started, now);

#include "filbertroad/base/clock.hpp"

namespace filbertroad::dispatch::internal
{

[[nodiscard]] inline std::chrono::milliseconds elapsed(base::steady_time from, base::steady_time to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

} // namespace filbertroad::dispatch::internal

#endif

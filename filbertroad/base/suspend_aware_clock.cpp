#include "filbertroad/base/suspend_aware_clock.hpp"

#include <ctime>

namespace filbertroad::base
{

steady_time suspend_aware_clock::steady_now() const
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return steady_time(std::chrono::duration_cast<steady_time::duration>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

system_time suspend_aware_clock::system_now() const
{
    return std::chrono::system_clock::now();
}

} // namespace filbertroad::base

#include "filbertroad/base/clock.hpp"

namespace filbertroad::base
{

steady_time machine_clock::steady_now() const
{
    return std::chrono::steady_clock::now();
}

system_time machine_clock::system_now() const
{
    return std::chrono::system_clock::now();
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    this->steady += std::chrono::duration_cast<steady_time::duration>(step);
    this->shift_system(step);
}

void manual_clock::shift_system(std::chrono::nanoseconds step)
{
    this->system += std::chrono::duration_cast<system_time::duration>(step);
}

std::uint64_t to_unix_ms(system_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

system_time from_unix_ms(std::uint64_t unix_ms)
{
    return system_time(std::chrono::milliseconds(unix_ms));
}

} // namespace filbertroad::base

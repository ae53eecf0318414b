#include "filbertroad/limits/machine_limits.hpp"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace filbertroad::limits
{
namespace
{

/// Resident set of a process without peers (13 MiB), and room for decoding and fragmentation.
constexpr std::size_t base_bytes = 24 * mib;

} // namespace

std::size_t peer_bytes(std::uint64_t memory_mb)
{
    auto const memory = static_cast<std::size_t>(memory_mb) * mib;
    return std::max(memory - std::min(base_bytes, memory), memory / 2);
}

std::size_t usable_descriptors(std::uint64_t setting, std::size_t granted)
{
    return setting == 0 ? granted : std::min(static_cast<std::size_t>(setting), granted);
}

std::size_t connections_beside(std::size_t all, std::size_t others)
{
    return std::max(all - std::min(all, others), all / 2);
}

std::size_t open_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    {
        return std::numeric_limits<int>::max();
    }
    return limit.rlim_cur;
}

} // namespace filbertroad::limits

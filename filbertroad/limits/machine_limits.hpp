#ifndef FILBERTROAD_LIMITS_MACHINE_LIMITS_HPP
#define FILBERTROAD_LIMITS_MACHINE_LIMITS_HPP

/// Parts of the limits of a process that follow from the memory and the file descriptors of its
/// machine (docs/design/http-limits.md).
///
///     auto const memory = limits::peer_bytes(settings.memory_mb);
///     auto const all = limits::usable_descriptors(settings.file_descriptors,
///                                                 limits::open_descriptor_limit());
///     http.max_connections = limits::connections_beside(all, reserved);
///
/// Thread-safe.

#include <cstddef>
#include <cstdint>

namespace filbertroad::limits
{

inline constexpr std::size_t kib = 1024;
inline constexpr std::size_t mib = 1024 * kib;

/// Descriptors that the platform reserves for files.
inline constexpr std::size_t reserved_descriptors = 200;

/// Listening sockets, timers, standard streams and connections to the servers that a process calls.
inline constexpr std::size_t own_descriptors = 64;

/// Bytes for what peers send, of a machine with `memory_mb` MB.
[[nodiscard]] std::size_t peer_bytes(std::uint64_t memory_mb);

/// The lower of the number in the settings, if it is not 0, and of that granted to the process.
[[nodiscard]] std::size_t usable_descriptors(std::uint64_t setting, std::size_t granted);

/// What is left of `all` after `others`, and at least half of it where the limit is very low.
[[nodiscard]] std::size_t connections_beside(std::size_t all, std::size_t others);

/// Number of file descriptors that the operating system grants this process.
[[nodiscard]] std::size_t open_descriptor_limit();

} // namespace filbertroad::limits

#endif

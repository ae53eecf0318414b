#ifndef FILBERTROAD_BASE_HASH_HPP
#define FILBERTROAD_BASE_HASH_HPP

/// Hashes that are identical on every machine and in every version: XXH64 to distribute keys over
/// shards, SHA-256 to compare bodies.
///
///     auto shard = base::hash64(key) % shards;
///     auto digest = base::sha256(body);

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertroad::base
{

/// XXH64 of `text`. Thread-safe.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// SHA-256 of `text` as 32 bytes, not as hexadecimal digits. Thread-safe.
[[nodiscard]] std::string sha256(std::string_view text);

} // namespace filbertroad::base

#endif

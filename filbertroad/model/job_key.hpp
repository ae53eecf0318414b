#ifndef FILBERTROAD_MODEL_JOB_KEY_HPP
#define FILBERTROAD_MODEL_JOB_KEY_HPP

/// Identity of a submission: the route and the caller's key. The key starts with its creation time.
///
///     auto key = model::parse_key("1790000000000-order-17");
///     if (!key) return bad_request(key.error().detail);
///     auto age = clock.system_now() - key.value().created;

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"

#include <compare>
#include <string>
#include <string_view>

namespace filbertroad::model
{

/// Longest suffix of a key, in characters.
inline constexpr std::size_t max_key_suffix = 64;

/// Longest name of a route, pool, team, zone, service or target, in characters.
inline constexpr std::size_t max_name = 64;

/// Most tasks in one job.
inline constexpr std::uint32_t max_tasks = 270;

enum class key_error
{
    no_creation_time,
    bad_suffix,
};

/// A valid key and the creation time that it starts with.
struct job_key
{
    std::string text;
    base::system_time created;
};

/// Parses `UNIX_MS-SUFFIX`, where UNIX_MS is a Unix time of 13 digits in milliseconds and SUFFIX is
/// 1 to 64 characters of [A-Za-z0-9_.-]. Fails with the part that is malformed.
[[nodiscard]] base::result<job_key, base::error<key_error>> parse_key(std::string_view text);

/// Whether `name` is 1 to 64 characters of [A-Za-z0-9_.-].
[[nodiscard]] bool is_valid_name(std::string_view name);

/// Identity of a submission. Submissions with equal route and key are the same submission.
struct job_id
{
    std::string route;
    std::string key;

    // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(job_id const&, job_id const&) = default;
};

/// Name and incarnation of a process; a restarted process has a greater incarnation.
struct process_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(process_id const&, process_id const&) = default;
};

/// Index of the shard of a service that owns `key`. `shards` is the number of shards, at least 1.
[[nodiscard]] std::uint32_t shard_of_key(std::string_view key, std::uint32_t shards);

} // namespace filbertroad::model

/// Hash for unordered containers.
template <>
struct std::hash<filbertroad::model::job_id>
{
    std::size_t operator()(filbertroad::model::job_id const& id) const noexcept;
};

template <>
struct std::hash<filbertroad::model::process_id>
{
    std::size_t operator()(filbertroad::model::process_id const& id) const noexcept;
};

#endif

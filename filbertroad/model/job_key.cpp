#include "filbertroad/model/job_key.hpp"

#include "filbertroad/base/hash.hpp"

#include <algorithm>
#include <charconv>

namespace filbertroad::model
{
namespace
{

constexpr std::size_t unix_ms_digits = 13;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '.' || c == '-';
}

bool is_name_with_max_length(std::string_view name, std::size_t limit)
{
    return !name.empty() && name.size() <= limit &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

} // namespace

base::result<job_key, base::error<key_error>> parse_key(std::string_view text)
{
    std::uint64_t unix_ms = 0;
    auto const* const begin = text.data();
    auto const* const expected_end = begin + std::min(unix_ms_digits, text.size());
    auto const [end, code] = std::from_chars(begin, expected_end, unix_ms);
    if (code != std::errc() || end != begin + unix_ms_digits || text.size() == unix_ms_digits ||
        text[unix_ms_digits] != '-')
    {
        return base::error<key_error>{key_error::no_creation_time,
                                      "key must start with 13 digits of Unix milliseconds and '-'"};
    }
    if (!is_name_with_max_length(text.substr(unix_ms_digits + 1), max_key_suffix))
    {
        return base::error<key_error>{
            key_error::bad_suffix,
            "key must end in 1 to 64 characters of [A-Za-z0-9_.-] after the time"};
    }
    return job_key{std::string(text), base::from_unix_ms(unix_ms)};
}

bool is_valid_name(std::string_view name)
{
    return is_name_with_max_length(name, max_name);
}

std::uint32_t shard_of_key(std::string_view key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(base::hash64(key) % shards);
}

} // namespace filbertroad::model

std::size_t std::hash<filbertroad::model::job_id>::operator()(
    filbertroad::model::job_id const& id) const noexcept
{
    return filbertroad::base::hash64(id.key, filbertroad::base::hash64(id.route));
}

std::size_t std::hash<filbertroad::model::process_id>::operator()(
    filbertroad::model::process_id const& id) const noexcept
{
    return filbertroad::base::hash64(id.name, id.incarnation);
}

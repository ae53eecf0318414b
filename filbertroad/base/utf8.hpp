#ifndef FILBERTROAD_BASE_UTF8_HPP
#define FILBERTROAD_BASE_UTF8_HPP

/// UTF-8 checks and repair. JSON and link messages must be UTF-8, but paths, queries, task results
/// of targets and records of other programs may contain arbitrary bytes.
///
///     if (!base::is_utf8(record.key)) reject(record);

#include <boost/locale/utf.hpp>
#include <string>
#include <string_view>

namespace filbertroad::base
{

/// Calls `visit(bytes, true)` for each code point of `text` and `visit(byte, false)` for each byte
/// that is not part of valid UTF-8.
template <class Visitor>
void for_each_code_point(std::string_view text, Visitor const& visit)
{
    using utf = boost::locale::utf::utf_traits<char>;
    auto const* position = text.data();
    auto const* const end = position + text.size();
    while (position != end)
    {
        auto const* const begin = position;
        auto const code_point = utf::decode(position, end);
        bool const valid = code_point != boost::locale::utf::illegal &&
                           code_point != boost::locale::utf::incomplete;
        position = valid ? position : begin + 1;
        visit(std::string_view(begin, static_cast<std::size_t>(position - begin)), valid);
    }
}

[[nodiscard]] inline bool is_utf8(std::string_view text)
{
    bool all_valid = true;
    for_each_code_point(text,
                        [&](std::string_view, bool valid) { all_valid = all_valid && valid; });
    return all_valid;
}

/// Returns `text` with each byte that is not valid UTF-8 replaced by U+FFFD.
[[nodiscard]] inline std::string to_utf8(std::string_view text)
{
    constexpr std::string_view replacement = "\xEF\xBF\xBD";
    std::string out;
    for_each_code_point(text, [&](std::string_view bytes, bool valid)
                        { out += valid ? bytes : replacement; });
    return out;
}

} // namespace filbertroad::base

#endif

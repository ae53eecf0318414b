#include "filbertroad/telemetry/trace_context.hpp"

#include <algorithm>
#include <charconv>

namespace filbertroad::telemetry
{
namespace
{

constexpr std::size_t id_digits = 16;
constexpr std::size_t traceparent_length = 55;
constexpr std::uint8_t sampled_flag = 1;

bool is_lower_hex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

template <class Number>
std::optional<Number> parse_hex(std::string_view text)
{
    Number value = 0;
    if (!std::all_of(text.begin(), text.end(), is_lower_hex) ||
        std::from_chars(text.data(), text.data() + text.size(), value, 16).ec != std::errc())
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text)
{
    // Versions after 00 may append further fields, separated by '-'. Version ff is invalid.
    if (text.size() < traceparent_length || text[2] != '-' || text[35] != '-' || text[52] != '-')
    {
        return std::nullopt;
    }
    auto const version = parse_hex<std::uint8_t>(text.substr(0, 2));
    auto const high = parse_hex<std::uint64_t>(text.substr(3, id_digits));
    auto const low = parse_hex<std::uint64_t>(text.substr(19, id_digits));
    auto const span = parse_hex<std::uint64_t>(text.substr(36, id_digits));
    auto const flags = parse_hex<std::uint8_t>(text.substr(53, 2));
    if (!version || !high || !low || !span || !flags || *version == 0xff ||
        (*high == 0 && *low == 0) || *span == 0)
    {
        return std::nullopt;
    }
    bool const has_extra_fields = text.size() > traceparent_length;
    if (has_extra_fields && (*version == 0 || text[traceparent_length] != '-'))
    {
        return std::nullopt;
    }
    return trace_context{{*high, *low}, *span, (*flags & sampled_flag) != 0};
}

std::string span_id_text(std::uint64_t span_id)
{
    std::array<char, id_digits> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), span_id, 16).ptr;
    std::string const text(digits.data(), end);
    return std::string(id_digits - text.size(), '0') + text;
}

std::string trace_id_text(trace_context const& context)
{
    return span_id_text(context.trace_id[0]) + span_id_text(context.trace_id[1]);
}

std::string to_traceparent(trace_context const& context)
{
    return "00-" + trace_id_text(context) + "-" + span_id_text(context.span_id) +
           (context.sampled ? "-01" : "-00");
}

} // namespace filbertroad::telemetry

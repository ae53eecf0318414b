#include "filbertroad/standin/control_body.hpp"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace filbertroad::standin
{
namespace json = boost::json;

namespace
{

/// Each overload stores `value`, or returns a description of the expected value if `value` has the
/// wrong type or range.
struct field_writer
{
    json::value const& value;

    char const* operator()(bool* destination) const
    {
        if (!this->value.is_bool())
        {
            return "true or false";
        }
        *destination = this->value.get_bool();
        return nullptr;
    }

    char const* operator()(double* destination) const
    {
        json::error_code code;
        auto const number = this->value.to_number<double>(code);
        if (code || !(number >= 0))
        {
            return "a number of at least 0";
        }
        *destination = number;
        return nullptr;
    }

    char const* operator()(std::uint32_t* destination) const
    {
        json::error_code code;
        auto const number = this->value.to_number<std::uint32_t>(code);
        if (code)
        {
            return "a whole number from 0 to 4294967295";
        }
        *destination = number;
        return nullptr;
    }

    char const* operator()(std::optional<std::uint32_t>* destination) const
    {
        if (this->value.is_null())
        {
            destination->reset();
            return nullptr;
        }
        std::uint32_t number = 0;
        if (auto const* const expected = (*this)(&number))
        {
            return expected;
        }
        *destination = number;
        return nullptr;
    }
};

struct field_reader
{
    json::value operator()(std::optional<std::uint32_t> const* source) const
    {
        return *source ? json::value(**source) : json::value(nullptr);
    }

    template <class Value>
    json::value operator()(Value const* source) const
    {
        return *source;
    }
};

} // namespace

std::optional<std::string> apply_control(std::string_view body,
                                         std::span<control_field const> fields)
{
    json::error_code code;
    auto const parsed = json::parse(body, code);
    if (code || !parsed.is_object())
    {
        return "request body: expected a JSON object";
    }
    for (auto const& member : parsed.get_object())
    {
        std::string_view const name(member.key().data(), member.key().size());
        auto const field =
            std::find_if(fields.begin(), fields.end(),
                         [&](control_field const& candidate) { return candidate.name == name; });
        if (field == fields.end())
        {
            return "unknown field '" + std::string(name) + "'";
        }
        if (auto const* const expected = std::visit(field_writer{member.value()}, field->value))
        {
            return std::string(name) + ": expected " + expected;
        }
    }
    return std::nullopt;
}

std::string control_json(std::span<control_field const> fields)
{
    json::object object;
    for (auto const& field : fields)
    {
        object[json::string_view(field.name.data(), field.name.size())] =
            std::visit(field_reader{}, field.value);
    }
    return json::serialize(object);
}

net::http_response error_response(unsigned status, std::string_view code, std::string_view detail)
{
    json::object const body{{"error", {{"code", code}, {"detail", detail}}}};
    return {.status = status, .body = json::serialize(body)};
}

} // namespace filbertroad::standin

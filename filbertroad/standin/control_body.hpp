#ifndef FILBERTROAD_STANDIN_CONTROL_BODY_HPP
#define FILBERTROAD_STANDIN_CONTROL_BODY_HPP

/// JSON body of `POST /control`, by which tests change settings of a running stand-in.
///
///     auto changed = settings;
///     std::array fields{standin::control_field{"outage", &changed.outage}};
///     auto error = standin::apply_control(body, fields);
///     if (error) return bad_request(*error);
///     settings = changed;

#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace filbertroad::standin
{

/// Name of a setting and the variable that holds its value. Numbers must not be negative.
struct control_field
{
    std::string_view name;
    std::variant<bool*, double*, std::uint32_t*, std::optional<std::uint32_t>*> value;
};

/// Stores the values of the JSON object `body` in their fields; null clears an optional field.
/// Returns an error message that names the invalid field, if any. Fields before it may have been
/// stored already.
[[nodiscard]] std::optional<std::string> apply_control(std::string_view body,
                                                       std::span<control_field const> fields);

/// Serializes the current values of the fields as a JSON object.
[[nodiscard]] std::string control_json(std::span<control_field const> fields);

/// Response with the body `{"error":{"code":..,"detail":..}}`.
[[nodiscard]] net::http_response error_response(unsigned status, std::string_view code,
                                                std::string_view detail);

} // namespace filbertroad::standin

#endif

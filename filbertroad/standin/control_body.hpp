#ifndef FILBERTROAD_STANDIN_CONTROL_BODY_HPP
#define FILBERTROAD_STANDIN_CONTROL_BODY_HPP

/// Settings of a stand-in that tests change while it runs, by JSON over `POST /control`.
///
///     auto changed = settings;
///     std::array fields{standin::control_field{"outage", &changed.outage}};
///     auto fault = standin::apply_control(body, fields);
///     if (fault) return bad_request(*fault);
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

/// A setting and where its value goes. Numbers must not be negative.
struct control_field
{
    std::string_view name;
    std::variant<bool*, double*, std::uint32_t*, std::optional<std::uint32_t>*> value;
};

/// Writes the values of the JSON object `body` to their fields. Returns what is wrong, by the name
/// of the field; some fields may have been written by then. null clears an optional field.
[[nodiscard]] std::optional<std::string> apply_control(std::string_view body,
                                                       std::span<control_field const> fields);

/// The fields as a JSON object.
[[nodiscard]] std::string control_json(std::span<control_field const> fields);

/// Answer `{"error":{"code":..,"detail":..}}`.
[[nodiscard]] net::http_response error_response(unsigned status, std::string_view code,
                                                std::string_view detail);

} // namespace filbertroad::standin

#endif

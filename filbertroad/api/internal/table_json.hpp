#ifndef FILBERTROAD_API_INTERNAL_TABLE_JSON_HPP
#define FILBERTROAD_API_INTERNAL_TABLE_JSON_HPP

/// The tables of operators as JSON, with the field names of record.proto, and their checks.

#include "filbertroad/api/internal/api_error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::api::internal
{

/// `{"version":7,"table":{"routes":[...]}}`.
[[nodiscard]] std::string to_json(versioned_table const& table);

/// Reads `{"routes":[...]}`, `{"pools":[...]}` or `{"teams":[...]}` and checks every field.
/// References between tables are checked by the service.
[[nodiscard]] std::optional<api_error> read_table(table_kind kind, std::string const& body,
                                                  table_value& out);

} // namespace filbertroad::api::internal

#endif

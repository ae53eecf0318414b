#ifndef FILBERTROAD_API_INTERNAL_TABLE_JSON_HPP
#define FILBERTROAD_API_INTERNAL_TABLE_JSON_HPP

/// Conversion of the operators' tables to and from JSON, with the field names of record.proto, and
/// their validation.

#include "filbertroad/api/internal/api_error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::api::internal
{

/// Returns `{"version":7,"table":{"routes":[...]}}`.
[[nodiscard]] std::string to_json(versioned_table const& table);

/// Parses `{"routes":[...]}`, `{"pools":[...]}` or `{"teams":[...]}` into `out` and validates every
/// field. Returns the first error. References between tables are validated by the service.
[[nodiscard]] std::optional<api_error> read_table(table_kind kind, std::string const& body,
                                                  table_value& out);

} // namespace filbertroad::api::internal

#endif

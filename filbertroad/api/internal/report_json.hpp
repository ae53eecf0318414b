#ifndef FILBERTROAD_API_INTERNAL_REPORT_JSON_HPP
#define FILBERTROAD_API_INTERNAL_REPORT_JSON_HPP

/// Responses as JSON; docs/api.md describes the fields.

#include "filbertroad/api/entry_service.hpp"

#include <string>

namespace filbertroad::api::internal
{

[[nodiscard]] bool is_ended(wire::job_state state);

/// Converts a job report to JSON; `with_history` adds the history of its tasks. A result body that
/// is not UTF-8 is encoded as `body_base64`.
[[nodiscard]] std::string to_json(wire::job_report const& report, bool with_history);

[[nodiscard]] std::string to_json(region_status const& status);

} // namespace filbertroad::api::internal

#endif

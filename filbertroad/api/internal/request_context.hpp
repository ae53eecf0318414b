#ifndef FILBERTROAD_API_INTERNAL_REQUEST_CONTEXT_HPP
#define FILBERTROAD_API_INTERNAL_REQUEST_CONTEXT_HPP

/// State of a request in the filter chain. Each filter adds the fields that it parsed or checked.

#include "filbertroad/api/entry_service.hpp"
#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace filbertroad::api::internal
{

enum class operation
{
    submit,
    query,
    acknowledge,
    cancel,
    explain,
    get_table,
    put_table,
    set_zone,
    set_target,
    get_status,
    get_metrics,
    get_page,
};

/// Returns true for operations of callers, which need a team token, and false for those of
/// operators.
[[nodiscard]] constexpr bool is_for_callers(operation op)
{
    return op <= operation::explain;
}

/// Validated command for the service.
using command = std::variant<std::monostate, wire::submit_request, wire::job_query, publish_request,
                             service_state_request>;

struct request_context
{
    net::http_request request;

    // Set by parse_filter.
    operation op = operation::get_status;
    std::string route;
    std::string key;
    /// Name of the zone or target.
    std::string name;
    table_kind table = table_kind::routes;
    std::uint32_t wait_ms = 0;
    std::optional<std::uint64_t> base;
    std::string change_id;
    std::string author;

    /// Set by authenticate_filter; empty for operators.
    std::string team;

    /// Set by validate_filter.
    internal::command command;
};

} // namespace filbertroad::api::internal

#endif

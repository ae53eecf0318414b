#ifndef FILBERTROAD_API_ENTRY_SERVICE_HPP
#define FILBERTROAD_API_ENTRY_SERVICE_HPP

/// Interface between the HTTP API and the entry process. The process implements entry_service;
/// http_api validates each request and calls the service.
///
///     class entry final : public api::entry_service { ... };
///     api::http_api frontend(entry, metrics, events, clock, options);
///     frontend.handle(request, respond);
///
/// Implementations must be thread safe. Each handler is called exactly once, from any thread,
/// possibly before the function returns. Names, keys, tokens and sizes in the arguments have been
/// validated. The existence of a route, team or zone has not been checked.

#include "filbertroad/base/result.hpp"
#include "filbertroad/wire/link.pb.h"
#include "filbertroad/wire/record.pb.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertroad::api
{

/// Receives a response whose body is `job` or `error`. Any other body is a program error: the
/// caller gets HTTP status 500 with not_run "unknown".
using job_handler = std::function<void(wire::response)>;

/// One of the three tables that operators publish: routes, pools or teams.
using table_value = std::variant<wire::routes_table, wire::pools_table, wire::teams_table>;

enum class table_kind
{
    routes,
    pools,
    teams,
};

struct versioned_table
{
    table_value table;
    /// Log offset of the last accepted change; 0 if there was none.
    std::uint64_t version = 0;
};

/// Replaces one table.
struct publish_request
{
    table_value table;
    /// Version that the new table is based on.
    std::uint64_t base = 0;
    /// Idempotency key, unique to this change. A request with the same change_id is a retry of it.
    std::string change_id;
    std::string author;
};

/// Takes a zone or target in or out of service.
struct service_state_request
{
    std::string name;
    bool in_service = true;
    /// Version that the change is based on; if empty, the current version at the entry.
    std::optional<std::uint64_t> base;
    std::string change_id;
    std::string author;
};

enum class change_error
{
    /// Another change was accepted first and produced `current_version`.
    conflict,
    /// The tables do not allow the change, for example a route to a pool that does not exist.
    invalid,
    /// The change was not appended to the log.
    unavailable,
    /// The change may have been appended to the log. A retry with the same change_id is safe.
    outcome_unknown,
};

struct change_failure
{
    change_error code;
    std::string detail;
    std::uint64_t current_version = 0;
};

/// Receives the version that an accepted change produced, or the failure. On success, the entry has
/// already read the change back from the log.
using change_handler = std::function<void(base::result<std::uint64_t, change_failure>)>;

/// State of all entries of the region, collected by one of them.
struct region_status
{
    std::string region;
    /// Name of the entry that collected the status.
    std::string collected_by;
    /// Number of the membership view.
    std::uint64_t view = 0;
    /// Log offset of the last record that changed the control state.
    std::uint64_t version = 0;
    std::uint64_t routes_version = 0;
    std::uint64_t pools_version = 0;
    std::uint64_t teams_version = 0;
    std::uint32_t registered_agents = 0;
    /// Entries that replied in time, including the collecting entry.
    std::vector<wire::status_reply> entries;
    /// Members of the view that did not reply.
    std::vector<wire::member> unresponsive;
    /// Zones and targets that have ever been taken out of service, with their present state.
    std::vector<wire::service_state> zones;
    std::vector<wire::service_state> targets;
};

using status_handler = std::function<void(region_status)>;

class entry_service
{
public:
    virtual ~entry_service() = default;

    /// Submits a job to its owner, which may be this entry. If wait_ms is 0, `handler` is called
    /// immediately; otherwise at the end of the job or after wait_ms.
    virtual void submit(wire::submit_request request, job_handler handler) = 0;
    virtual void query(wire::job_query query, job_handler handler) = 0;
    virtual void cancel(wire::job_query query, job_handler handler) = 0;
    virtual void acknowledge(wire::job_query query, job_handler handler) = 0;

    /// Returns the team that `token` authenticates; empty if the token is unknown.
    [[nodiscard]] virtual std::optional<wire::team> team_by_token(std::string_view token) const = 0;

    [[nodiscard]] virtual versioned_table table(table_kind kind) const = 0;
    virtual void publish(publish_request request, change_handler handler) = 0;
    virtual void set_zone(service_state_request request, change_handler handler) = 0;
    virtual void set_target(service_state_request request, change_handler handler) = 0;

    /// Queries all entries; those that do not reply within 500 ms are listed as unresponsive.
    virtual void status(status_handler handler) = 0;
};

} // namespace filbertroad::api

#endif

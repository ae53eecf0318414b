#ifndef FILBERTROAD_API_ENTRY_SERVICE_HPP
#define FILBERTROAD_API_ENTRY_SERVICE_HPP

/// What the HTTP requests of callers and operators need from the entry process. The process
/// implements this interface; http_api checks each request and calls it.
///
///     class entry final : public api::entry_service { ... };
///     api::http_api door(entry, metrics, events, clock, options);
///     door.handle(request, respond);
///
/// Functions may be called from several threads. Each handler is called exactly once, from any
/// thread, possibly before the function returns. Names, keys, tokens and sizes in the arguments
/// have been checked; whether a route, team or zone exists has not.

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

/// Takes a response whose body is `job` or `error`. Any other body is answered as an error of the
/// program with not_run "unknown".
using job_handler = std::function<void(wire::response)>;

/// One of the three tables that operators publish.
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
    /// Offset of the last accepted change; 0 if there was none.
    std::uint64_t version = 0;
};

/// Replaces one table.
struct publish_request
{
    table_value table;
    /// Version that the new table was made from.
    std::uint64_t base = 0;
    /// Unique for this change. A repeat with the same change_id is the same change.
    std::string change_id;
    std::string author;
};

/// Takes a zone or target in or out of service.
struct service_request
{
    std::string name;
    bool in_service = true;
    /// Version of the zone or target; empty stands for the one that is current at the entry.
    std::optional<std::uint64_t> base;
    std::string change_id;
    std::string author;
};

enum class change_error
{
    /// Another change came first; `current_version` is the version that it made.
    conflict,
    /// The tables do not allow the change, for example a route to a pool that does not exist.
    invalid,
    /// The change did not reach the log.
    unavailable,
    /// The change may have reached the log; repeating it with the same change_id is safe.
    outcome_unknown,
};

struct change_failure
{
    change_error code;
    std::string detail;
    std::uint64_t current_version = 0;
};

/// Takes the version that an accepted change made. It is called when the entry has read the change
/// back from the log.
using change_handler = std::function<void(base::result<std::uint64_t, change_failure>)>;

/// State of all entries of the region as seen by one of them.
struct region_status
{
    std::string region;
    /// Name of the entry that collected the status.
    std::string collected_by;
    std::uint64_t view = 0;
    /// Offset of the last record that changed the control state.
    std::uint64_t version = 0;
    std::uint64_t routes_version = 0;
    std::uint64_t pools_version = 0;
    std::uint64_t teams_version = 0;
    std::uint32_t registered_agents = 0;
    /// Entries that answered in time, the collecting one included.
    std::vector<wire::status_reply> entries;
    /// Members of the view that did not answer.
    std::vector<wire::member> unresponsive;
    /// Zones and targets that were ever taken out of service.
    std::vector<wire::service_state> zones;
    std::vector<wire::service_state> targets;
};

using status_handler = std::function<void(region_status)>;

class entry_service
{
public:
    virtual ~entry_service() = default;

    /// Submits a job, here or at its owner. Answered at once if wait_ms is 0, else at the end of
    /// the job or after wait_ms.
    virtual void submit(wire::submit_request request, job_handler handler) = 0;
    virtual void query(wire::job_query query, job_handler handler) = 0;
    virtual void cancel(wire::job_query query, job_handler handler) = 0;
    virtual void acknowledge(wire::job_query query, job_handler handler) = 0;

    /// The team whose callers send `token`.
    [[nodiscard]] virtual std::optional<wire::team> team_by_token(std::string_view token) const = 0;

    [[nodiscard]] virtual versioned_table table(table_kind kind) const = 0;
    virtual void publish(publish_request request, change_handler handler) = 0;
    virtual void set_zone(service_request request, change_handler handler) = 0;
    virtual void set_target(service_request request, change_handler handler) = 0;

    /// Asks all entries; those that are silent for 1 s are listed as such.
    virtual void status(status_handler handler) = 0;
};

} // namespace filbertroad::api

#endif

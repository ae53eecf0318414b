#ifndef FILBERTROAD_DISPATCH_CONFIGURATION_CHECK_HPP
#define FILBERTROAD_DISPATCH_CONFIGURATION_CHECK_HPP

/// Checks a configuration before an operator sends it: entries that can never match, limits that
/// contradict each other, and the differences from the configuration in force. Pure functions.
///
///     for (auto const& item : dispatch::check_configuration(next)) print(item.path, item.message);
///     for (auto const& change : dispatch::compare_configurations(in_force, next)) print(change);

#include "filbertroad/dispatch/control_snapshot.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::dispatch
{

/// A route with the fields that only the check uses.
struct configured_route
{
    route settings;
    /// Time after which the platform ends a request of the route; absent if there is no limit.
    std::optional<milliseconds> timeout;
};

struct configured_service
{
    std::string name{};
    std::string health_path{};
    std::optional<std::int64_t> max_connections{};
    bool enforces_capacity = false;
    bool is_spare = false;
};

/// Limits for clients; absent ones are not configured.
struct configured_client_limits
{
    std::optional<std::int64_t> max_header_bytes;
    std::optional<std::int64_t> max_body_bytes;
    std::optional<milliseconds> header_timeout;
    std::optional<milliseconds> idle_timeout;
};

struct configuration
{
    std::uint64_t version = 0;
    std::vector<configured_route> routes;
    std::vector<configured_service> services;
    configured_client_limits limits;
};

enum class finding_severity
{
    /// The configuration is valid, but an entry has no effect or probably not the intended one.
    warning,
    /// The configuration must not be sent.
    error,
};

struct finding
{
    finding_severity severity = finding_severity::warning;
    /// Path of the field, such as `routes[2].service`.
    std::string path;
    std::string message;
};

/// Findings about a configuration by itself, in the order of its entries.
[[nodiscard]] std::vector<finding> check_configuration(configuration const& checked);

/// Error if the version of `next` is not above that of `in_force`.
[[nodiscard]] std::optional<finding> check_version(configuration const& in_force,
                                                   configuration const& next);

/// One line for each route, service and limit that was added, removed or changed. Routes and
/// services are compared by name.
[[nodiscard]] std::vector<std::string> compare_configurations(configuration const& in_force,
                                                              configuration const& next);

} // namespace filbertroad::dispatch

#endif

#include "filbertroad/dispatch/configuration_check.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace filbertroad::dispatch
{
namespace
{

/// A field of an entry as text, for comparison and display.
using field_list = std::vector<std::pair<std::string_view, std::string>>;

class finding_list
{
public:
    void warn(std::string path, std::string message)
    {
        this->findings.push_back({finding_severity::warning, std::move(path), std::move(message)});
    }

    void fail(std::string path, std::string message)
    {
        this->findings.push_back({finding_severity::error, std::move(path), std::move(message)});
    }

    [[nodiscard]] std::vector<finding> take() { return std::exchange(this->findings, {}); }

private:
    std::vector<finding> findings;
};

std::string element(std::string_view list, std::size_t index, std::string_view field)
{
    return std::string(list) + "[" + std::to_string(index) + "]." + std::string(field);
}

std::string quoted(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

std::string number_text(double number)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", number);
    return text.data();
}

template <class Value>
std::string optional_text(std::optional<Value> const& value)
{
    if (!value)
    {
        return "none";
    }
    if constexpr (std::is_same_v<Value, milliseconds>)
    {
        return std::to_string(value->count()) + " ms";
    }
    else
    {
        return std::to_string(*value);
    }
}

/// Whether a request can match the route at all.
void check_match(route const& checked, std::size_t index, finding_list& findings)
{
    if (checked.host.empty() || checked.host.find_first_of(":/ ") != std::string::npos)
    {
        findings.fail(element("routes", index, "host"),
                      "never matches: expected a host name without a port");
    }
    if (!checked.path_prefix.starts_with('/'))
    {
        findings.fail(element("routes", index, "path-prefix"),
                      "never matches: every path begins with \"/\"");
    }
    else if (!checked.path_prefix.ends_with('/'))
    {
        findings.warn(element("routes", index, "path-prefix"),
                      "does not end with \"/\": the id of a job follows it directly");
    }
}

void check_route_limits(configured_route const& checked, std::size_t index, finding_list& findings)
{
    auto const& settings = checked.settings;
    if (checked.timeout && settings.target_latency > *checked.timeout)
    {
        findings.fail(element("routes", index, "target-latency-ms"),
                      "is above timeout-ms: every job ends before its objective");
    }
    if (settings.max_attempts == 0)
    {
        findings.warn(element("routes", index, "max-attempts"),
                      "is 0: the first failed run fails the job, as with 1");
    }
    if (settings.stretch < 1)
    {
        findings.warn(element("routes", index, "stretch"),
                      "is below 1: the objective can be less than the run time");
    }
    if (settings.target_latency == milliseconds(0) && settings.stretch <= 1)
    {
        findings.warn(element("routes", index, "target-latency-ms"),
                      "leaves no time beside the run time: every job is late");
    }
}

void check_routes(configuration const& checked, finding_list& findings)
{
    std::map<std::pair<std::string, std::string>, std::size_t> first_with_prefix;
    std::map<std::string, std::size_t> first_with_name;
    std::set<std::string_view> services;
    for (auto const& service : checked.services)
    {
        services.insert(service.name);
    }
    for (std::size_t index = 0; index < checked.routes.size(); ++index)
    {
        auto const& settings = checked.routes[index].settings;
        check_match(settings, index, findings);
        auto const [same, is_first] =
            first_with_prefix.try_emplace(std::pair(settings.host, settings.path_prefix), index);
        if (!is_first)
        {
            findings.fail(element("routes", index, "path-prefix"),
                          "never matches: hidden by routes[" + std::to_string(same->second) +
                              "], which has the same host and prefix");
        }
        auto const [named, is_first_name] = first_with_name.try_emplace(settings.name, index);
        if (!is_first_name)
        {
            findings.fail(element("routes", index, "name"),
                          "is also the name of routes[" + std::to_string(named->second) + "]");
        }
        if (!services.contains(settings.service))
        {
            findings.fail(element("routes", index, "service"),
                          "names no service: " + quoted(settings.service));
        }
        check_route_limits(checked.routes[index], index, findings);
    }
}

void check_services(configuration const& checked, finding_list& findings)
{
    std::set<std::string_view> used;
    for (auto const& item : checked.routes)
    {
        used.insert(item.settings.service);
    }
    std::set<std::string_view> seen;
    for (std::size_t index = 0; index < checked.services.size(); ++index)
    {
        auto const& service = checked.services[index];
        if (!seen.insert(service.name).second)
        {
            findings.fail(element("services", index, "name"), "is used twice");
        }
        bool const is_used = used.contains(service.name);
        if (!is_used && !service.is_spare)
        {
            findings.warn(element("services", index, "name"),
                          "no route names it: " + quoted(service.name));
        }
        if (is_used && service.is_spare)
        {
            findings.fail(element("services", index, "spare"),
                          "its machines are off, but a route sends jobs to it");
        }
        if (!service.health_path.empty() && !service.health_path.starts_with('/'))
        {
            findings.fail(element("services", index, "health-path"),
                          "never matches: every path begins with \"/\"");
        }
        if (service.max_connections == 0)
        {
            findings.fail(element("services", index, "max-connections"),
                          "is 0: no target of the service can be called");
        }
    }
}

void check_client_limits(configured_client_limits const& limits, finding_list& findings)
{
    // A smaller limit refuses a job whose payload has the largest allowed size.
    constexpr std::int64_t min_body_bytes = 4'096;
    constexpr std::int64_t min_header_bytes = 256;
    if (limits.header_timeout && limits.idle_timeout &&
        *limits.header_timeout > *limits.idle_timeout)
    {
        findings.fail("limits.header-timeout-ms",
                      "is above idle-timeout-ms: a slow client counts as idle first");
    }
    for (auto const& [path, timeout] :
         {std::pair("limits.header-timeout-ms", limits.header_timeout),
          std::pair("limits.idle-timeout-ms", limits.idle_timeout)})
    {
        if (timeout && *timeout == milliseconds(0))
        {
            findings.fail(path, "is 0: no client can send a request");
        }
    }
    if (limits.max_body_bytes && *limits.max_body_bytes < min_body_bytes)
    {
        findings.warn("limits.max-body-bytes", "is below the size of a job with a full payload");
    }
    if (limits.max_header_bytes && *limits.max_header_bytes < min_header_bytes)
    {
        findings.warn("limits.max-header-bytes", "is below the size of an ordinary header");
    }
}

field_list fields_of(configured_route const& item)
{
    auto const& settings = item.settings;
    return {{"host", quoted(settings.host)},
            {"path-prefix", quoted(settings.path_prefix)},
            {"service", quoted(settings.service)},
            {"priority", std::to_string(settings.priority)},
            {"max-attempts", std::to_string(settings.max_attempts)},
            {"stretch", number_text(settings.stretch)},
            {"target-latency-ms", std::to_string(settings.target_latency.count())},
            {"timeout-ms", optional_text(item.timeout)}};
}

field_list fields_of(configured_service const& item)
{
    return {{"health-path", quoted(item.health_path)},
            {"max-connections", optional_text(item.max_connections)},
            {"enforce-capacity", item.enforces_capacity ? "true" : "false"},
            {"spare", item.is_spare ? "true" : "false"}};
}

field_list fields_of(configured_client_limits const& limits)
{
    return {{"max-header-bytes", optional_text(limits.max_header_bytes)},
            {"max-body-bytes", optional_text(limits.max_body_bytes)},
            {"header-timeout-ms", optional_text(limits.header_timeout)},
            {"idle-timeout-ms", optional_text(limits.idle_timeout)}};
}

/// Appends a line for each field that differs. Both lists have the same fields.
void compare_fields(std::string const& entry, field_list const& before, field_list const& after,
                    std::vector<std::string>& changes)
{
    for (std::size_t index = 0; index < before.size(); ++index)
    {
        if (before[index].second != after[index].second)
        {
            changes.push_back("changed " + entry + "." + std::string(before[index].first) + ": " +
                              before[index].second + " -> " + after[index].second);
        }
    }
}

/// Entries by name; of entries with the same name the first counts, as for requests.
template <class Entry, class NameOf>
std::map<std::string, Entry const*> by_name(std::vector<Entry> const& entries, NameOf name_of)
{
    std::map<std::string, Entry const*> result;
    for (auto const& entry : entries)
    {
        result.try_emplace(name_of(entry), &entry);
    }
    return result;
}

/// `entry_kind` begins each line; it ends with a space.
template <class Entry, class NameOf>
void compare_entries(std::string const& entry_kind, std::vector<Entry> const& before,
                     std::vector<Entry> const& after, NameOf name_of,
                     std::vector<std::string>& changes)
{
    auto const old_entries = by_name(before, name_of);
    auto const new_entries = by_name(after, name_of);
    for (auto const& [name, entry] : old_entries)
    {
        if (!new_entries.contains(name))
        {
            auto const label = entry_kind + name;
            changes.push_back("removed " + label);
        }
    }
    for (auto const& [name, entry] : new_entries)
    {
        auto const label = entry_kind + name;
        auto const found = old_entries.find(name);
        if (found == old_entries.end())
        {
            changes.push_back("added " + label);
            continue;
        }
        compare_fields(label, fields_of(*found->second), fields_of(*entry), changes);
    }
}

} // namespace

std::vector<finding> check_configuration(configuration const& checked)
{
    finding_list findings;
    if (checked.version == 0)
    {
        findings.fail("version", "is 0: expected a positive number");
    }
    check_routes(checked, findings);
    check_services(checked, findings);
    check_client_limits(checked.limits, findings);
    return findings.take();
}

std::optional<finding> check_version(configuration const& in_force, configuration const& next)
{
    if (next.version > in_force.version)
    {
        return std::nullopt;
    }
    return finding{finding_severity::error, "version",
                   "is " + std::to_string(next.version) + ", not above " +
                       std::to_string(in_force.version) +
                       " in force: processes keep the higher version"};
}

std::vector<std::string> compare_configurations(configuration const& in_force,
                                                configuration const& next)
{
    std::vector<std::string> changes;
    compare_entries(
        "route ", in_force.routes, next.routes,
        [](configured_route const& item) { return item.settings.name; }, changes);
    compare_entries(
        "service ", in_force.services, next.services,
        [](configured_service const& item) { return item.name; }, changes);
    compare_fields("limits", fields_of(in_force.limits), fields_of(next.limits), changes);
    return changes;
}

} // namespace filbertroad::dispatch

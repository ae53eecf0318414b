#include "filbertroad/api/internal/status_page.hpp"

#include <cstdio>
#include <initializer_list>
#include <string_view>

namespace filbertroad::api::internal
{
namespace
{

std::string html_escaped(std::string_view text)
{
    std::string out;
    for (char const c : text)
    {
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string two_decimals(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

/// Builds an HTML table with a heading. Escapes all texts.
class html_table
{
public:
    html_table(std::string_view title, std::initializer_list<std::string_view> columns)
        : text("<h2>" + html_escaped(title) + "</h2>\n<table>\n<tr>")
    {
        for (auto const column : columns)
        {
            this->text += "<th>" + html_escaped(column) + "</th>";
        }
        this->text += "</tr>\n";
    }

    void add_row(std::initializer_list<std::string> cells)
    {
        this->text += "<tr>";
        for (auto const& cell : cells)
        {
            this->text += "<td>" + html_escaped(cell) + "</td>";
        }
        this->text += "</tr>\n";
    }

    [[nodiscard]] std::string str() const { return this->text + "</table>\n"; }

private:
    std::string text;
};

std::string queue_table(region_status const& status)
{
    html_table table("Queues",
                     {"service", "shard", "owner", "queued", "running", "oldest queued (ms)"});
    for (auto const& entry : status.entries)
    {
        for (auto const& queue : entry.queues())
        {
            table.add_row({queue.service(), std::to_string(queue.shard()),
                           entry.entry().id().name(), std::to_string(queue.queued()),
                           std::to_string(queue.running()), std::to_string(queue.oldest_ms())});
        }
    }
    return table.str();
}

std::string entry_table(region_status const& status)
{
    html_table table("Entries", {"name", "zone", "address", "state", "confirmed by", "age (ms)"});
    for (auto const& entry : status.entries)
    {
        auto const& member = entry.entry();
        table.add_row({member.id().name(), member.zone(), member.http_address(),
                       member.leaving() ? "leaving" : "serving", entry.confirmation(),
                       std::to_string(entry.confirmation_age_ms())});
    }
    for (auto const& member : status.unresponsive)
    {
        table.add_row({member.id().name(), member.zone(), member.http_address(), "silent", "", ""});
    }
    return table.str();
}

std::string target_table(region_status const& status)
{
    html_table table("Targets",
                     {"name", "zone", "service", "health", "slots", "running", "speed", "owner"});
    for (auto const& entry : status.entries)
    {
        for (auto const& target : entry.targets())
        {
            table.add_row({target.name(), target.zone(), target.service(), target.health(),
                           std::to_string(target.slots()), std::to_string(target.running()),
                           two_decimals(target.speed()), entry.entry().id().name()});
        }
    }
    return table.str();
}

std::string service_table(region_status const& status)
{
    html_table table("Zones and targets that operators changed",
                     {"kind", "name", "state", "version"});
    auto const add = [&](std::string const& kind, std::vector<wire::service_state> const& states)
    {
        for (auto const& state : states)
        {
            table.add_row({kind, state.name(), state.in_service() ? "in service" : "out of service",
                           std::to_string(state.version())});
        }
    };
    add("zone", status.zones);
    add("target", status.targets);
    return table.str();
}

} // namespace

std::string status_page(region_status const& status)
{
    return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>filbertroad " +
           html_escaped(status.region) +
           "</title>\n<style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:left}"
           "</style></head>\n<body>\n<h1>Region " +
           html_escaped(status.region) + "</h1>\n<p>Collected by " +
           html_escaped(status.collected_by) + "; view " + std::to_string(status.view) +
           "; state " + std::to_string(status.version) + "; tables: routes " +
           std::to_string(status.routes_version) + ", pools " +
           std::to_string(status.pools_version) + ", teams " +
           std::to_string(status.teams_version) + "; agents " +
           std::to_string(status.registered_agents) + ".</p>\n" + queue_table(status) +
           entry_table(status) + target_table(status) + service_table(status) + "</body></html>\n";
}

} // namespace filbertroad::api::internal

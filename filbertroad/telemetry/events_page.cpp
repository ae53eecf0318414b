#include "filbertroad/telemetry/events.hpp"

namespace filbertroad::telemetry
{

std::string_view to_string(severity level)
{
    switch (level)
    {
    case severity::info:
        return "INFO";
    case severity::warning:
        return "WARN";
    case severity::error:
        return "ERROR";
    }
    return "";
}

std::string events_page()
{
    std::string out =
        "# Events\n\n"
        "`filbertroad check --events` prints this page. A line of the event log consists of the "
        "time (UTC),\nthe severity, the process, the number, the name and `field=value` pairs. "
        "WARN needs attention if it\nis frequent; ERROR needs action.\n\n"
        "| number | severity | name | meaning |\n| --- | --- | --- | --- |\n";
    for (auto const& event : all_events)
    {
        out += "| " + std::to_string(event.number) + " | " + std::string(to_string(event.level)) +
               " | `" + std::string(event.name) + "` | " + std::string(event.description) + " |\n";
    }
    return out;
}

} // namespace filbertroad::telemetry

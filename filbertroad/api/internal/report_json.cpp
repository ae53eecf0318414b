#include "filbertroad/api/internal/report_json.hpp"
#include "filbertroad/base/utf8.hpp"

#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <openssl/evp.h>
#include <string_view>

namespace filbertroad::api::internal
{
namespace
{

namespace json = boost::json;

/// Task index of history lines that are about the whole job.
constexpr std::uint32_t job_level_index = std::numeric_limits<std::uint32_t>::max();

std::string_view state_name(wire::job_state state)
{
    switch (state)
    {
    case wire::job_state_queued:
        return "queued";
    case wire::job_state_running:
        return "running";
    case wire::job_state_complete:
        return "complete";
    case wire::job_state_failed:
        return "failed";
    case wire::job_state_interrupted:
        return "interrupted";
    default:
        return "unknown";
    }
}

std::string_view outcome_name(wire::outcome outcome)
{
    switch (outcome)
    {
    case wire::outcome_succeeded:
        return "succeeded";
    case wire::outcome_failed:
        return "failed";
    case wire::outcome_cancelled:
        return "cancelled";
    case wire::outcome_not_run:
        return "not_run";
    default:
        // A newer version may send an outcome that is unknown here. The task may then have run.
        return "may_have_run";
    }
}

std::string to_base64(std::string const& bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                      reinterpret_cast<unsigned char const*>(bytes.data()),
                                      static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

json::object result_json(wire::task_result const& result, json::storage_ptr const& memory)
{
    json::object out(memory);
    out["index"] = result.task().index();
    out["outcome"] = outcome_name(result.outcome());
    if (base::is_utf8(result.body()))
    {
        out["body"] = result.body();
    }
    else
    {
        out["body_base64"] = to_base64(result.body());
    }
    out["reason"] = result.reason();
    out["target"] = result.target();
    out["run_time_us"] = result.run_time_us();
    out["started_unix_ms"] = result.started_unix_ms();
    return out;
}

json::object history_json(wire::explain_line const& line, json::storage_ptr const& memory)
{
    json::object out(memory);
    out["index"] = nullptr;
    if (line.index() != job_level_index)
    {
        out["index"] = line.index();
    }
    out["unix_ms"] = line.unix_ms();
    out["event"] = line.event();
    out["target"] = line.target();
    out["reason"] = line.reason();
    return out;
}

json::object member_json(wire::member const& member)
{
    return {{"name", member.id().name()},
            {"incarnation", member.id().incarnation()},
            {"zone", member.zone()},
            {"http_address", member.http_address()},
            {"link_address", member.link_address()},
            {"leaving", member.leaving()}};
}

json::object entry_json(wire::status_reply const& entry)
{
    auto out = member_json(entry.entry());
    out["confirmation"] = entry.confirmation();
    out["confirmation_age_ms"] = entry.confirmation_age_ms();
    out["version"] = entry.state_offset();
    auto& queues = out["queues"].emplace_array();
    for (auto const& queue : entry.queues())
    {
        queues.push_back({{"service", queue.service()},
                          {"shard", queue.shard()},
                          {"queued", queue.queued()},
                          {"running", queue.running()},
                          {"oldest_ms", queue.oldest_ms()}});
    }
    auto& targets = out["targets"].emplace_array();
    for (auto const& target : entry.targets())
    {
        targets.push_back({{"name", target.name()},
                           {"zone", target.zone()},
                           {"service", target.service()},
                           {"health", target.health()},
                           {"slots", target.slots()},
                           {"running", target.running()},
                           {"speed", target.speed()}});
    }
    return out;
}

json::array service_states_json(std::vector<wire::service_state> const& states)
{
    json::array out;
    for (auto const& state : states)
    {
        out.push_back({{"name", state.name()},
                       {"in_service", state.in_service()},
                       {"version", state.version()}});
    }
    return out;
}

} // namespace

bool is_ended(wire::job_state state)
{
    return state == wire::job_state_complete || state == wire::job_state_failed;
}

std::string to_json(wire::job_report const& report, bool with_history)
{
    json::monotonic_resource memory;
    json::storage_ptr const storage(&memory);
    json::object out(storage);
    out["route"] = report.route();
    out["key"] = report.key();
    out["state"] = state_name(report.state());
    out["task_count"] = report.task_count();
    out["finished"] = report.finished();
    out["reason"] = report.reason();
    out["owner"] = report.owner();
    auto& results = out["results"].emplace_array();
    results.reserve(static_cast<std::size_t>(report.results_size()));
    for (auto const& result : report.results())
    {
        results.emplace_back(result_json(result, storage));
    }
    if (with_history)
    {
        auto& history = out["history"].emplace_array();
        for (auto const& line : report.history())
        {
            history.emplace_back(history_json(line, storage));
        }
    }
    return json::serialize(out);
}

std::string to_json(region_status const& status)
{
    json::object out;
    out["region"] = status.region;
    out["collected_by"] = status.collected_by;
    out["view"] = status.view;
    out["version"] = status.version;
    out["tables"] = {{"routes", status.routes_version},
                     {"pools", status.pools_version},
                     {"teams", status.teams_version}};
    out["registered_agents"] = status.registered_agents;
    auto& entries = out["entries"].emplace_array();
    for (auto const& entry : status.entries)
    {
        entries.emplace_back(entry_json(entry));
    }
    auto& unresponsive = out["silent"].emplace_array();
    for (auto const& member : status.unresponsive)
    {
        unresponsive.emplace_back(member_json(member));
    }
    out["zones"] = service_states_json(status.zones);
    out["targets"] = service_states_json(status.targets);
    return json::serialize(out);
}

} // namespace filbertroad::api::internal

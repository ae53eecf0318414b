#include "filbertroad/cli/internal/response_printer.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <iomanip>
#include <optional>
#include <sstream>

namespace filbertroad::cli::internal
{
namespace
{

namespace json = boost::json;

/// Member `name` as text, serialized if it is not a string; empty if absent.
std::string member_text(json::value const& from, std::string_view name)
{
    auto const* const value = from.is_object() ? from.get_object().if_contains(name) : nullptr;
    if (value == nullptr)
    {
        return "";
    }
    return value->is_string() ? json::value_to<std::string>(*value) : json::serialize(*value);
}

/// Numeric member `name` with two decimals; 0.00 if absent or not a number.
std::string member_decimal(json::value const& from, std::string_view name)
{
    auto const* const value = from.is_object() ? from.get_object().if_contains(name) : nullptr;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2)
        << (value != nullptr && value->is_number() ? value->to_number<double>() : 0);
    return out.str();
}

/// Array member `name`; empty if absent or not an array.
json::array member_array(json::value const& from, std::string_view name)
{
    auto const* const value = from.is_object() ? from.get_object().if_contains(name) : nullptr;
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

/// Prints the error and returns the exit code if the request failed; empty if it succeeded.
std::optional<int> print_error(client_result const& result, bool as_json, environment const& env)
{
    if (!result)
    {
        env.err << result.error().detail << "\n";
        return exit_no_answer;
    }
    auto const& response = result.value();
    if (response.status < 300)
    {
        return std::nullopt;
    }
    json::error_code code;
    auto const body = json::parse(response.body, code);
    if (as_json || code || member_text(body, "not_run").empty())
    {
        (as_json ? env.out : env.err) << response.body << "\n";
        return exit_refused;
    }
    auto const& error = body.at("error");
    env.err << "refused (" << response.status << "): " << member_text(error, "code") << ": "
            << member_text(error, "detail") << "; not run: " << member_text(body, "not_run");
    if (member_text(body, "retry_after_ms") != "0")
    {
        env.err << "; retry after " << member_text(body, "retry_after_ms") << " ms";
    }
    if (!member_text(body, "current_version").empty())
    {
        env.err << "; current version: " << member_text(body, "current_version");
    }
    env.err << "\n";
    return exit_refused;
}

void print_results(json::value const& job, std::ostream& out)
{
    for (auto const& result : member_array(job, "results"))
    {
        out << member_text(result, "index") << "\t" << member_text(result, "outcome") << "\t"
            << member_text(result, "body") << member_text(result, "body_base64");
        if (auto const reason = member_text(result, "reason"); !reason.empty())
        {
            out << "\t" << reason;
        }
        out << "\n";
    }
}

void print_history(json::value const& job, std::ostream& out)
{
    for (auto const& line : member_array(job, "history"))
    {
        auto const index = member_text(line, "index");
        out << member_text(line, "unix_ms") << "\t" << (index == "null" ? "job" : index) << "\t"
            << member_text(line, "event") << "\t" << member_text(line, "target") << "\t"
            << member_text(line, "reason") << "\n";
    }
}

void print_summary(json::value const& job, std::ostream& out)
{
    std::size_t succeeded = 0;
    auto const results = member_array(job, "results");
    for (auto const& result : results)
    {
        succeeded += member_text(result, "outcome") == "succeeded" ? 1 : 0;
    }
    out << member_text(job, "key") << ": " << member_text(job, "state") << ", "
        << member_text(job, "finished") << " of " << member_text(job, "task_count")
        << " tasks finished";
    if (!results.empty())
    {
        out << ", " << succeeded << " complete, " << results.size() - succeeded << " failed";
    }
    if (auto const reason = member_text(job, "reason"); !reason.empty())
    {
        out << ": " << reason;
    }
    out << "\n";
}

void print_entry(json::value const& entry, std::ostream& out)
{
    auto const confirmation = member_text(entry, "confirmation");
    out << "entry " << member_text(entry, "name") << " zone " << member_text(entry, "zone") << " "
        << member_text(entry, "http_address")
        << (confirmation == "none" ? ", not confirmed"
                                   : ", confirmed by " + confirmation + " " +
                                         member_text(entry, "confirmation_age_ms") + " ms ago")
        << (member_text(entry, "leaving") == "true" ? ", leaving" : "") << "\n";
    for (auto const& queue : member_array(entry, "queues"))
    {
        out << "  queue " << member_text(queue, "service") << "/" << member_text(queue, "shard")
            << ": " << member_text(queue, "queued") << " queued, " << member_text(queue, "running")
            << " running, oldest " << member_text(queue, "oldest_ms") << " ms\n";
    }
    for (auto const& target : member_array(entry, "targets"))
    {
        out << "  target " << member_text(target, "name") << " zone " << member_text(target, "zone")
            << " " << member_text(target, "health") << " " << member_text(target, "running") << "/"
            << member_text(target, "slots") << " slots, speed " << member_decimal(target, "speed")
            << "\n";
    }
}

void print_service_states(json::value const& status, std::string_view kind, std::ostream& out)
{
    for (auto const& state : member_array(status, std::string(kind) + "s"))
    {
        out << kind << " " << member_text(state, "name")
            << (member_text(state, "in_service") == "true" ? " in service" : " out of service")
            << ", version " << member_text(state, "version") << "\n";
    }
}

} // namespace

bool is_unfinished_job(net::http_response const& response)
{
    json::error_code code;
    auto const state = member_text(json::parse(response.body, code), "state");
    return response.status < 300 &&
           (state == "queued" || state == "running" || state == "interrupted");
}

int print_job(client_result const& result, job_view view, bool as_json, environment const& env)
{
    bool const is_acknowledgement = view == job_view::acknowledgement;
    if (is_acknowledgement && result && result.value().status == 410 &&
        result.value().body.find(R"("code":"acknowledged")") != std::string::npos)
    {
        env.out << (as_json ? result.value().body : "already acknowledged") << "\n";
        return exit_ok;
    }
    if (auto const exit_status = print_error(result, as_json, env))
    {
        return *exit_status;
    }
    json::error_code code;
    auto const job = json::parse(result.value().body, code);
    if (as_json)
    {
        env.out << result.value().body << "\n";
    }
    else if (is_acknowledgement)
    {
        env.out << member_text(job, "key") << ": acknowledged\n";
    }
    else
    {
        print_summary(job, env.out);
        if (view == job_view::results)
        {
            print_results(job, env.out);
        }
        else if (view == job_view::history)
        {
            print_history(job, env.out);
        }
    }
    auto const state = member_text(job, "state");
    if (state == "complete" || is_acknowledgement || view == job_view::history)
    {
        return exit_ok;
    }
    return state == "failed" ? exit_refused : exit_not_ended;
}

int print_status(client_result const& result, bool as_json, environment const& env)
{
    if (auto const exit_status = print_error(result, as_json, env))
    {
        return *exit_status;
    }
    if (as_json)
    {
        return print_body(result, env);
    }
    json::error_code code;
    auto const status = json::parse(result.value().body, code);
    env.out << "region " << member_text(status, "region") << ", collected by "
            << member_text(status, "collected_by") << ", view " << member_text(status, "view")
            << ", state " << member_text(status, "version") << ", agents "
            << member_text(status, "registered_agents") << "\n";
    for (auto const& entry : member_array(status, "entries"))
    {
        print_entry(entry, env.out);
    }
    for (auto const& member : member_array(status, "silent"))
    {
        env.out << "entry " << member_text(member, "name") << " does not respond\n";
    }
    print_service_states(status, "zone", env.out);
    print_service_states(status, "target", env.out);
    return exit_ok;
}

int print_change(client_result const& result, std::string const& prefix, bool as_json,
                 environment const& env)
{
    if (auto const exit_status = print_error(result, as_json, env))
    {
        return *exit_status;
    }
    if (as_json)
    {
        return print_body(result, env);
    }
    json::error_code code;
    auto const body = json::parse(result.value().body, code);
    env.out << prefix << ", version " << member_text(body, "version") << "\n";
    return exit_ok;
}

int print_body(client_result const& result, environment const& env)
{
    if (auto const exit_status = print_error(result, true, env))
    {
        return *exit_status;
    }
    env.out << result.value().body << "\n";
    return exit_ok;
}

} // namespace filbertroad::cli::internal

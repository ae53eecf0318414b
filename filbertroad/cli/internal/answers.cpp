#include "filbertroad/cli/internal/answers.hpp"

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

/// Member `name` as text; empty if there is none.
std::string text(json::value const& from, std::string_view name)
{
    auto const* const value = from.is_object() ? from.get_object().if_contains(name) : nullptr;
    if (value == nullptr)
    {
        return "";
    }
    return value->is_string() ? json::value_to<std::string>(*value) : json::serialize(*value);
}

/// Member `name`, a number, with two decimals.
std::string fixed(json::value const& from, std::string_view name)
{
    auto const* const value = from.is_object() ? from.get_object().if_contains(name) : nullptr;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2)
        << (value != nullptr && value->is_number() ? value->to_number<double>() : 0);
    return out.str();
}

/// Member `name` as an array; empty if there is none.
json::array items(json::value const& from, std::string_view name)
{
    auto const* const value = from.is_object() ? from.get_object().if_contains(name) : nullptr;
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

/// Prints why there is no good answer; empty if there is one.
std::optional<int> print_fault(client_result const& result, bool as_json,
                               environment const& outside)
{
    if (!result)
    {
        outside.err << result.error().detail << "\n";
        return exit_no_answer;
    }
    auto const& response = result.value();
    if (response.status < 300)
    {
        return std::nullopt;
    }
    json::error_code code;
    auto const body = json::parse(response.body, code);
    if (as_json || code || text(body, "not_run").empty())
    {
        (as_json ? outside.out : outside.err) << response.body << "\n";
        return exit_refused;
    }
    auto const& error = body.at("error");
    outside.err << "refused (" << response.status << "): " << text(error, "code") << ": "
                << text(error, "detail") << "; not run: " << text(body, "not_run");
    if (text(body, "retry_after_ms") != "0")
    {
        outside.err << "; try again after " << text(body, "retry_after_ms") << " ms";
    }
    if (!text(body, "current_version").empty())
    {
        outside.err << "; current version: " << text(body, "current_version");
    }
    outside.err << "\n";
    return exit_refused;
}

void print_results(json::value const& job, std::ostream& out)
{
    for (auto const& result : items(job, "results"))
    {
        out << text(result, "index") << "\t" << text(result, "outcome") << "\t"
            << text(result, "body") << text(result, "body_base64");
        if (auto const reason = text(result, "reason"); !reason.empty())
        {
            out << "\t" << reason;
        }
        out << "\n";
    }
}

void print_history(json::value const& job, std::ostream& out)
{
    for (auto const& line : items(job, "history"))
    {
        auto const index = text(line, "index");
        out << text(line, "unix_ms") << "\t" << (index == "null" ? "job" : index) << "\t"
            << text(line, "event") << "\t" << text(line, "target") << "\t" << text(line, "reason")
            << "\n";
    }
}

void print_summary(json::value const& job, std::ostream& out)
{
    std::size_t succeeded = 0;
    auto const results = items(job, "results");
    for (auto const& result : results)
    {
        succeeded += text(result, "outcome") == "succeeded" ? 1 : 0;
    }
    out << text(job, "key") << ": " << text(job, "state") << ", " << text(job, "finished") << " of "
        << text(job, "task_count") << " tasks finished";
    if (!results.empty())
    {
        out << ", " << succeeded << " complete, " << results.size() - succeeded << " failed";
    }
    if (auto const reason = text(job, "reason"); !reason.empty())
    {
        out << ": " << reason;
    }
    out << "\n";
}

void print_entry(json::value const& entry, std::ostream& out)
{
    auto const confirmation = text(entry, "confirmation");
    out << "entry " << text(entry, "name") << " zone " << text(entry, "zone") << " "
        << text(entry, "http_address")
        << (confirmation == "none" ? ", not confirmed"
                                   : ", confirmed by " + confirmation + " " +
                                         text(entry, "confirmation_age_ms") + " ms ago")
        << (text(entry, "leaving") == "true" ? ", leaving" : "") << "\n";
    for (auto const& queue : items(entry, "queues"))
    {
        out << "  queue " << text(queue, "service") << "/" << text(queue, "shard") << ": "
            << text(queue, "queued") << " queued, " << text(queue, "running") << " running, oldest "
            << text(queue, "oldest_ms") << " ms\n";
    }
    for (auto const& target : items(entry, "targets"))
    {
        out << "  target " << text(target, "name") << " zone " << text(target, "zone") << " "
            << text(target, "health") << " " << text(target, "running") << "/"
            << text(target, "slots") << " slots, speed " << fixed(target, "speed") << "\n";
    }
}

void print_services(json::value const& status, std::string_view kind, std::ostream& out)
{
    for (auto const& state : items(status, std::string(kind) + "s"))
    {
        out << kind << " " << text(state, "name")
            << (text(state, "in_service") == "true" ? " in service" : " out of service")
            << ", version " << text(state, "version") << "\n";
    }
}

} // namespace

bool is_open_job(net::http_response const& response)
{
    json::error_code code;
    auto const state = text(json::parse(response.body, code), "state");
    return response.status < 300 &&
           (state == "queued" || state == "running" || state == "interrupted");
}

int print_job(client_result const& result, job_view view, bool as_json, environment const& outside)
{
    bool const is_acknowledgement = view == job_view::acknowledgement;
    if (is_acknowledgement && result && result.value().status == 410 &&
        result.value().body.find(R"("code":"acknowledged")") != std::string::npos)
    {
        outside.out << (as_json ? result.value().body : "acknowledged before") << "\n";
        return exit_ok;
    }
    if (auto const fault = print_fault(result, as_json, outside))
    {
        return *fault;
    }
    json::error_code code;
    auto const job = json::parse(result.value().body, code);
    if (as_json)
    {
        outside.out << result.value().body << "\n";
    }
    else if (is_acknowledgement)
    {
        outside.out << text(job, "key") << ": acknowledged\n";
    }
    else
    {
        print_summary(job, outside.out);
        if (view == job_view::answers)
        {
            print_results(job, outside.out);
        }
        else if (view == job_view::history)
        {
            print_history(job, outside.out);
        }
    }
    auto const state = text(job, "state");
    if (state == "complete" || is_acknowledgement || view == job_view::history)
    {
        return exit_ok;
    }
    return state == "failed" ? exit_refused : exit_not_ended;
}

int print_status(client_result const& result, bool as_json, environment const& outside)
{
    if (auto const fault = print_fault(result, as_json, outside))
    {
        return *fault;
    }
    if (as_json)
    {
        return print_body(result, outside);
    }
    json::error_code code;
    auto const status = json::parse(result.value().body, code);
    outside.out << "region " << text(status, "region") << ", collected by "
                << text(status, "collected_by") << ", view " << text(status, "view") << ", state "
                << text(status, "version") << ", agents " << text(status, "registered_agents")
                << "\n";
    for (auto const& entry : items(status, "entries"))
    {
        print_entry(entry, outside.out);
    }
    for (auto const& member : items(status, "silent"))
    {
        outside.out << "entry " << text(member, "name") << " does not answer\n";
    }
    print_services(status, "zone", outside.out);
    print_services(status, "target", outside.out);
    return exit_ok;
}

int print_change(client_result const& result, std::string const& text_before, bool as_json,
                 environment const& outside)
{
    if (auto const fault = print_fault(result, as_json, outside))
    {
        return *fault;
    }
    if (as_json)
    {
        return print_body(result, outside);
    }
    json::error_code code;
    auto const body = json::parse(result.value().body, code);
    outside.out << text_before << ", version " << text(body, "version") << "\n";
    return exit_ok;
}

int print_body(client_result const& result, environment const& outside)
{
    if (auto const fault = print_fault(result, true, outside))
    {
        return *fault;
    }
    outside.out << result.value().body << "\n";
    return exit_ok;
}

} // namespace filbertroad::cli::internal

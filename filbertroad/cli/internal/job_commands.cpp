#include "filbertroad/cli/internal/argument_parser.hpp"
#include "filbertroad/cli/internal/response_printer.hpp"
#include "filbertroad/telemetry/trace_context.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iterator>
#include <random>

namespace filbertroad::cli::internal
{
namespace
{

using std::chrono::milliseconds;

/// Longest wait of one request. A longer wait is split over several requests, so that the client
/// detects an entry that has failed in the meantime.
constexpr milliseconds max_wait_per_request{5000};
/// Time limit for the response in addition to the wait: an entry may search for a new owner of the
/// job for 9 s.
constexpr milliseconds response_margin{12'000};

std::string job_path(std::string const& route, std::string const& key)
{
    return "/v1/routes/" + route + "/jobs/" + key;
}

/// Repeats `request` until its job has ended or `wait` has passed. Returns the last result.
client_result poll_until_ended(entry_client& client, net::http_request request, milliseconds wait,
                               milliseconds total_timeout)
{
    auto const deadline = client.clock().steady_now() + wait;
    while (true)
    {
        auto const remaining =
            std::chrono::duration_cast<milliseconds>(deadline - client.clock().steady_now());
        auto const request_wait = std::clamp(remaining, milliseconds(0), max_wait_per_request);
        request.query = "wait_ms=" + std::to_string(request_wait.count());
        auto result = client.send(request, request_wait + response_margin, total_timeout);
        bool const is_unfinished = result && is_unfinished_job(result.value());
        if (!is_unfinished || client.clock().steady_now() >= deadline)
        {
            return result;
        }
    }
}

std::string generate_key(base::clock const& clock)
{
    std::random_device device;
    std::mt19937_64 generator((std::uint64_t{device()} << 32U) | device());
    return std::to_string(base::to_unix_ms(clock.system_now())) + "-" +
           telemetry::span_id_text(telemetry::random_id(generator));
}

/// Arguments of `submit` that describe the job.
class job_arguments
{
public:
    explicit job_arguments(argument_parser& parser)
        : payloads("", "payload", "payload of a task; repeatable", false, "TEXT",
                   parser.command_line()),
          count("", "count", "number of tasks with each payload", false, 1, "N",
                parser.command_line()),
          file("", "file", "file with one payload per line", false, "", "FILE",
               parser.command_line()),
          body("", "body", "file with the complete job as JSON; replaces the other job arguments",
               false, "", "FILE", parser.command_line()),
          needs("", "need", "label that a target must carry; repeatable", false, "LABEL",
                parser.command_line()),
          deadline_ms("", "deadline-ms", "time within which the last task must start, in ms", false,
                      0, "MS", parser.command_line()),
          repeatable("", "repeatable", "the same work may be submitted again under a new key",
                     parser.command_line())
    {
    }

    [[nodiscard]] std::string to_json()
    {
        if (this->body.isSet())
        {
            return read_file(this->body.getValue());
        }
        boost::json::object job;
        auto& tasks = job["tasks"].emplace_array();
        for (auto const& payload : this->all_payloads())
        {
            for (unsigned i = 0; i < this->count.getValue(); ++i)
            {
                tasks.push_back(boost::json::object{{"payload", payload}});
            }
        }
        if (this->needs.isSet())
        {
            auto const& labels = this->needs.getValue();
            job["needs"] = boost::json::array(labels.begin(), labels.end());
        }
        if (this->deadline_ms.isSet())
        {
            job["deadline_ms"] = this->deadline_ms.getValue();
        }
        if (this->repeatable.getValue())
        {
            job["repeatable"] = true;
        }
        return boost::json::serialize(job);
    }

private:
    static std::string read_file(std::string const& path)
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream)
        {
            throw TCLAP::CmdLineParseException("cannot read '" + path + "'");
        }
        return {std::istreambuf_iterator<char>(stream), {}};
    }

    std::vector<std::string> all_payloads()
    {
        auto out = this->payloads.getValue();
        if (this->file.isSet())
        {
            std::istringstream lines(read_file(this->file.getValue()));
            for (std::string line; std::getline(lines, line);)
            {
                out.push_back(line);
            }
        }
        return out;
    }

    TCLAP::MultiArg<std::string> payloads;
    TCLAP::ValueArg<unsigned> count;
    TCLAP::ValueArg<std::string> file;
    TCLAP::ValueArg<std::string> body;
    TCLAP::MultiArg<std::string> needs;
    TCLAP::ValueArg<unsigned> deadline_ms;
    TCLAP::SwitchArg repeatable;
};

int submit(invocation const& call)
{
    constexpr unsigned default_wait_ms = 30'000;
    argument_parser parser(call);
    client_options options(parser);
    TCLAP::ValueArg<std::string> route("", "route", "route of the job", true, "", "NAME",
                                       parser.command_line());
    TCLAP::ValueArg<std::string> key("", "key",
                                     "key of the job, UNIX_MS-SUFFIX; generated if absent", false,
                                     "", "KEY", parser.command_line());
    TCLAP::ValueArg<unsigned> wait_ms("", "wait-ms", "time to wait for the end of the job, in ms",
                                      false, default_wait_ms, "MS", parser.command_line());
    job_arguments job(parser);
    parser.parse();
    auto client = options.make_client(call.env);
    auto const job_key = key.isSet() ? key.getValue() : generate_key(client.clock());
    net::http_request request;
    request.method = "PUT";
    request.path = job_path(route.getValue(), job_key);
    request.body = job.to_json();
    auto const result = poll_until_ended(client, std::move(request),
                                         milliseconds(wait_ms.getValue()), options.total_timeout());
    if (!result || result.value().status >= 300)
    {
        call.env.err << "key: " << job_key << "\n";
    }
    return print_job(result, job_view::summary, options.wants_json(), call.env);
}

/// Sends a request for an existing job and prints the response as `view`. With `supports_wait` the
/// command takes --wait-ms and polls until the job has ended.
int run_job_command(invocation const& call, std::string_view method, std::string_view suffix,
                    job_view view, bool supports_wait)
{
    argument_parser parser(call);
    client_options options(parser);
    TCLAP::UnlabeledValueArg<std::string> route("route", "route of the job", true, "", "ROUTE",
                                                parser.command_line());
    TCLAP::UnlabeledValueArg<std::string> key("key", "key of the job", true, "", "KEY",
                                              parser.command_line());
    TCLAP::ValueArg<unsigned> wait_ms("", "wait-ms", "time to wait for the end of the job, in ms",
                                      false, 0, "MS");
    if (supports_wait)
    {
        parser.command_line().add(wait_ms);
    }
    parser.parse();
    auto client = options.make_client(call.env);
    net::http_request request;
    request.method = method;
    request.path = job_path(route.getValue(), key.getValue()).append(suffix);
    auto const result =
        supports_wait ? poll_until_ended(client, std::move(request),
                                         milliseconds(wait_ms.getValue()), options.total_timeout())
                      : client.send(std::move(request), response_margin, options.total_timeout());
    return print_job(result, view, options.wants_json(), call.env);
}

int job_status(invocation const& call)
{
    return run_job_command(call, "GET", "", job_view::summary, true);
}

int job_answer(invocation const& call)
{
    return run_job_command(call, "GET", "", job_view::results, true);
}

int job_cancel(invocation const& call)
{
    return run_job_command(call, "POST", "/cancel", job_view::summary, true);
}

int job_ack(invocation const& call)
{
    return run_job_command(call, "DELETE", "", job_view::acknowledgement, false);
}

int job_explain(invocation const& call)
{
    return run_job_command(call, "GET", "/explain", job_view::history, false);
}

constexpr std::array commands{
    command{"submit", "Submits a job and waits until it ends.", submit},
    command{"job status", "Prints the state of a job.", job_status},
    command{"job answer", "Prints the result of each task of a job.", job_answer},
    command{"job cancel", "Cancels the tasks of a job that have not ended.", job_cancel},
    command{"job ack", "Acknowledges the results of a job, which are then discarded.", job_ack},
    command{"job explain", "Prints the history of a job and its tasks.", job_explain},
};

} // namespace

std::span<command const> job_commands()
{
    return commands;
}

} // namespace filbertroad::cli::internal

#include "filbertroad/cli/internal/argument_parser.hpp"
#include "filbertroad/cli/internal/response_printer.hpp"
#include "filbertroad/telemetry/trace_context.hpp"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>

namespace filbertroad::cli::internal
{
namespace
{

/// Timeout of one attempt. Longer than the 5 s for which an entry waits for the log.
constexpr std::chrono::milliseconds attempt_timeout{7000};

/// Query with a random change id. All attempts send the same id, so that retries are applied as one
/// change.
std::string make_change_id_query()
{
    std::random_device device;
    std::mt19937_64 generator((std::uint64_t{device()} << 32U) | device());
    return "change_id=cli-" + telemetry::span_id_text(telemetry::random_id(generator));
}

int set_in_service(invocation const& call, std::string_view kind, bool in_service)
{
    argument_parser parser(call);
    client_options options(parser);
    TCLAP::UnlabeledValueArg<std::string> name("name", "name of the zone or target", true, "",
                                               "NAME", parser.command_line());
    TCLAP::ValueArg<std::uint64_t> base("", "base",
                                        "version that the change is based on; the current version "
                                        "if absent",
                                        false, 0, "VERSION", parser.command_line());
    parser.parse();
    auto client = options.make_client(call.env);
    boost::json::object body{{"in_service", in_service}};
    if (base.isSet())
    {
        body["base"] = base.getValue();
    }
    net::http_request request;
    request.method = "PUT";
    request.path = "/v1/" + std::string(kind) + "s/" + name.getValue();
    request.query = make_change_id_query();
    request.body = boost::json::serialize(body);
    auto const result = client.send(std::move(request), attempt_timeout, options.total_timeout());
    return print_change(result,
                        std::string(kind) + " " + name.getValue() +
                            (in_service ? " is in service" : " is out of service"),
                        options.wants_json(), call.env);
}

int zone_out(invocation const& call)
{
    return set_in_service(call, "zone", false);
}

int zone_in(invocation const& call)
{
    return set_in_service(call, "zone", true);
}

int target_out(invocation const& call)
{
    return set_in_service(call, "target", false);
}

int target_in(invocation const& call)
{
    return set_in_service(call, "target", true);
}

int run_get(invocation const& call, std::string const& path,
            int (*print)(client_result const&, bool, environment const&))
{
    argument_parser parser(call);
    client_options options(parser);
    parser.parse();
    auto client = options.make_client(call.env);
    net::http_request request;
    request.method = "GET";
    request.path = path;
    auto const result = client.send(std::move(request), attempt_timeout, options.total_timeout());
    return print(result, options.wants_json(), call.env);
}

/// Path of the table that the first word of the command names.
std::string table_path(invocation const& call)
{
    return "/v1/tables/" + call.name.substr(0, call.name.find(' '));
}

int show_table(invocation const& call)
{
    return run_get(call, table_path(call),
                   [](client_result const& result, bool /*as_json*/, environment const& env)
                   { return print_body(result, env); });
}

int status(invocation const& call)
{
    return run_get(call, "/v1/status", print_status);
}

/// Content of a table file. `version` is present if the file has the format of `show`, which wraps
/// the table with its version.
struct table_file
{
    std::string table;
    std::optional<std::uint64_t> version;
};

table_file read_table_file(std::string const& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
    {
        throw TCLAP::CmdLineParseException("cannot read '" + path + "'");
    }
    std::string const text{std::istreambuf_iterator<char>(stream), {}};
    boost::json::error_code code;
    auto const parsed = boost::json::parse(text, code);
    auto const* const object = code ? nullptr : parsed.if_object();
    auto const* const table = object == nullptr ? nullptr : object->if_contains("table");
    auto const* const version = object == nullptr ? nullptr : object->if_contains("version");
    if (table == nullptr || version == nullptr || !version->is_int64())
    {
        return {text, std::nullopt};
    }
    return {boost::json::serialize(*table), static_cast<std::uint64_t>(version->get_int64())};
}

int publish_table(invocation const& call)
{
    argument_parser parser(call);
    client_options options(parser);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "file with the complete table as JSON: the output of `show`, or only the table",
        true, "", "FILE", parser.command_line());
    TCLAP::ValueArg<std::uint64_t> base(
        "", "base", "version that the table is based on; the version in the file if absent", false,
        0, "VERSION", parser.command_line());
    parser.parse();
    auto const content = read_table_file(file.getValue());
    if (!base.isSet() && !content.version)
    {
        throw TCLAP::CmdLineParseException("is required if the file has no version", "--base");
    }
    auto client = options.make_client(call.env);
    net::http_request request;
    request.method = "PUT";
    request.path = table_path(call);
    request.query = "base=" + std::to_string(base.isSet() ? base.getValue() : *content.version) +
                    "&" + make_change_id_query();
    request.body = content.table;
    auto const result = client.send(std::move(request), attempt_timeout, options.total_timeout());
    return print_change(result, "published", options.wants_json(), call.env);
}

constexpr std::array commands{
    command{"zone out", "Takes a zone out of service.", zone_out},
    command{"zone in", "Puts a zone back in service.", zone_in},
    command{"target out", "Takes a target out of service.", target_out},
    command{"target in", "Puts a target back in service.", target_in},
    command{"routes show", "Prints the routes table and its version.", show_table},
    command{"routes publish", "Replaces the routes table.", publish_table},
    command{"pools show", "Prints the pools table and its version.", show_table},
    command{"pools publish", "Replaces the pools table.", publish_table},
    command{"teams show", "Prints the teams table and its version.", show_table},
    command{"teams publish", "Replaces the teams table.", publish_table},
    command{"status", "Prints the entries, queues and targets of the region.", status},
};

} // namespace

std::span<command const> operator_commands()
{
    return commands;
}

} // namespace filbertroad::cli::internal

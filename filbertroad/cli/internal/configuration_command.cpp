#include "filbertroad/cli/internal/argument_parser.hpp"
#include "filbertroad/cli/internal/commands.hpp"
#include "platform/configuration_file.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <optional>
#include <sstream>

namespace filbertroad::cli::internal
{
namespace
{

/// Exit codes of `check-config`, for scripts.
enum check_result : int
{
    nothing_found = 0,
    has_warnings = 1,
    has_errors = 2,
    cannot_read = 3,
};

std::optional<std::string> read_text(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return file && text ? std::optional(text.str()) : std::nullopt;
}

struct check_report
{
    std::vector<dispatch::finding> findings;
    std::vector<std::string> changes;

    [[nodiscard]] check_result result() const
    {
        bool const has_error =
            std::any_of(this->findings.begin(), this->findings.end(),
                        [](dispatch::finding const& item)
                        { return item.severity == dispatch::finding_severity::error; });
        return has_error ? has_errors : this->findings.empty() ? nothing_found : has_warnings;
    }
};

check_report make_report(std::string const& text, std::optional<std::string> const& text_in_force)
{
    auto const next = platform::decode_configuration_file(text);
    check_report report;
    report.findings = next.errors;
    auto const checked = dispatch::check_configuration(next.content);
    report.findings.insert(report.findings.end(), checked.begin(), checked.end());
    if (text_in_force)
    {
        auto const in_force = platform::decode_configuration_file(*text_in_force);
        if (!in_force.errors.empty())
        {
            report.findings.push_back(
                {dispatch::finding_severity::warning, "",
                 "the configuration in force has errors itself: its differences are incomplete"});
        }
        if (auto const finding = dispatch::check_version(in_force.content, next.content))
        {
            report.findings.push_back(*finding);
        }
        report.changes = dispatch::compare_configurations(in_force.content, next.content);
    }
    return report;
}

std::string_view name_of(dispatch::finding_severity severity)
{
    return severity == dispatch::finding_severity::error ? "error" : "warning";
}

void print_json(check_report const& report, std::ostream& out)
{
    boost::json::array findings;
    for (auto const& item : report.findings)
    {
        findings.push_back(boost::json::object{
            {"severity", name_of(item.severity)}, {"path", item.path}, {"message", item.message}});
    }
    boost::json::array changes(report.changes.begin(), report.changes.end());
    out << boost::json::serialize(boost::json::object{{"findings", std::move(findings)},
                                                      {"changes", std::move(changes)}})
        << "\n";
}

void print_text(check_report const& report, std::ostream& out)
{
    for (auto const& item : report.findings)
    {
        out << name_of(item.severity) << ": " << (item.path.empty() ? "" : item.path + ": ")
            << item.message << "\n";
    }
    for (auto const& change : report.changes)
    {
        out << change << "\n";
    }
    if (report.findings.empty())
    {
        out << "no errors or warnings\n";
    }
}

int check_config(invocation const& call)
{
    argument_parser parser(call);
    TCLAP::UnlabeledValueArg<std::string> file("file", "configuration to check, as JSON", true, "",
                                               "FILE", parser.command_line());
    TCLAP::ValueArg<std::string> in_force("", "in-force",
                                          "configuration in force, to print the differences", false,
                                          "", "FILE", parser.command_line());
    TCLAP::SwitchArg json("", "json", "print the result as JSON", parser.command_line());
    parser.parse();
    auto const text = read_text(file.getValue());
    auto const text_in_force =
        in_force.isSet() ? read_text(in_force.getValue()) : std::optional<std::string>();
    if (!text || (in_force.isSet() && !text_in_force))
    {
        call.env.err << "cannot read " << (text ? in_force.getValue() : file.getValue()) << "\n";
        return cannot_read;
    }
    auto const report = make_report(*text, text_in_force);
    json.getValue() ? print_json(report, call.env.out) : print_text(report, call.env.out);
    return report.result();
}

constexpr std::array commands{
    command{"check-config",
            "Checks a configuration before it is sent: exit code 0 nothing found, 1 warnings, 2 "
            "errors, 3 file unreadable.",
            check_config},
};

} // namespace

std::span<command const> configuration_commands()
{
    return commands;
}

} // namespace filbertroad::cli::internal

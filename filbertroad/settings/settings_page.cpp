#include "filbertroad/settings/internal/schema.hpp"
#include "filbertroad/settings/settings.hpp"

#include <span>

namespace filbertroad::settings
{
namespace
{

using internal::row;
using internal::value_kind;

template <class Settings>
std::string type_of(row<Settings> const& row)
{
    bool const is_list = std::holds_alternative<std::vector<std::string> Settings::*>(row.member);
    switch (row.kind)
    {
    case value_kind::name:
        return "name";
    case value_kind::address:
        return is_list ? "list of addresses" : "address";
    case value_kind::token:
        return "text";
    case value_kind::path:
        return "path";
    case value_kind::number:
        return std::holds_alternative<double Settings::*>(row.member) ? "number" : "integer";
    case value_kind::admission_policy:
        return "`detector` or `shared`";
    }
    return "";
}

template <class Settings>
std::string range_of(row<Settings> const& row)
{
    if (row.bounds.max == 0)
    {
        return "";
    }
    return std::to_string(row.bounds.min) + " to " + std::to_string(row.bounds.max);
}

template <class Settings>
struct default_text
{
    Settings values;

    std::string operator()(std::string Settings::*member) const
    {
        return "`\"" + this->values.*member + "\"`";
    }
    std::string operator()(std::uint64_t Settings::*member) const
    {
        return "`" + std::to_string(this->values.*member) + "`";
    }
    std::string operator()(double Settings::*member) const
    {
        return "`" + std::to_string(this->values.*member) + "`";
    }
    std::string operator()(std::chrono::milliseconds Settings::*member) const
    {
        return "`" + std::to_string((this->values.*member).count()) + "`";
    }
    std::string operator()(std::vector<std::string> Settings::* /*member*/) const { return "`[]`"; }
};

template <class Settings>
std::string default_of(row<Settings> const& row)
{
    if (row.required)
    {
        return "required";
    }
    if (!row.default_note.empty())
    {
        return std::string(row.default_note);
    }
    return std::visit(default_text<Settings>{}, row.member);
}

template <class Settings>
void append_role_section(std::span<row<Settings> const> schema, std::string_view role,
                         std::string& out)
{
    out += "\n## `role = \"";
    out += role;
    out += "\"`\n\n| key | type | unit | range | default | meaning |\n"
           "| --- | --- | --- | --- | --- | --- |\n";
    for (auto const& row : schema)
    {
        out += "| `" + std::string(row.key) + "` | " + type_of(row) + " | " +
               std::string(row.unit) + " | " + range_of(row) + " | " + default_of(row) + " | " +
               std::string(row.description) + " |\n";
    }
}

} // namespace

std::string settings_page()
{
    std::string out = "# Settings\n\n"
                      "`filbertroad check --list` prints this page. A settings file is a TOML "
                      "file; its key `role` selects\nthe section that applies. A dotted key is a "
                      "key in a TOML table: `log.address` is `address`\nunder `[log]`. Names are "
                      "1 to 64 characters of `[A-Za-z0-9_.-]`; addresses are `IP:PORT`, with\n"
                      "IPv6 in brackets. The range of a text is its length, that of a list its "
                      "number of elements.\n`filbertroad check FILE` prints `FILE:LINE: KEY: "
                      "REASON` and exits with 2 if a file is not valid.\n";
    append_role_section<entry_settings>(internal::entry_schema, "entry", out);
    append_role_section<agent_settings>(internal::agent_schema, "agent", out);
    append_role_section<dispatch_entry_settings>(internal::dispatch_entry_schema, "dispatch-entry",
                                                 out);
    append_role_section<dispatch_agent_settings>(internal::dispatch_agent_schema, "dispatch-agent",
                                                 out);
    return out;
}

} // namespace filbertroad::settings

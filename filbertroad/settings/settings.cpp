#include "filbertroad/settings/settings.hpp"

#include "filbertroad/model/job_key.hpp"
#include "filbertroad/settings/address.hpp"
#include "filbertroad/settings/internal/schema.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <optional>
#include <set>
#include <span>
#include <sstream>
#include <toml.hpp>

namespace filbertroad::settings
{
namespace
{

using internal::row;
using internal::value_kind;

constexpr std::string_view role_key = "role";

/// One TOML value with its dotted key.
struct leaf
{
    std::string key;
    toml::value value;
    std::uint32_t line;
};

/// Code and reason of an error; the caller adds file, line and key.
using value_error = base::error<settings_error>;

void collect_leaves(toml::value const& table, std::string const& prefix, std::vector<leaf>& out)
{
    for (auto const& [name, value] : table.as_table())
    {
        auto key = prefix;
        key.append(prefix.empty() ? "" : ".").append(name);
        if (value.is_table())
        {
            collect_leaves(value, key, out);
        }
        else
        {
            out.push_back({key, value, value.location().line()});
        }
    }
}

/// Returns the line of the first error in a message of toml11, which quotes the source as
/// ` N | source`; 0 if there is none.
std::uint32_t syntax_error_line(std::string_view text)
{
    for (auto bar = text.find(" | "); bar != std::string_view::npos;
         bar = text.find(" | ", bar + 1))
    {
        auto begin = bar;
        while (begin > 0 && std::isdigit(static_cast<unsigned char>(text[begin - 1])) != 0)
        {
            --begin;
        }
        if (begin < bar)
        {
            return static_cast<std::uint32_t>(
                std::stoul(std::string(text.substr(begin, bar - begin))));
        }
    }
    return 0;
}

/// Returns the first line of a toml11 message, without the name of the reporting function.
std::string syntax_error_reason(std::string_view text)
{
    auto line = text.substr(0, text.find('\n'));
    for (std::string_view const prefix : {"[error] ", "toml::"})
    {
        if (line.starts_with(prefix))
        {
            line.remove_prefix(prefix.size());
        }
    }
    if (auto const colon = line.find(": "); colon != std::string_view::npos)
    {
        line.remove_prefix(colon + 2);
    }
    return std::string(line);
}

std::optional<value_error> check_text(std::string_view text, value_kind kind,
                                      internal::range bounds)
{
    switch (kind)
    {
    case value_kind::name:
        if (!model::is_valid_name(text))
        {
            return value_error{settings_error::bad_name,
                               "expected 1 to 64 characters of [A-Za-z0-9_.-]"};
        }
        break;
    case value_kind::address:
        if (!is_valid_address(text))
        {
            return value_error{settings_error::bad_address,
                               "'" + std::string(text) +
                                   "' is not an address IP:PORT with a port of 1 to 65535"};
        }
        break;
    case value_kind::token:
        if (text.size() < bounds.min || text.size() > bounds.max ||
            !std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; }))
        {
            return value_error{settings_error::out_of_range,
                               "expected " + std::to_string(bounds.min) + " to " +
                                   std::to_string(bounds.max) +
                                   " printable ASCII characters without spaces"};
        }
        break;
    case value_kind::admission_policy:
        if (text != "detector" && text != "shared")
        {
            return value_error{settings_error::bad_choice, "expected \"detector\" or \"shared\""};
        }
        break;
    case value_kind::path:
    case value_kind::number:
        break;
    }
    return std::nullopt;
}

/// Validates one value and stores it in the settings member that its schema row names.
template <class Settings>
class value_parser
{
public:
    value_parser(row<Settings> const& definition, toml::value const& value, Settings& out)
        : definition(definition), value(value), out(out)
    {
    }

    std::optional<value_error> operator()(std::string Settings::*member) const
    {
        return this->read_text(this->value, this->out.*member);
    }

    std::optional<value_error> operator()(std::uint64_t Settings::*member) const
    {
        return this->read_number(this->out.*member);
    }

    /// A number with or without decimals.
    std::optional<value_error> operator()(double Settings::*member) const
    {
        if (!this->value.is_integer() && !this->value.is_floating())
        {
            return this->wrong_type("a number");
        }
        auto const number = this->value.is_integer() ? static_cast<double>(this->value.as_integer())
                                                     : this->value.as_floating();
        auto const& bounds = this->definition.bounds;
        // False for a value that is not a number.
        bool const is_within =
            number >= static_cast<double>(bounds.min) && number <= static_cast<double>(bounds.max);
        if (!is_within)
        {
            return this->out_of_range(std::to_string(number));
        }
        this->out.*member = number;
        return std::nullopt;
    }

    std::optional<value_error> operator()(std::chrono::milliseconds Settings::*member) const
    {
        std::uint64_t number = 0;
        auto error = this->read_number(number);
        this->out.*member = std::chrono::milliseconds(number);
        return error;
    }

    std::optional<value_error> operator()(std::vector<std::string> Settings::*member) const
    {
        if (!this->value.is_array())
        {
            return this->wrong_type("an array of strings");
        }
        auto const& items = this->value.as_array();
        if (items.size() < this->definition.bounds.min ||
            items.size() > this->definition.bounds.max)
        {
            return this->out_of_range(std::to_string(items.size()) + " values");
        }
        (this->out.*member).clear();
        for (auto const& item : items)
        {
            if (auto error = this->read_text(item, (this->out.*member).emplace_back()))
            {
                return error;
            }
        }
        return std::nullopt;
    }

private:
    std::optional<value_error> read_text(toml::value const& source, std::string& target) const
    {
        if (!source.is_string())
        {
            return this->wrong_type("a string");
        }
        target = source.as_string().str;
        return check_text(target, this->definition.kind, this->definition.bounds);
    }

    std::optional<value_error> read_number(std::uint64_t& target) const
    {
        if (!this->value.is_integer())
        {
            return this->wrong_type("an integer");
        }
        auto const number = this->value.as_integer();
        auto const& bounds = this->definition.bounds;
        if (number < 0 || static_cast<std::uint64_t>(number) < bounds.min ||
            static_cast<std::uint64_t>(number) > bounds.max)
        {
            return this->out_of_range(std::to_string(number));
        }
        target = static_cast<std::uint64_t>(number);
        return std::nullopt;
    }

    static value_error wrong_type(std::string const& expected)
    {
        return {settings_error::wrong_type, "expected " + expected};
    }

    [[nodiscard]] value_error out_of_range(std::string const& found) const
    {
        auto const& bounds = this->definition.bounds;
        return {settings_error::out_of_range, found + " is outside " + std::to_string(bounds.min) +
                                                  " to " + std::to_string(bounds.max) + " " +
                                                  std::string(this->definition.unit)};
    }

    row<Settings> const& definition;
    toml::value const& value;
    Settings& out;
};

constexpr std::string_view expected_roles =
    "expected \"entry\", \"agent\", \"dispatch-entry\" or \"dispatch-agent\"";

template <class Settings>
base::result<any_settings, settings_diagnostic> read_settings(std::span<row<Settings> const> schema,
                                                              std::span<leaf const> leaves,
                                                              std::string const& file)
{
    Settings out;
    std::set<std::string_view> present_keys;
    for (auto const& leaf : leaves)
    {
        if (leaf.key == role_key)
        {
            continue;
        }
        auto const found = std::find_if(schema.begin(), schema.end(),
                                        [&](auto const& row) { return row.key == leaf.key; });
        if (found == schema.end())
        {
            return settings_diagnostic{settings_error::unknown_key, file, leaf.line, leaf.key,
                                       "unknown key"};
        }
        if (auto error = std::visit(value_parser<Settings>(*found, leaf.value, out), found->member))
        {
            return settings_diagnostic{error->code, file, leaf.line, leaf.key, error->detail};
        }
        present_keys.insert(found->key);
    }
    for (auto const& row : schema)
    {
        if (row.required && !present_keys.contains(row.key))
        {
            return settings_diagnostic{settings_error::missing, file, 0, std::string(row.key),
                                       "this key is required"};
        }
    }
    return any_settings(std::move(out));
}

base::result<any_settings, settings_diagnostic> read_document(toml::value const& document,
                                                              std::string const& file)
{
    std::vector<leaf> leaves;
    collect_leaves(document, "", leaves);
    std::stable_sort(leaves.begin(), leaves.end(),
                     [](leaf const& a, leaf const& b) { return a.line < b.line; });
    auto const role = std::find_if(leaves.begin(), leaves.end(),
                                   [](leaf const& leaf) { return leaf.key == role_key; });
    if (role == leaves.end())
    {
        return settings_diagnostic{settings_error::missing, file, 0, std::string(role_key),
                                   std::string(expected_roles)};
    }
    auto const text = role->value.is_string() ? role->value.as_string().str : std::string();
    if (text == "entry")
    {
        return read_settings<entry_settings>(internal::entry_schema, leaves, file);
    }
    if (text == "agent")
    {
        return read_settings<agent_settings>(internal::agent_schema, leaves, file);
    }
    if (text == "dispatch-entry")
    {
        return read_settings<dispatch_entry_settings>(internal::dispatch_entry_schema, leaves,
                                                      file);
    }
    if (text == "dispatch-agent")
    {
        return read_settings<dispatch_agent_settings>(internal::dispatch_agent_schema, leaves,
                                                      file);
    }
    return settings_diagnostic{settings_error::out_of_range, file, role->line,
                               std::string(role_key), std::string(expected_roles)};
}

} // namespace

std::string_view role_of(any_settings const& settings)
{
    constexpr std::array<std::string_view, std::variant_size_v<any_settings>> roles{
        "entry", "agent", "dispatch-entry", "dispatch-agent"};
    return roles[settings.index()];
}

std::string to_string(settings_diagnostic const& diagnostic)
{
    auto text = diagnostic.file;
    if (diagnostic.line != 0)
    {
        text += ":" + std::to_string(diagnostic.line);
    }
    if (!diagnostic.key.empty())
    {
        text += ": " + diagnostic.key;
    }
    return text + ": " + diagnostic.reason;
}

base::result<any_settings, settings_diagnostic> parse(std::string_view text,
                                                      std::string const& file)
{
    try
    {
        std::istringstream stream{std::string(text)};
        auto loaded = read_document(toml::parse(stream, file), file);
        if (loaded.has_value())
        {
            if (auto* entry = std::get_if<entry_settings>(&loaded.value()))
            {
                auto const default_to = [](std::string& address, std::string const& listen)
                { address = address.empty() ? listen : address; };
                default_to(entry->advertise_http, entry->listen_http);
                default_to(entry->advertise_link, entry->listen_link);
            }
        }
        return loaded;
    }
    catch (std::exception const& error)
    {
        return settings_diagnostic{settings_error::syntax, file, syntax_error_line(error.what()),
                                   "", syntax_error_reason(error.what())};
    }
}

base::result<any_settings, settings_diagnostic> load(std::string const& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    // Opening a directory succeeds, but reading it fails.
    if (!stream || !(text << stream.rdbuf()))
    {
        return settings_diagnostic{settings_error::unreadable, path, 0, "", "cannot read the file"};
    }
    return parse(text.str(), path);
}

} // namespace filbertroad::settings

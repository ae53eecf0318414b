#include "filbertroad/api/internal/table_json.hpp"

#include "filbertroad/model/job_key.hpp"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <map>
#include <set>

namespace filbertroad::api::internal
{
namespace
{

constexpr std::uint32_t max_task_timeout_ms = 10U * 60 * 1000;
constexpr std::uint32_t max_shards = 1024;
constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::uint32_t max_quota = 10'000'000;
constexpr std::size_t min_token_length = 8;
constexpr std::size_t max_token_length = 256;

using optional_error = std::optional<api_error>;

/// Validates the rows of one table and keeps the first error.
class row_validator
{
public:
    explicit row_validator(std::string_view table) : table(table) {}

    void start_row(int index) { this->row = this->table + "[" + std::to_string(index) + "]."; }

    void require(bool condition, std::string_view field, std::string_view expected)
    {
        if (!condition && !this->first_error)
        {
            auto const path = this->row + std::string(field);
            this->first_error =
                invalid(path, "field " + path + " must be " + std::string(expected));
        }
    }

    void require_name(std::string_view value, std::string_view field)
    {
        this->require(model::is_valid_name(value), field, "1 to 64 characters of [A-Za-z0-9_.-]");
    }

    void require_unique(std::string const& value, std::string_view field)
    {
        this->require(this->seen.emplace(field, value).second, field, "unique in the table");
    }

    void require_range(std::uint32_t value, std::uint32_t max, std::string_view field)
    {
        this->require(value >= 1 && value <= max, field,
                      "an integer of 1 to " + std::to_string(max));
    }

    template <class Names>
    void require_names(Names const& names, std::string const& field)
    {
        for (int i = 0; i < names.size(); ++i)
        {
            this->require_name(names[i], field + "[" + std::to_string(i) + "]");
        }
    }

    [[nodiscard]] optional_error const& result() const { return this->first_error; }

private:
    std::string table;
    std::string row;
    std::set<std::pair<std::string, std::string>> seen;
    optional_error first_error;
};

optional_error check(wire::routes_table const& table)
{
    row_validator checks("routes");
    for (int i = 0; i < table.routes_size(); ++i)
    {
        auto const& route = table.routes(i);
        checks.start_row(i);
        checks.require_name(route.name(), "name");
        checks.require_unique(route.name(), "name");
        checks.require_name(route.pool(), "pool");
        checks.require_range(route.task_timeout_ms(), max_task_timeout_ms, "task_timeout_ms");
    }
    return checks.result();
}

optional_error check(wire::pools_table const& table)
{
    row_validator checks("pools");
    std::map<std::string, std::uint32_t> shards;
    for (int i = 0; i < table.pools_size(); ++i)
    {
        auto const& pool = table.pools(i);
        checks.start_row(i);
        checks.require_name(pool.name(), "name");
        checks.require_unique(pool.name(), "name");
        checks.require_name(pool.service(), "service");
        checks.require_names(pool.zones(), "zones");
        checks.require_names(pool.labels(), "labels");
        checks.require_range(pool.shards(), max_shards, "shards");
        auto const [known, is_new] = shards.emplace(pool.service(), pool.shards());
        checks.require(known->second == pool.shards(), "shards",
                       "equal in all pools of service " + pool.service());
    }
    return checks.result();
}

bool is_valid_token(std::string_view token)
{
    return token.size() >= min_token_length && token.size() <= max_token_length &&
           std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c <= '~'; });
}

optional_error check(wire::teams_table const& table)
{
    row_validator checks("teams");
    for (int i = 0; i < table.teams_size(); ++i)
    {
        auto const& team = table.teams(i);
        checks.start_row(i);
        checks.require_name(team.name(), "name");
        checks.require_unique(team.name(), "name");
        checks.require(is_valid_token(team.token()), "token",
                       "8 to 256 printable ASCII characters without spaces");
        checks.require_unique(team.token(), "token");
        checks.require_range(team.weight(), max_weight, "weight");
        checks.require_range(team.max_running(), max_quota, "max_running");
        checks.require_range(team.max_queued(), max_quota, "max_queued");
    }
    return checks.result();
}

/// Converts an error message of the JSON parser of protobuf. For an unknown field in a message it
/// reads `(routes[0]) colour: Cannot find field.`, otherwise `(routes[0].name): invalid value ...`
/// or a syntax error.
api_error json_error(std::string const& message)
{
    std::string path;
    auto rest = message;
    if (auto const close = message.find(')');
        message.starts_with('(') && close != std::string::npos)
    {
        path = message.substr(1, close - 1);
        rest = message.substr(close + 1);
    }
    auto const colon = rest.find(": ");
    bool const is_unknown = message.find("Cannot find field") != std::string::npos;
    if (is_unknown && colon != std::string::npos)
    {
        auto name = rest.substr(0, colon);
        name.erase(0, name.find_first_not_of(' '));
        path += (path.empty() ? "" : ".") + name;
        return invalid(path, "field " + path + " is unknown", "unknown_field");
    }
    if (path.empty())
    {
        auto const line = message.substr(0, message.find('\n'));
        return invalid("body", "the body is not a valid JSON table: " + line, "invalid_json");
    }
    return invalid(path, "field " + path +
                             rest.substr(rest.starts_with(':') ? 0 : std::min(colon, rest.size())));
}

} // namespace

std::string to_json(versioned_table const& table)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    std::visit(
        [&](auto const& value)
        {
            // Conversion cannot fail: tables contain only strings and numbers.
            static_cast<void>(google::protobuf::util::MessageToJsonString(value, &text, options));
        },
        table.table);
    return "{\"version\":" + std::to_string(table.version) + ",\"table\":" + text + "}";
}

std::optional<api_error> read_table(table_kind kind, std::string const& body, table_value& out)
{
    switch (kind)
    {
    case table_kind::routes:
        out = wire::routes_table();
        break;
    case table_kind::pools:
        out = wire::pools_table();
        break;
    case table_kind::teams:
        out = wire::teams_table();
        break;
    }
    return std::visit(
        [&](auto& value) -> optional_error
        {
            auto const status = google::protobuf::util::JsonStringToMessage(body, &value);
            return status.ok() ? check(value) : json_error(std::string(status.message()));
        },
        out);
}

} // namespace filbertroad::api::internal

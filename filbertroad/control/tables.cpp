#include "filbertroad/control/tables.hpp"

#include "filbertroad/model/job_key.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace filbertroad::control
{
namespace
{

std::string place(std::string_view table, int index, std::string_view name, std::string_view field)
{
    return std::string(table) + "[" + std::to_string(index) + "] \"" + std::string(name) + "\", " +
           std::string(field) + ": ";
}

/// Faults of names within one table; remembers the names for the check on duplicates.
class name_check
{
public:
    explicit name_check(std::string_view table) : table(table) {}

    table_fault entry(int index, std::string const& name)
    {
        if (!model::is_valid_name(name))
        {
            return this->bad_name(index, name, "name");
        }
        if (!this->names.insert(name).second)
        {
            return base::error<table_error>{
                table_error::duplicate, place(this->table, index, name, "name") + "appears twice"};
        }
        return {};
    }

    [[nodiscard]] table_fault reference(int index, std::string const& name, std::string_view field,
                                        std::string const& value) const
    {
        return model::is_valid_name(value) ? table_fault() : this->bad_name(index, name, field);
    }

    [[nodiscard]] table_fault range(int index, std::string const& name, std::string_view field,
                                    std::string const& range) const
    {
        return base::error<table_error>{
            table_error::out_of_range, place(this->table, index, name, field) + "must be " + range};
    }

private:
    [[nodiscard]] table_fault bad_name(int index, std::string const& name,
                                       std::string_view field) const
    {
        return base::error<table_error>{table_error::bad_name,
                                        place(this->table, index, name, field) +
                                            "must be 1 to 64 characters of [A-Za-z0-9_.-]"};
    }

    std::string_view table;
    std::set<std::string> names;
};

table_fault find_pool_fault(name_check& check, int index, wire::pool const& pool)
{
    if (auto fault = check.entry(index, pool.name()))
    {
        return fault;
    }
    if (auto fault = check.reference(index, pool.name(), "service", pool.service()))
    {
        return fault;
    }
    for (auto const& zone : pool.zones())
    {
        if (auto fault = check.reference(index, pool.name(), "zones", zone))
        {
            return fault;
        }
    }
    for (auto const& label : pool.labels())
    {
        if (auto fault = check.reference(index, pool.name(), "labels", label))
        {
            return fault;
        }
    }
    if (pool.shards() < 1 || pool.shards() > max_shards)
    {
        return check.range(index, pool.name(), "shards", "1 to " + std::to_string(max_shards));
    }
    return {};
}

} // namespace

table_fault find_fault(wire::routes_table const& table)
{
    name_check check("routes");
    for (int index = 0; index < table.routes_size(); ++index)
    {
        auto const& route = table.routes(index);
        if (auto fault = check.entry(index, route.name()))
        {
            return fault;
        }
        if (auto fault = check.reference(index, route.name(), "pool", route.pool()))
        {
            return fault;
        }
    }
    return {};
}

table_fault find_fault(wire::pools_table const& table)
{
    name_check check("pools");
    std::map<std::string, std::uint32_t> shards;
    for (int index = 0; index < table.pools_size(); ++index)
    {
        auto const& pool = table.pools(index);
        if (auto fault = find_pool_fault(check, index, pool))
        {
            return fault;
        }
        auto const known = shards.emplace(pool.service(), pool.shards()).first->second;
        if (known != pool.shards())
        {
            return base::error<table_error>{table_error::shards_differ,
                                            place("pools", index, pool.name(), "shards") +
                                                "other pools of service \"" + pool.service() +
                                                "\" have " + std::to_string(known)};
        }
    }
    return {};
}

table_fault find_fault(wire::teams_table const& table)
{
    name_check check("teams");
    std::set<std::string> tokens;
    for (int index = 0; index < table.teams_size(); ++index)
    {
        auto const& team = table.teams(index);
        if (auto fault = check.entry(index, team.name()))
        {
            return fault;
        }
        if (team.token().empty())
        {
            return check.range(index, team.name(), "token", "at least one character");
        }
        if (!tokens.insert(team.token()).second)
        {
            return base::error<table_error>{table_error::duplicate,
                                            place("teams", index, team.name(), "token") +
                                                "is the token of another team"};
        }
        if (team.weight() < 1)
        {
            return check.range(index, team.name(), "weight", "at least 1");
        }
    }
    return {};
}

table_fault find_fault(wire::table_change const& change)
{
    switch (change.table_case())
    {
    case wire::table_change::kRoutes:
        return find_fault(change.routes());
    case wire::table_change::kPools:
        return find_fault(change.pools());
    case wire::table_change::kTeams:
        return find_fault(change.teams());
    case wire::table_change::TABLE_NOT_SET:
        break;
    }
    return base::error<table_error>{table_error::no_table,
                                    "table: one of routes, pools and teams must be set"};
}

} // namespace filbertroad::control

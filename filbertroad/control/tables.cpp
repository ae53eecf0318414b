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

std::string describe_field(std::string_view table, int index, std::string_view name,
                           std::string_view field)
{
    return std::string(table) + "[" + std::to_string(index) + "] \"" + std::string(name) + "\", " +
           std::string(field) + ": ";
}

/// Validates the names in one table. Stores the names of the entries to detect duplicates.
class name_validator
{
public:
    explicit name_validator(std::string_view table) : table(table) {}

    table_validation_error check_entry(int index, std::string const& name)
    {
        if (!model::is_valid_name(name))
        {
            return this->invalid_name(index, name, "name");
        }
        if (!this->names.insert(name).second)
        {
            return base::error<table_error>{table_error::duplicate,
                                            describe_field(this->table, index, name, "name") +
                                                "appears twice"};
        }
        return {};
    }

    [[nodiscard]] table_validation_error check_reference(int index, std::string const& name,
                                                         std::string_view field,
                                                         std::string const& value) const
    {
        return model::is_valid_name(value) ? table_validation_error()
                                           : this->invalid_name(index, name, field);
    }

    [[nodiscard]] table_validation_error out_of_range_error(int index, std::string const& name,
                                                            std::string_view field,
                                                            std::string const& range) const
    {
        return base::error<table_error>{table_error::out_of_range,
                                        describe_field(this->table, index, name, field) +
                                            "must be " + range};
    }

private:
    [[nodiscard]] table_validation_error invalid_name(int index, std::string const& name,
                                                      std::string_view field) const
    {
        return base::error<table_error>{table_error::invalid_name,
                                        describe_field(this->table, index, name, field) +
                                            "must be 1 to 64 characters of [A-Za-z0-9_.-]"};
    }

    std::string_view table;
    std::set<std::string> names;
};

table_validation_error validate_pool(name_validator& validator, int index, wire::pool const& pool)
{
    if (auto violation = validator.check_entry(index, pool.name()))
    {
        return violation;
    }
    if (auto violation = validator.check_reference(index, pool.name(), "service", pool.service()))
    {
        return violation;
    }
    for (auto const& zone : pool.zones())
    {
        if (auto violation = validator.check_reference(index, pool.name(), "zones", zone))
        {
            return violation;
        }
    }
    for (auto const& label : pool.labels())
    {
        if (auto violation = validator.check_reference(index, pool.name(), "labels", label))
        {
            return violation;
        }
    }
    if (pool.shards() < 1 || pool.shards() > max_shards)
    {
        return validator.out_of_range_error(index, pool.name(), "shards",
                                            "1 to " + std::to_string(max_shards));
    }
    return {};
}

} // namespace

table_validation_error validate(wire::routes_table const& table)
{
    name_validator validator("routes");
    for (int index = 0; index < table.routes_size(); ++index)
    {
        auto const& route = table.routes(index);
        if (auto violation = validator.check_entry(index, route.name()))
        {
            return violation;
        }
        if (auto violation = validator.check_reference(index, route.name(), "pool", route.pool()))
        {
            return violation;
        }
    }
    return {};
}

table_validation_error validate(wire::pools_table const& table)
{
    name_validator validator("pools");
    std::map<std::string, std::uint32_t> shards;
    for (int index = 0; index < table.pools_size(); ++index)
    {
        auto const& pool = table.pools(index);
        if (auto violation = validate_pool(validator, index, pool))
        {
            return violation;
        }
        auto const known = shards.emplace(pool.service(), pool.shards()).first->second;
        if (known != pool.shards())
        {
            return base::error<table_error>{table_error::shard_count_mismatch,
                                            describe_field("pools", index, pool.name(), "shards") +
                                                "other pools of service \"" + pool.service() +
                                                "\" have " + std::to_string(known)};
        }
    }
    return {};
}

table_validation_error validate(wire::teams_table const& table)
{
    name_validator validator("teams");
    std::set<std::string> tokens;
    for (int index = 0; index < table.teams_size(); ++index)
    {
        auto const& team = table.teams(index);
        if (auto violation = validator.check_entry(index, team.name()))
        {
            return violation;
        }
        if (team.token().empty())
        {
            return validator.out_of_range_error(index, team.name(), "token",
                                                "at least one character");
        }
        if (!tokens.insert(team.token()).second)
        {
            return base::error<table_error>{table_error::duplicate,
                                            describe_field("teams", index, team.name(), "token") +
                                                "is the token of another team"};
        }
        if (team.weight() < 1)
        {
            return validator.out_of_range_error(index, team.name(), "weight", "at least 1");
        }
    }
    return {};
}

table_validation_error validate(wire::table_change const& change)
{
    switch (change.table_case())
    {
    case wire::table_change::kRoutes:
        return validate(change.routes());
    case wire::table_change::kPools:
        return validate(change.pools());
    case wire::table_change::kTeams:
        return validate(change.teams());
    case wire::table_change::TABLE_NOT_SET:
        break;
    }
    return base::error<table_error>{table_error::missing_table,
                                    "table: one of routes, pools and teams must be set"};
}

} // namespace filbertroad::control

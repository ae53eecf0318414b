#include "filbertroad/submission/internal/errors.hpp"

#include <array>
#include <string>

namespace filbertroad::submission::internal
{
namespace
{

struct error_properties
{
    error_code code;
    std::string_view text;
    std::string_view not_run;
    /// Shortest retry time in milliseconds; 0 means that the same request cannot succeed later.
    std::uint32_t retry_ms;
};

// not_run is "yes" only if no task of the request can have started at this or any other owner.
constexpr std::array properties{
    error_properties{error_code::bad_key, "bad_key", "yes", 0},
    error_properties{error_code::bad_request, "bad_request", "yes", 0},
    error_properties{error_code::key_reused, "key_reused", "yes", 0},
    error_properties{error_code::key_reused_in_doubt, "key_reused", "unknown", 0},
    error_properties{error_code::wrong_team, "wrong_team", "unknown", 0},
    error_properties{error_code::key_expired, "key_expired", "unknown", 0},
    error_properties{error_code::key_in_future, "key_in_future", "unknown", 1000},
    error_properties{error_code::not_owner, "not_owner", "unknown", 200},
    error_properties{error_code::leaving, "leaving", "unknown", 200},
    error_properties{error_code::not_confirmed, "not_confirmed", "unknown", 500},
    error_properties{error_code::outcome_unknown, "outcome_unknown", "unknown", 500},
    error_properties{error_code::overloaded, "overloaded", "yes", 500},
    error_properties{error_code::team_over_quota, "team_over_quota", "yes", 500},
    error_properties{error_code::deadline_unreachable, "deadline_unreachable", "yes", 500},
    error_properties{error_code::memory_full, "memory_full", "yes", 1000},
    error_properties{error_code::rest_not_admitted, "rest_not_admitted", "no", 500},
    error_properties{error_code::unknown_job, "unknown_job", "yes", 0},
    error_properties{error_code::job_not_ended, "job_not_ended", "unknown", 200},
    error_properties{error_code::acknowledged, "acknowledged", "no", 0},
};

constexpr bool is_sorted_by_code()
{
    for (std::size_t i = 0; i < properties.size(); ++i)
    {
        if (static_cast<std::size_t>(properties[i].code) != i)
        {
            return false;
        }
    }
    return true;
}
static_assert(is_sorted_by_code(), "the table is indexed by the code");

} // namespace

wire::request_error make_error(error_code code, std::string_view detail, std::uint64_t jitter_seed)
{
    auto const& row = properties.at(static_cast<std::size_t>(code));
    auto const jitter = row.retry_ms == 0 ? 0 : jitter_seed % row.retry_ms;
    return make_error(code, detail, std::chrono::milliseconds(row.retry_ms + jitter));
}

wire::request_error make_error(error_code code, std::string_view detail,
                               std::chrono::milliseconds retry_after)
{
    auto const& row = properties.at(static_cast<std::size_t>(code));
    wire::request_error error;
    error.set_code(std::string(row.text));
    error.set_detail(std::string(detail));
    error.set_not_run(std::string(row.not_run));
    error.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    return error;
}

} // namespace filbertroad::submission::internal

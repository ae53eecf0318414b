#ifndef FILBERTROAD_API_INTERNAL_ACCESS_FILTERS_HPP
#define FILBERTROAD_API_INTERNAL_ACCESS_FILTERS_HPP

/// Filters that decide who may ask, how much and how often.

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/api/internal/request_context.hpp"
#include "filbertroad/api/internal/token_bucket.hpp"
#include "filbertroad/base/clock.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace filbertroad::api::internal
{

/// Bounds the body and the path. Time limits of reading are those of net::http_limits.
class size_filter
{
public:
    /// Longest path and longest query, in bytes.
    static constexpr std::size_t max_path_bytes = 1024;

    explicit size_filter(std::size_t max_body_bytes) : max_body_bytes(max_body_bytes) {}
    std::optional<api_error> check(request_context& context);

private:
    std::size_t max_body_bytes;
};

/// Takes the token from `Authorization: Bearer TOKEN`. Operators may also send it as the password
/// of `Authorization: Basic`, which lets a browser show the status page.
class authenticate_filter
{
public:
    authenticate_filter(entry_service const& service, std::string operator_token)
        : service(&service), operator_token(std::move(operator_token))
    {
    }
    std::optional<api_error> check(request_context& context);

private:
    [[nodiscard]] bool is_operator(std::string_view token) const;

    entry_service const* service;
    std::string operator_token;
};

/// Requests per second and burst of one team, or of all operators, at one entry.
struct rate_limits
{
    double team_rate = 10'000;
    double operator_rate = 200;
};

/// Refuses requests of a team beyond its rate. A team cannot use up the rate of another.
class rate_filter
{
public:
    rate_filter(base::clock const& clock, rate_limits limits)
        : clock(&clock), limits(limits), state(std::make_unique<shared_state>())
    {
    }
    std::optional<api_error> check(request_context& context);

private:
    struct shared_state
    {
        std::mutex lock;
        /// By team; the entry with the empty name is that of the operators.
        std::unordered_map<std::string, token_bucket> buckets;
    };

    base::clock const* clock;
    rate_limits limits;
    std::unique_ptr<shared_state> state;
};

} // namespace filbertroad::api::internal

#endif

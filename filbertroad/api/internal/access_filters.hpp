#ifndef FILBERTROAD_API_INTERNAL_ACCESS_FILTERS_HPP
#define FILBERTROAD_API_INTERNAL_ACCESS_FILTERS_HPP

/// Filters for request size, authentication and rate limits.

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

/// Limits the sizes of body, path and query. Read timeouts are enforced by net::http_limits.
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

/// Authenticates the token of `Authorization: Bearer TOKEN`. The token may also be sent as the
/// password of `Authorization: Basic`, so that operators can open the status page in a browser.
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

/// Requests per second of one team, and of all operators together, at one entry. The burst size is
/// one second's worth.
struct rate_limits
{
    double team_rate = 10'000;
    double operator_rate = 200;
};

/// Rejects requests beyond the rate limit. Each team has its own bucket, so that no team can use up
/// the rate of another.
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
        /// Key: team name; the operators share the bucket with the empty name.
        std::unordered_map<std::string, token_bucket> buckets;
    };

    base::clock const* clock;
    rate_limits limits;
    std::unique_ptr<shared_state> state;
};

} // namespace filbertroad::api::internal

#endif

#include "filbertroad/api/internal/access_filters.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace filbertroad::api::internal
{
namespace
{

constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::string_view basic_scheme = "Basic ";

/// Returns the password of base64-encoded Basic credentials; empty if they are malformed.
std::string basic_password(std::string_view encoded)
{
    std::string decoded(encoded.size(), '\0');
    auto const size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                                      reinterpret_cast<unsigned char const*>(encoded.data()),
                                      static_cast<int>(encoded.size()));
    if (size < 0)
    {
        return "";
    }
    // EVP_DecodeBlock decodes padding as zero bytes and includes them in the size.
    decoded.resize(static_cast<std::size_t>(size));
    decoded.resize(decoded.find_last_not_of('\0') + 1);
    auto const colon = decoded.find(':');
    return colon == std::string::npos ? "" : decoded.substr(colon + 1);
}

std::string request_token(net::http_request const& request)
{
    auto const value = request.header("authorization");
    if (value.starts_with(bearer_scheme))
    {
        return std::string(value.substr(bearer_scheme.size()));
    }
    if (value.starts_with(basic_scheme))
    {
        return basic_password(value.substr(basic_scheme.size()));
    }
    return "";
}

} // namespace

std::optional<api_error> size_filter::check(request_context& context)
{
    if (context.request.path.size() > max_path_bytes ||
        context.request.query.size() > max_path_bytes)
    {
        return api_error{.status = 414,
                         .code = "too_large",
                         .detail = "path and query must have at most " +
                                   std::to_string(max_path_bytes) + " bytes each",
                         .field = "path",
                         .not_run = tristate::unknown};
    }
    if (context.request.body.size() > this->max_body_bytes)
    {
        return api_error{.status = 413,
                         .code = "too_large",
                         .detail = "the body has " + std::to_string(context.request.body.size()) +
                                   " bytes; at most " + std::to_string(this->max_body_bytes) +
                                   " are accepted",
                         .field = "body",
                         .not_run = tristate::yes};
    }
    return std::nullopt;
}

bool authenticate_filter::is_operator(std::string_view token) const
{
    // Constant-time comparison: timing must not reveal how long a matching prefix is.
    return token.size() == this->operator_token.size() &&
           CRYPTO_memcmp(token.data(), this->operator_token.data(), token.size()) == 0;
}

std::optional<api_error> authenticate_filter::check(request_context& context)
{
    auto const token = request_token(context.request);
    bool const has_operator_token = this->is_operator(token);
    auto const team =
        has_operator_token || token.empty() ? std::nullopt : this->service->team_by_token(token);
    if (!has_operator_token && !team)
    {
        return api_error{.status = 401,
                         .code = "unauthorized",
                         .detail = "header Authorization must hold a valid token as Bearer TOKEN",
                         .field = "Authorization"};
    }
    if (has_operator_token == is_for_callers(context.op))
    {
        return api_error{.status = 403,
                         .code = "forbidden",
                         .detail = has_operator_token
                                       ? "this request requires the token of a team"
                                       : "this request requires the token of operators",
                         .field = "Authorization"};
    }
    context.team = team ? team->name() : "";
    return std::nullopt;
}

std::optional<api_error> rate_filter::check(request_context& context)
{
    auto const rate = context.team.empty() ? this->limits.operator_rate : this->limits.team_rate;
    auto const now = this->clock->steady_now();
    std::lock_guard const guard(this->state->lock);
    auto const [bucket, is_new] = this->state->buckets.try_emplace(context.team, rate, now);
    auto const wait = bucket->second.take(now);
    if (wait.count() == 0)
    {
        return std::nullopt;
    }
    return api_error{.status = 429,
                     .code = "rate_limited",
                     .detail = "rate limit exceeded: at most " +
                               std::to_string(static_cast<std::uint64_t>(rate)) +
                               " requests per second at this entry",
                     .retry_after_ms = static_cast<std::uint32_t>(wait.count())};
}

} // namespace filbertroad::api::internal

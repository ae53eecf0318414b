#ifndef FILBERTROAD_API_INTERNAL_TOKEN_BUCKET_HPP
#define FILBERTROAD_API_INTERNAL_TOKEN_BUCKET_HPP

/// A token bucket whose capacity is one second's worth of tokens.

#include "filbertroad/base/clock.hpp"

#include <algorithm>
#include <chrono>

namespace filbertroad::api::internal
{

/// Not thread safe.
class token_bucket
{
public:
    /// `rate` is in tokens per second and at least 1; the bucket starts full.
    token_bucket(double rate, base::steady_time now) : rate(rate), tokens(rate), refilled_at(now) {}

    /// Takes one token and returns zero. If the bucket is empty, takes nothing and returns the time
    /// until the next token.
    std::chrono::milliseconds take(base::steady_time now)
    {
        std::chrono::duration<double> const elapsed = now - this->refilled_at;
        this->tokens = std::min(this->rate, this->tokens + elapsed.count() * this->rate);
        this->refilled_at = now;
        if (this->tokens >= 1)
        {
            this->tokens -= 1;
            return std::chrono::milliseconds(0);
        }
        std::chrono::duration<double> const missing((1 - this->tokens) / this->rate);
        return std::chrono::ceil<std::chrono::milliseconds>(missing);
    }

private:
    double rate;
    double tokens;
    base::steady_time refilled_at;
};

} // namespace filbertroad::api::internal

#endif

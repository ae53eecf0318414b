#ifndef FILBERTROAD_STANDIN_RATE_LIMITER_HPP
#define FILBERTROAD_STANDIN_RATE_LIMITER_HPP

/// Token-bucket rate limiter.
///
///     standin::rate_limiter limiter(300, clock.steady_now());
///     if (!limiter.try_take(clock.steady_now())) return refused;

#include "filbertroad/base/clock.hpp"

namespace filbertroad::standin
{

/// Token bucket that starts full. Not thread-safe.
class rate_limiter
{
public:
    /// Capacity of the bucket, in seconds of the rate; at least one token.
    static constexpr double burst_seconds = 0.1;

    /// `rate` is in tokens per second; 0 means no limit.
    rate_limiter(double rate, base::steady_time now);

    /// Takes a token; false if none is available.
    bool try_take(base::steady_time now);

    /// Changes the rate. Tokens accumulated at the old rate are kept, up to the new capacity.
    void set_rate(double rate, base::steady_time now);

private:
    [[nodiscard]] double burst() const;
    void refill(base::steady_time now);

    double rate;
    double tokens;
    base::steady_time last_refill;
};

} // namespace filbertroad::standin

#endif

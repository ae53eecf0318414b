#ifndef FILBERTROAD_STANDIN_RATE_LIMITER_HPP
#define FILBERTROAD_STANDIN_RATE_LIMITER_HPP

/// Token bucket.
///
///     standin::rate_limiter limiter(300, clock.steady_now());
///     if (!limiter.try_take(clock.steady_now())) return refused;

#include "filbertroad/base/clock.hpp"

namespace filbertroad::standin
{

/// Not safe for several threads.
class rate_limiter
{
public:
    /// Share of a second's tokens that may be taken at once.
    static constexpr double burst_seconds = 0.1;

    /// `rate` in tokens per second; 0 means no limit.
    rate_limiter(double rate, base::steady_time now);

    /// Takes a token if there is one.
    bool try_take(base::steady_time now);

    /// Changes the rate; the tokens that the old rate has earned stay, up to the new burst.
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

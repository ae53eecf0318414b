#include "filbertroad/standin/rate_limiter.hpp"

#include <algorithm>

namespace filbertroad::standin
{

rate_limiter::rate_limiter(double rate, base::steady_time now)
    : rate(rate), tokens(burst()), last_refill(now)
{
}

double rate_limiter::burst() const
{
    return std::max(1.0, this->rate * burst_seconds);
}

void rate_limiter::refill(base::steady_time now)
{
    std::chrono::duration<double> const elapsed = now - this->last_refill;
    this->last_refill = now;
    this->tokens = std::min(this->burst(), this->tokens + elapsed.count() * this->rate);
}

bool rate_limiter::try_take(base::steady_time now)
{
    if (this->rate <= 0)
    {
        return true;
    }
    this->refill(now);
    if (this->tokens < 1)
    {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void rate_limiter::set_rate(double rate, base::steady_time now)
{
    this->refill(now);
    this->rate = rate;
    this->tokens = std::min(this->tokens, this->burst());
}

} // namespace filbertroad::standin

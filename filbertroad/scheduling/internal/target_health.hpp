#ifndef FILBERTROAD_SCHEDULING_INTERNAL_TARGET_HEALTH_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_TARGET_HEALTH_HPP

/// Health of one target: in_service, ejected or probing. An ejected target gets no work until its
/// backoff has elapsed; then it is probed with one task at a time. Each ejection of a probing
/// target doubles the backoff.
///
///     target_health health;
///     health.eject(now, jitter);
///     health.advance(now);     // probing once the backoff has elapsed
///     health.task_succeeded(); // in_service after enough successes
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"

#include <chrono>
#include <memory>
#include <string_view>

namespace filbertroad::scheduling::internal
{

enum class health_state
{
    in_service,
    ejected,
    probing,
};

[[nodiscard]] std::string_view to_string(health_state state);

class target_health
{
public:
    target_health();
    target_health(target_health&&) noexcept;
    target_health& operator=(target_health&&) noexcept;
    ~target_health();

    [[nodiscard]] health_state state() const { return this->current; }
    /// Ejects the target for the backoff times 1 + `jitter`; `jitter` is in [0, 1) and spreads the
    /// ends of the backoffs. If the target was probing, the backoff is twice the last one, up to a
    /// bound. Does nothing if the target is ejected already.
    void eject(base::steady_time now, double jitter);
    /// Starts probing if the backoff has elapsed.
    void advance(base::steady_time now);
    /// Reports a successful task. Returns true if it put a probing target back into service.
    bool task_succeeded();

private:
    struct machine;
    std::unique_ptr<machine> impl;
    health_state current = health_state::in_service;
    base::steady_time ejected_until{};
};

} // namespace filbertroad::scheduling::internal

#endif

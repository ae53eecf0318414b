#ifndef FILBERTROAD_SCHEDULING_INTERNAL_TARGET_HEALTH_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_TARGET_HEALTH_HPP

/// Health of one target: in_service, ejected or probing. An ejected target takes no work until its
/// backoff has passed; then one task at a time probes it. The backoff doubles with each ejection.
///
///     target_health health;
///     health.eject(now, jitter);
///     health.advance(now);         // probing once the backoff has passed
///     health.probe_succeeded(now); // in_service after enough successes
///
/// Not safe for several threads.

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
    /// Takes the target out; `jitter` in [0, 1) spreads the end of the backoff. From probing the
    /// backoff is twice the last one, up to a bound.
    void eject(base::steady_time now, double jitter);
    /// Starts probing when the backoff has passed.
    void advance(base::steady_time now);
    /// A task succeeded; returns true if that put a probing target back into service.
    bool task_succeeded();

private:
    struct machine;
    std::unique_ptr<machine> impl;
    health_state current = health_state::in_service;
    base::steady_time ejected_until{};
};

} // namespace filbertroad::scheduling::internal

#endif

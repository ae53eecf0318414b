#ifndef FILBERTROAD_BASE_CLOCK_HPP
#define FILBERTROAD_BASE_CLOCK_HPP

/// Clocks behind an interface, so that tests control the time that the code under test reads.
///
///     base::manual_clock clock;
///     tracker.read_finished(clock.steady_now());
///     clock.advance(std::chrono::seconds(2));

#include <chrono>

namespace filbertroad::base
{

using steady_time = std::chrono::steady_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Source of time. Implementations are thread-safe unless they say otherwise.
class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time, for intervals and timeouts.
    [[nodiscard]] virtual steady_time steady_now() const = 0;

    /// Wall clock time, for ages of keys and for display.
    [[nodiscard]] virtual system_time system_now() const = 0;
};

/// The monotonic and wall clocks of the machine. Thread-safe.
class machine_clock final : public clock
{
public:
    [[nodiscard]] steady_time steady_now() const override;
    [[nodiscard]] system_time system_now() const override;
};

/// A clock for tests that only advances on request. Not thread-safe.
class manual_clock final : public clock
{
public:
    [[nodiscard]] steady_time steady_now() const override { return this->steady; }
    [[nodiscard]] system_time system_now() const override { return this->system; }

    /// Advances both clocks by `step`.
    void advance(std::chrono::nanoseconds step);

    /// Shifts only the wall clock, like a correction of the machine's time. `step` may be negative.
    void shift_system(std::chrono::nanoseconds step);

private:
    steady_time steady{std::chrono::hours(1)};
    system_time system{std::chrono::hours(24 * 365 * 55)};
};

/// Milliseconds since the Unix epoch.
[[nodiscard]] std::uint64_t to_unix_ms(system_time time);

/// Inverse of to_unix_ms(); `unix_ms` is in milliseconds.
[[nodiscard]] system_time from_unix_ms(std::uint64_t unix_ms);

} // namespace filbertroad::base

#endif

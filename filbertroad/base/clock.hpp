#ifndef FILBERTROAD_BASE_CLOCK_HPP
#define FILBERTROAD_BASE_CLOCK_HPP

/// Time as an interface, so that decisions and tests choose their own time.
///
///     base::manual_clock clock;
///     tracker.read_finished(clock.steady_now());
///     clock.advance(std::chrono::seconds(2));

#include <chrono>

namespace filbertroad::base
{

using steady_time = std::chrono::steady_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Source of time. Implementations may be called from several threads.
class clock
{
public:
    virtual ~clock() = default;

    /// Time for intervals; never goes back.
    [[nodiscard]] virtual steady_time steady_now() const = 0;

    /// Wall clock time; for ages of keys and for people.
    [[nodiscard]] virtual system_time system_now() const = 0;
};

/// The clocks of the machine.
class machine_clock final : public clock
{
public:
    [[nodiscard]] steady_time steady_now() const override;
    [[nodiscard]] system_time system_now() const override;
};

/// A clock that moves only when told to. Not safe for several threads.
class manual_clock final : public clock
{
public:
    [[nodiscard]] steady_time steady_now() const override { return this->steady; }
    [[nodiscard]] system_time system_now() const override { return this->system; }

    /// Moves both clocks forward by `step`.
    void advance(std::chrono::nanoseconds step);

    /// Moves only the wall clock, as a correction of the machine's time does.
    void shift_system(std::chrono::nanoseconds step);

private:
    steady_time steady{std::chrono::hours(1)};
    system_time system{std::chrono::hours(24 * 365 * 55)};
};

/// Milliseconds since the Unix epoch.
[[nodiscard]] std::uint64_t to_unix_ms(system_time time);

/// Inverse of to_unix_ms.
[[nodiscard]] system_time from_unix_ms(std::uint64_t unix_ms);

} // namespace filbertroad::base

#endif

#ifndef FILBERTROAD_TELEMETRY_TRACE_CONTEXT_HPP
#define FILBERTROAD_TELEMETRY_TRACE_CONTEXT_HPP

/// W3C Trace Context (`traceparent`, version 00).
///
///     auto parent = telemetry::parse_traceparent(request.header("traceparent"));
///     auto context = parent ? telemetry::child_of(*parent, generator)
///                           : telemetry::new_trace(generator, sampled);
///     start.set_traceparent(telemetry::to_traceparent(context));
///
/// All functions are thread safe, except that calls must not share a generator without locking.

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace filbertroad::telemetry
{

struct trace_context
{
    /// High and low half of the trace id; at least one is not 0.
    std::array<std::uint64_t, 2> trace_id{};
    /// Never 0 in a valid context.
    std::uint64_t span_id = 0;
    bool sampled = false;

    friend bool operator==(trace_context const&, trace_context const&) = default;
};

/// Parses a header value. Returns nullopt if it is empty or malformed; the caller then starts a new
/// trace.
[[nodiscard]] std::optional<trace_context> parse_traceparent(std::string_view text);

/// Returns the header value `00-TRACE-SPAN-FLAGS`.
[[nodiscard]] std::string to_traceparent(trace_context const& context);

/// Returns the trace id as 32 hexadecimal digits.
[[nodiscard]] std::string trace_id_text(trace_context const& context);
/// Returns the span id as 16 hexadecimal digits.
[[nodiscard]] std::string span_id_text(std::uint64_t span_id);

/// Returns a uniformly distributed random number that is not 0.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] std::uint64_t random_id(Generator& generator)
{
    return std::uniform_int_distribution<std::uint64_t>(1)(generator);
}

/// Returns the context of the root span of a new trace.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] trace_context new_trace(Generator& generator, bool sampled)
{
    auto const high = random_id(generator);
    auto const low = random_id(generator);
    return {{high, low}, random_id(generator), sampled};
}

/// Returns the context of a child span of `parent`.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] trace_context child_of(trace_context const& parent, Generator& generator)
{
    return {parent.trace_id, random_id(generator), parent.sampled};
}

} // namespace filbertroad::telemetry

#endif

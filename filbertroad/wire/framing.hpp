#ifndef FILBERTROAD_WIRE_FRAMING_HPP
#define FILBERTROAD_WIRE_FRAMING_HPP

/// Frames on a link: a 4-byte little-endian length, then one serialised link_message.
///
///     std::string out;
///     wire::append_frame(message, out);
///     ...
///     wire::frame_reader reader(wire::default_max_frame);
///     auto fault = reader.feed(bytes, [&](wire::link_message& message) { handle(message); });
///     if (fault) close_link(fault->detail);

#include "filbertroad/base/result.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::wire
{

/// Largest frame, in bytes: a job of 270 tasks of 64 KiB each fits.
inline constexpr std::size_t default_max_frame_bytes = 32UL * 1024 * 1024;

enum class frame_error
{
    too_long,
    corrupt,
};

/// Appends the frame of `message` to `out`.
void append_frame(link_message const& message, std::string& out);

/// Cuts a byte stream into messages. Not safe for several threads.
class frame_reader
{
public:
    /// Frames longer than `max_frame` bytes are refused.
    explicit frame_reader(std::size_t max_frame_bytes) : max_frame_bytes(max_frame_bytes) {}

    /// Takes the next bytes and calls `handler` for each whole message. Returns the fault of the
    /// first bad frame; nothing after a fault is read, and the link must be closed.
    std::optional<base::error<frame_error>> feed(std::string_view bytes,
                                                 std::function<void(link_message&)> const& handler);

private:
    std::size_t max_frame_bytes;
    std::string pending;
};

} // namespace filbertroad::wire

#endif

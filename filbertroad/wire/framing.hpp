#ifndef FILBERTROAD_WIRE_FRAMING_HPP
#define FILBERTROAD_WIRE_FRAMING_HPP

/// Framing of messages on a link. A frame is a 4-byte little-endian length, followed by one
/// serialised link_message.
///
///     std::string out;
///     wire::append_frame(message, out);
///     ...
///     wire::frame_reader reader(wire::default_max_frame_bytes);
///     auto error = reader.feed(bytes, [&](wire::link_message& message) { handle(message); });
///     if (error) close_link(error->detail);

#include "filbertroad/base/result.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace filbertroad::wire
{

/// Default limit for the length of a message, in bytes. A job of 270 tasks of 64 KiB each fits.
inline constexpr std::size_t default_max_frame_bytes = 32UL * 1024 * 1024;

enum class frame_error
{
    too_long,
    corrupt,
};

/// Serialises `message` and appends its frame to `out`.
void append_frame(link_message const& message, std::string& out);

/// Parses a byte stream into messages. Not thread safe.
class frame_reader
{
public:
    /// Messages longer than `max_frame_bytes` are rejected.
    explicit frame_reader(std::size_t max_frame_bytes) : max_frame_bytes(max_frame_bytes) {}

    /// Processes the next bytes and calls `handler` for each complete message. Returns the error of
    /// the first invalid frame. Bytes after it are not read, and the link must be closed.
    std::optional<base::error<frame_error>> feed(std::string_view bytes,
                                                 std::function<void(link_message&)> const& handler);
    /// Bytes of the frame that is not complete yet.
    [[nodiscard]] std::size_t pending_bytes() const { return this->pending.size(); }

private:
    std::size_t max_frame_bytes;
    std::string pending;
};

} // namespace filbertroad::wire

#endif

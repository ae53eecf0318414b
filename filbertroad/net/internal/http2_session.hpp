#ifndef FILBERTROAD_NET_INTERNAL_HTTP2_SESSION_HPP
#define FILBERTROAD_NET_INTERNAL_HTTP2_SESSION_HPP

/// HTTP/2 framing of one link: a session with exactly one stream, which carries bytes in both
/// directions. The session does no I/O: its owner moves bytes between the session and a socket.
///
///     internal::http2_session session(internal::link_side::connecting, handler);
///     session.collect(out, 256 * 1024);
///     auto error = session.receive(bytes);

#include "filbertroad/net/link.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace filbertroad::net::internal
{

enum class link_side
{
    connecting,
    accepting,
};

/// Handles the bytes that the session receives, and supplies the bytes that it sends. Called from
/// within receive() and collect().
class stream_handler
{
public:
    /// Result of read_outgoing().
    struct chunk
    {
        /// Number of bytes copied.
        std::size_t size = 0;
        /// No bytes follow; the session sends the end of the stream.
        bool last = false;
    };

    virtual void on_stream_opened() = 0;
    /// Returns an error to end the session.
    virtual std::optional<base::error<net_error>> on_stream_bytes(std::string_view bytes) = 0;
    virtual void on_stream_ended() = 0;
    /// Copies the next outgoing bytes to `out`. A chunk of size 0 that is not the last one suspends
    /// sending until the next collect().
    virtual chunk read_outgoing(std::span<char> out) = 0;

protected:
    ~stream_handler() = default;
};

/// Not thread safe. Throws std::bad_alloc if nghttp2 cannot allocate memory.
class http2_session
{
public:
    /// `handler` must outlive the session.
    http2_session(link_side side, stream_handler& handler);
    ~http2_session();
    http2_session(http2_session const&) = delete;
    http2_session& operator=(http2_session const&) = delete;

    /// Processes bytes from the peer. After an error, receive() must not be called again.
    std::optional<base::error<net_error>> receive(std::string_view bytes);

    /// Appends bytes to send to `out` until it holds at least `limit` bytes or none are left.
    /// Returns false after an internal error of nghttp2.
    bool collect(std::string& out, std::size_t limit);

    /// Queues a GOAWAY frame with `reason`, so that the peer can log why the link was closed.
    void submit_goaway(std::string_view reason);

    /// Whether the end of the outgoing direction has been passed to collect().
    [[nodiscard]] bool has_ended_output() const { return this->output_ended; }

private:
    friend struct session_callbacks;

    void open_stream();
    void send_response_headers();

    link_side side;
    stream_handler& handler;
    nghttp2_session* session = nullptr;
    std::int32_t stream = -1;
    bool protocol_accepted = false;
    bool handshake_complete = false;
    bool output_deferred = false;
    bool output_ended = false;
    std::optional<base::error<net_error>> error;
};

} // namespace filbertroad::net::internal

#endif

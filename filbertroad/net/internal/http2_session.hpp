#ifndef FILBERTROAD_NET_INTERNAL_HTTP2_SESSION_HPP
#define FILBERTROAD_NET_INTERNAL_HTTP2_SESSION_HPP

/// HTTP/2 framing of one link: a session with exactly one stream that carries bytes both ways.
/// It does no I/O; the owner moves bytes between it and a socket.
///
///     internal::http2_session session(internal::link_side::connecting, user);
///     session.collect(out, 256 * 1024);
///     auto fault = session.receive(bytes);

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

/// Receives what the session reads, and supplies what it sends. Called from within receive() and
/// collect().
class stream_handler
{
public:
    /// Part of the outgoing bytes that was copied.
    struct chunk
    {
        std::size_t size = 0;
        /// No bytes follow; the session sends the end of the stream.
        bool last = false;
    };

    virtual void on_stream_opened() = 0;
    /// Returns a fault to end the session.
    virtual std::optional<base::error<net_error>> on_stream_bytes(std::string_view bytes) = 0;
    virtual void on_stream_ended() = 0;
    /// Copies the next outgoing bytes to `out`.
    virtual chunk read_outgoing(std::span<char> out) = 0;

protected:
    ~stream_handler() = default;
};

/// Not safe for several threads. Throws std::bad_alloc if nghttp2 gets no memory.
class http2_session
{
public:
    /// `user` must outlive the session.
    http2_session(link_side side, stream_handler& handler);
    ~http2_session();
    http2_session(http2_session const&) = delete;
    http2_session& operator=(http2_session const&) = delete;

    /// Takes bytes of the peer. After a fault the session must not be fed again.
    std::optional<base::error<net_error>> receive(std::string_view bytes);

    /// Appends bytes to send to `out` until it holds at least `limit` bytes or none are left.
    /// Returns false after an internal fault of the framing library.
    bool collect(std::string& out, std::size_t limit);

    /// Queues a GOAWAY frame with `reason`, so that the peer can log why the link ends.
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

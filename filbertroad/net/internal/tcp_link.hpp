#ifndef FILBERTROAD_NET_INTERNAL_TCP_LINK_HPP
#define FILBERTROAD_NET_INTERNAL_TCP_LINK_HPP

/// Implementation of link over TCP. It moves bytes between a socket and the HTTP/2 session.
///
///     auto link = std::make_shared<internal::tcp_link>(io, link_side::connecting, handlers);
///     link->start_connect("127.0.0.1:7101");

#include "filbertroad/net/internal/http2_session.hpp"
#include "filbertroad/net/internal/link_lifecycle.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/wire/framing.hpp"

#include <atomic>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <memory>
#include <mutex>

namespace filbertroad::net::internal
{

/// Time limit from the start of the link, including the TCP connection, until the peer has opened
/// its direction of the stream.
inline constexpr std::chrono::seconds open_timeout{5};

/// Time limit for a closing link to send its queued messages and for the peer to end its direction.
inline constexpr std::chrono::seconds close_timeout{5};

class tcp_link final : public link, private stream_handler
{
public:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;
    using socket_type = boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type>;

    /// The link uses TLS if `tls` is given.
    tcp_link(boost::asio::io_context& io, link_side side, link_handlers handlers,
             std::shared_ptr<tls_context const> tls, link_limits limits);
    ~tcp_link() override;
    tcp_link(tcp_link const&) = delete;
    tcp_link& operator=(tcp_link const&) = delete;

    /// Starts a link. Exactly one of start_connect() and start_accepted() must be called, once.
    void start_connect(std::string_view address);
    void start_accepted();

    /// Time of the last input; of the creation if there was none. Thread safe.
    [[nodiscard]] std::chrono::steady_clock::time_point last_input() const
    {
        return std::chrono::steady_clock::time_point(
            std::chrono::steady_clock::duration(this->last_input_ticks.load()));
    }
    /// Closes an accepted link for a new one. Thread safe.
    void evict(limit_reason reason);
    [[nodiscard]] bool has_received_message() const { return this->messages_received != 0; }

    /// The socket for async_accept; to be used before start_accepted().
    [[nodiscard]] socket_type& transport() { return this->socket; }

    [[nodiscard]] std::uint64_t number() const override { return this->id; }
    void send(wire::link_message const& message) override;
    void close() override;
    [[nodiscard]] link_counters counters() const override;

private:
    using timer_type =
        boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                          boost::asio::wait_traits<std::chrono::steady_clock>,
                                          strand_type>;

    /// Calls the message handler. Returns what it threw; empty if nothing. An exception must not
    /// pass through the frames of nghttp2, and ends only this link.
    [[nodiscard]] std::string deliver(wire::link_message& message);
    void on_stream_opened() override;
    std::optional<base::error<net_error>> on_stream_bytes(std::string_view bytes) override;
    void on_stream_ended() override;
    chunk read_outgoing(std::span<char> out) override;

    std::shared_ptr<tcp_link> self();
    [[nodiscard]] bool is_closed() const;
    /// Replaces the part `charged` of the total of buffered bytes. Returns false if the total is
    /// above its limit.
    [[nodiscard]] bool charge(std::size_t& charged, std::size_t bytes);
    void report(limit_reason reason) const;
    void on_connected();
    void begin_session();
    void schedule_flush();
    void begin_draining();
    void wait_readable();
    void read_available();
    void read_tls();
    /// Returns false after an error, which has closed the link.
    bool process_input(std::string_view bytes);
    void on_input_end(boost::system::error_code code);
    void flush();
    void on_written(boost::system::error_code code);
    void finish_if_drained();
    void start_timer(std::chrono::seconds limit, char const* detail);
    void fail(base::error<net_error> error);
    void send_goaway(std::string_view reason);

    std::uint64_t const id;
    strand_type strand;
    socket_type socket;
    timer_type timer;
    /// TLS stream around the socket, with its read buffer; null without TLS.
    struct tls_layer;
    std::unique_ptr<tls_layer> tls;

    // Accessed on the strand only.
    link_lifecycle lifecycle;
    link_handlers handlers;
    link_side side;
    http2_session session;
    link_limits const limits;
    wire::frame_reader reader;
    /// Part of the total of buffered bytes for input.
    std::size_t charged_input = 0;
    std::string outgoing;
    std::size_t outgoing_offset = 0;
    std::string write_buffer;
    bool connected = false;
    bool writing = false;
    bool output_shut_down = false;
    bool peer_stream_ended = false;
    bool input_ended = false;

    // Accessed by send() and counters() from any thread; guarded by `lock` unless atomic.
    mutable std::mutex lock;
    std::string pending;
    /// Bytes that were moved out of `pending` but have not been written yet.
    std::size_t unwritten_bytes = 0;
    /// Part of the total of buffered bytes for output.
    std::size_t charged_output = 0;
    bool flush_scheduled = false;
    /// send() drops further messages.
    bool send_closed = false;
    std::uint64_t messages_sent = 0;
    std::atomic<std::chrono::steady_clock::rep> last_input_ticks;
    std::atomic<std::uint64_t> messages_received = 0;
    std::atomic<std::uint64_t> bytes_sent = 0;
    std::atomic<std::uint64_t> bytes_received = 0;
};

} // namespace filbertroad::net::internal

#endif

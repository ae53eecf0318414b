#ifndef FILBERTROAD_NET_LINK_HPP
#define FILBERTROAD_NET_LINK_HPP

/// A link between two processes: one TCP connection with HTTP/2 framing (nghttp2). It carries one
/// long-lived stream with link_message frames in both directions. Messages that are queued in the
/// same iteration of the event loop are sent together.
///
///     auto server = net::link_server::listen(io, address, handlers);  // accepts links
///     auto link = net::link::connect(io, "127.0.0.1:7101", handlers);
///     link->send(message);
///
/// A link is bound to its io_context. send() and close() may be called from any thread. Handlers
/// are called on the link's strand.

#include "filbertroad/base/result.hpp"
#include "filbertroad/net/limit_reason.hpp"
#include "filbertroad/wire/link.pb.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertroad::net
{

enum class net_error
{
    bad_address,
    cannot_bind,
    cannot_connect,
    /// The address refused the connection, so that no program listens on it. Reported for links;
    /// HTTP clients report `cannot_connect`.
    refused,
    timeout,
    protocol,
    closed,
    too_large,
    bad_certificate,
};

/// Whether `text` is an IP:PORT or [IPv6]:PORT that link::connect() accepts.
[[nodiscard]] bool is_address(std::string_view text);

/// TLS keys and verification settings (tls.hpp).
class tls_context;

class link;

/// Limits of links. `buffered_bytes` is shared by the links that are to have one total.
struct link_limits
{
    /// Largest message. The default fits a job of 270 tasks of 64 KiB each.
    std::size_t max_message_bytes = 32UL * 1024 * 1024;
    /// Largest message that is received, if it is less; 0 otherwise. A parsed message can take over
    /// fifty times its size.
    std::size_t max_received_bytes = 0;
    /// Limit for the bytes that wait to be sent. A link whose peer reads too slowly is closed when
    /// a message would exceed the limit.
    std::size_t max_send_backlog_bytes = 64UL * 1024 * 1024;
    /// Limit for the bytes of incomplete messages and of messages that wait to be sent, over all
    /// links that share `buffered_bytes`. A link that would exceed it is closed. Links that hold
    /// less than 64 KiB are not counted.
    std::size_t max_buffered_bytes = 1024UL * 1024 * 1024;
    std::shared_ptr<std::atomic<std::size_t>> buffered_bytes =
        std::make_shared<std::atomic<std::size_t>>(0);
    /// Links that a server accepts. At this number the link that has been silent for longest is
    /// closed for a new one.
    std::size_t max_accepted_links = 10'000;
    limit_handler on_limit{};
};

struct link_handlers
{
    /// Called when the link is open, so that messages can be sent.
    std::function<void(std::shared_ptr<link> const&)> on_open;
    std::function<void(std::shared_ptr<link> const&, wire::link_message&)> on_message;
    /// Called exactly once, also if the connection could not be established. The link cannot be
    /// used afterwards.
    std::function<void(std::shared_ptr<link> const&, base::error<net_error> const&)> on_closed;
};

/// Counters of one link since its creation.
struct link_counters
{
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

class link : public std::enable_shared_from_this<link>
{
public:
    /// Starts to connect to `address` (IP:PORT), with TLS if `tls` is given. Success and errors are
    /// reported through the handlers.
    static std::shared_ptr<link> connect(boost::asio::io_context& io, std::string_view address,
                                         link_handlers handlers,
                                         std::shared_ptr<tls_context const> tls = nullptr,
                                         link_limits limits = {});

    virtual ~link() = default;

    /// Number of this link: unique in the process, and greater than those of earlier links.
    [[nodiscard]] virtual std::uint64_t number() const = 0;
    /// Queues a message. Messages on a closed link are dropped; on_closed reports the closing. A
    /// message over the frame limit or the backlog limit closes the link. Thread safe.
    virtual void send(wire::link_message const& message) = 0;
    /// Sends the queued messages, then closes the link. Thread safe.
    virtual void close() = 0;
    [[nodiscard]] virtual link_counters counters() const = 0;
};

/// Accepts links on an address.
class link_server
{
public:
    /// Binds `address` (IP:PORT) before returning; links use TLS if `tls` is given. Errors:
    /// bad_address, cannot_bind.
    static base::result<std::unique_ptr<link_server>, base::error<net_error>>
    listen(boost::asio::io_context& io, std::string_view address, link_handlers handlers,
           std::shared_ptr<tls_context const> tls = nullptr, link_limits limits = {});

    virtual ~link_server() = default;
    /// The bound port; differs from the given one if that was 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Stops accepting links. Existing links stay open.
    virtual void stop() = 0;
};

} // namespace filbertroad::net

#endif

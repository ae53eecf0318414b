#ifndef FILBERTROAD_NET_INTERNAL_HTTP_CONNECTION_HPP
#define FILBERTROAD_NET_INTERNAL_HTTP_CONNECTION_HPP

/// One connection of the HTTP server.
///
///     auto connection = internal::make_http_connection(io, server_state);
///     acceptor.async_accept(connection->transport(), ...);
///     connection->start();

#include "filbertroad/net/http.hpp"
#include "filbertroad/net/internal/connection_registry.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <memory>

namespace filbertroad::net::internal
{

class http_connection;

/// State that the connections of one server share.
struct http_server_state
{
    explicit http_server_state(http_limits server_limits)
        : limits(std::move(server_limits)), max_header_bytes(limits.max_header_bytes),
          max_body_bytes(limits.max_body_bytes), head_timeout(limits.read_timeout),
          first_request_timeout(limits.read_timeout), idle_timeout(limits.idle_timeout),
          registry(limits.max_connections, limits.max_buffered_bytes)
    {
    }

    void report(limit_reason reason) const
    {
        if (this->limits.on_limit)
        {
            this->limits.on_limit(reason);
        }
    }

    http_limits limits;
    /// Limits that http_server::set_message_limits() changes.
    std::atomic<std::size_t> max_header_bytes;
    std::atomic<std::size_t> max_body_bytes;
    std::atomic<std::chrono::milliseconds> head_timeout;
    std::atomic<std::chrono::milliseconds> first_request_timeout;
    std::atomic<std::chrono::milliseconds> idle_timeout;
    http_handler handler;
    std::shared_ptr<tls_context const> tls;
    connection_registry registry;
    /// Set by stop(): each response closes its connection.
    std::atomic<bool> stopping = false;
    /// Set when stop_grace has expired: idle connections are closed too.
    std::atomic<bool> grace_expired = false;
};

class http_connection
{
public:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;
    using socket_type = boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type>;

    virtual ~http_connection() = default;
    /// The socket for async_accept; to be used before start().
    [[nodiscard]] virtual socket_type& transport() = 0;
    virtual void start() = 0;
    /// Sends status 503, because the server has too many connections, and closes the connection.
    virtual void refuse() = 0;
    /// Closes the connection unless a request is in progress. Thread safe.
    virtual void close_if_idle() = 0;
    /// Closes the connection unless its request is being handled, with status 503 if a request has
    /// begun. Thread safe.
    virtual void evict(limit_reason reason) = 0;
    [[nodiscard]] virtual std::weak_ptr<http_connection> weak_self() = 0;

    connection_account account;
};

[[nodiscard]] std::shared_ptr<http_connection>
make_http_connection(boost::asio::io_context& io, std::shared_ptr<http_server_state> server_state);

} // namespace filbertroad::net::internal

#endif

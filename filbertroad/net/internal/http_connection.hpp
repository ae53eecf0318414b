#ifndef FILBERTROAD_NET_INTERNAL_HTTP_CONNECTION_HPP
#define FILBERTROAD_NET_INTERNAL_HTTP_CONNECTION_HPP

/// One connection of the HTTP server.
///
///     auto connection = internal::make_http_connection(io, server_state);
///     acceptor.async_accept(connection->transport(), ...);
///     connection->start();

#include "filbertroad/net/http.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <set>

namespace filbertroad::net::internal
{

class http_connection;

/// State that the connections of one server share. `lock` guards `connections`.
struct http_server_state
{
    http_limits limits;
    http_handler handler;
    std::shared_ptr<tls_context const> tls;
    std::mutex lock;
    std::set<std::weak_ptr<http_connection>, std::owner_less<>> connections;
    std::atomic<std::size_t> connection_count = 0;
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
};

[[nodiscard]] std::shared_ptr<http_connection>
make_http_connection(boost::asio::io_context& io, std::shared_ptr<http_server_state> server_state);

} // namespace filbertroad::net::internal

#endif

#ifndef FILBERTROAD_NET_HTTP_HPP
#define FILBERTROAD_NET_HTTP_HPP

/// HTTP/1.1 server and client with small value types. The headers do not expose the HTTP library
/// that implements them (Boost.Beast).
///
///     auto server = net::http_server::listen(io, "127.0.0.1:8101", limits,
///         [](net::http_request request, net::http_responder respond) {
///             respond({.status = 200, .body = "{}"});
///         });
///     net::http_client client(io, "127.0.0.1:8101", 64);
///     client.send({.method = "GET", .path = "/metrics"}, std::chrono::seconds(1), handler);

#include "filbertroad/net/limit_reason.hpp"
#include "filbertroad/net/link.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertroad::net
{

struct http_header
{
    std::string name;
    std::string value;
};

/// Notifies the handler of a request when its client closes the connection before the response.
/// Must be used on the connection's strand only.
class disconnect_notifier
{
public:
    /// Registers `handler`, which is called once when the client disconnects. Replaces an earlier
    /// handler.
    void on_disconnect(std::function<void()> handler)
    {
        this->disconnect_handler = std::move(handler);
    }
    /// Removes the handler, because the response is being sent.
    void disarm() { this->disconnect_handler = nullptr; }
    void notify_disconnected()
    {
        if (auto const handler = std::exchange(this->disconnect_handler, nullptr))
        {
            handler();
        }
    }

private:
    std::function<void()> disconnect_handler;
};

struct http_request
{
    std::string method{};
    /// Path without the query.
    std::string path{};
    /// Query without the question mark.
    std::string query{};
    std::vector<http_header> headers{};
    std::string body{};
    /// Set for requests that a server received.
    std::shared_ptr<disconnect_notifier> client{};

    /// Value of the header `name`, ignoring case; empty if absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// Value of a query parameter, percent-decoded; empty if absent.
    [[nodiscard]] std::string query_value(std::string_view name) const;
};

/// Fault that a stand-in server injects into a response. Other servers leave it at `none`.
enum class injected_fault
{
    none,
    /// The connection is closed without a response.
    no_response,
    /// The connection is closed before the end of the body.
    cut_body,
};

struct http_response
{
    unsigned status = 200;
    std::vector<http_header> headers{};
    std::string content_type = "application/json";
    std::string body{};
    injected_fault fault = injected_fault::none;
    /// The connection is closed after the response, which carries "Connection: close".
    bool close = false;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct http_limits
{
    /// Limit for the request line and header fields, and again for the trailer section.
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 16UL * 1024 * 1024;
    /// At this number the connection that has made the least progress is closed for a new one.
    std::size_t max_connections = 10'000;
    /// Limit for receiving all headers of a request, and again for receiving its body. It guards
    /// against slow senders.
    std::chrono::milliseconds read_timeout{10'000};
    /// Time that a keep-alive connection may stay idle.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Time after stop() in which keep-alive connections still accept requests. The response then
    /// closes the connection. Few connections are therefore closed while a request is in flight.
    std::chrono::milliseconds stop_grace{1'000};
    /// Limit for the bytes that are held for all connections together: of messages that are not
    /// complete, of responses that the client has not taken, and of input that waits in the socket
    /// while a request is handled. At the limit the connections that have made the least progress
    /// are closed. The default is 16 bodies of the largest size.
    std::size_t max_buffered_bytes = 256UL * 1024 * 1024;
    /// Sizes of the buffers of each socket; 0 leaves them to the kernel.
    std::size_t receive_buffer_bytes = 0;
    std::size_t send_buffer_bytes = 0;
    limit_handler on_limit{};
};

/// Limits that can change while a server runs; they apply to the next request of each connection.
struct http_message_limits
{
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    std::chrono::milliseconds head_timeout{};
    std::chrono::milliseconds idle_timeout{};
};

/// What a server holds at present.
struct http_usage
{
    std::size_t connections = 0;
    std::size_t buffered_bytes = 0;
};

/// Sends the response. May be called once, from any thread. A responder that is destroyed without a
/// call sends status 500.
using http_responder = std::function<void(http_response)>;

/// Handles one request; called on the connection's strand. A response to a connection that has been
/// closed in the meantime is dropped. It is not called for a POST if the client has closed its
/// sending direction or reset the connection by the time that the request has been read.
using http_handler = std::function<void(http_request, http_responder)>;

class http_server
{
public:
    /// Binds `address` (IP:PORT) before returning; connections use TLS if `tls` is given. Errors:
    /// bad_address, cannot_bind.
    static base::result<std::unique_ptr<http_server>, base::error<net_error>>
    listen(boost::asio::io_context& io, std::string_view address, http_limits limits,
           http_handler handler, std::shared_ptr<tls_context const> tls = nullptr);

    virtual ~http_server() = default;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Stops accepting connections. Requests in progress get their responses, and then their
    /// connections are closed.
    virtual void stop() = 0;
    /// Whether all connections are closed, which completes a stop().
    [[nodiscard]] virtual bool is_idle() const = 0;
    /// Thread safe.
    virtual void set_message_limits(http_message_limits const& limits) = 0;
    [[nodiscard]] virtual http_usage usage() const = 0;
};

/// Error of a failed request, and whether the request may have reached the server.
struct http_failure
{
    base::error<net_error> error;
    /// False only if it is certain that the server has not received any byte of the request.
    bool may_have_arrived = true;
};

using http_result = base::result<http_response, http_failure>;

/// Limits for what a server that is called can make this process hold.
struct http_client_limits
{
    std::size_t max_header_bytes = 64UL * 1024;
    /// The default fits a job of 270 tasks with bodies of 64 KiB each, in JSON with escapes.
    std::size_t max_response_bytes = 64UL * 1024 * 1024;
    /// Requests that wait for a connection; further ones fail.
    std::size_t max_waiting_requests = 100'000;
    limit_handler on_limit{};
};

/// Connection pool for one server, with at most `max_connections` connections; further requests
/// wait. A request is never sent twice. Thread safe; handlers are called on the io_context.
/// Requests that are pending when the client is destroyed are abandoned, and their handlers are not
/// called.
class http_client
{
public:
    /// Connections use TLS if `tls` is given.
    http_client(boost::asio::io_context& io, std::string_view address, std::size_t max_connections,
                std::shared_ptr<tls_context const> tls = nullptr, http_client_limits limits = {});
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends a request; `timeout` includes the wait for a connection and the response. Where
    /// possible, an idle connection that the server has closed is detected before the request is
    /// written to it.
    void send(http_request request, std::chrono::milliseconds timeout,
              std::function<void(http_result)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

/// Sends one request on a new connection and blocks until the response arrives or `timeout`
/// expires. Meant for command line tools.
[[nodiscard]] http_result send_and_wait(std::string_view address, http_request request,
                                        std::chrono::milliseconds timeout,
                                        std::shared_ptr<tls_context const> tls = nullptr);

} // namespace filbertroad::net

#endif

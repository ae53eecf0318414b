#ifndef FILBERTROAD_NET_HTTP_HPP
#define FILBERTROAD_NET_HTTP_HPP

/// HTTP/1.1 server and client with small value types; the library behind them stays in the sources.
///
///     auto server = net::http_server::listen(io, "127.0.0.1:8101", limits,
///         [](net::http_request request, net::http_responder respond) {
///             respond({.status = 200, .body = "{}"});
///         });
///     net::http_client client(io, "127.0.0.1:8101", 64);
///     client.send({.method = "GET", .path = "/metrics"}, std::chrono::seconds(1), handler);

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

/// Tells the handler of a request that its client has closed the connection before the answer.
/// Used on the connection's strand only.
class disconnect_notifier
{
public:
    /// Calls `handler` once when the client has gone. Replaces an earlier handler.
    void on_disconnect(std::function<void()> handler)
    {
        this->disconnect_handler = std::move(handler);
    }
    /// The answer is on its way; the handler is not called any more.
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
    /// Set for requests that a server took.
    std::shared_ptr<disconnect_notifier> client{};

    /// Value of a header, compared without case; empty if absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// Value of a query parameter, percent-decoded; empty if absent.
    [[nodiscard]] std::string query_value(std::string_view name) const;
};

/// Faults of a server that stand-ins imitate; other servers leave it at none.
enum class injected_fault
{
    none,
    /// The connection is closed instead of an answer.
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
    /// The connection takes no further request; the client is told so.
    bool close = false;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct http_limits
{
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 16UL * 1024 * 1024;
    std::size_t max_connections = 10'000;
    /// Time for the whole head of a request, and for its body; guards against slow senders.
    std::chrono::milliseconds read_timeout{10'000};
    /// Time that a kept connection may stay idle.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Time after stop() in which kept connections still take requests. Their answers close them,
    /// so that few connections are closed while a request is on the way.
    std::chrono::milliseconds stop_grace{1'000};
};

/// Sends the answer; may be called from any thread, once. A responder that is dropped without a
/// call answers 500.
using http_responder = std::function<void(http_response)>;

/// Called on the connection's strand. A late answer to a closed connection is dropped.
using http_handler = std::function<void(http_request, http_responder)>;

class http_server
{
public:
    /// Binds `address` (IP:PORT) at once. Connections use TLS if `tls` is given.
    static base::result<std::unique_ptr<http_server>, base::error<net_error>>
    listen(boost::asio::io_context& io, std::string_view address, http_limits limits,
           http_handler handler, std::shared_ptr<tls_context const> tls = nullptr);

    virtual ~http_server() = default;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Accepts no more connections; requests in progress are answered, then their connections are
    /// closed. is_idle() tells when that is done.
    virtual void stop() = 0;
    [[nodiscard]] virtual bool is_idle() const = 0;
};

/// How far a failed request got.
struct http_failure
{
    base::error<net_error> error;
    /// False only if it is certain that the server has not received any byte of the request.
    bool may_have_arrived = true;
};

using http_result = base::result<http_response, http_failure>;

/// Keeps up to `max_connections` connections to one server. Requests beyond that wait. A request is
/// never sent twice. Safe for several threads; handlers are called on the io_context. Requests that
/// are open when the client is destroyed are abandoned, and their handlers are not called.
class http_client
{
public:
    /// Connections use TLS if `tls` is given.
    http_client(boost::asio::io_context& io, std::string_view address, std::size_t max_connections,
                std::shared_ptr<tls_context const> tls = nullptr);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends a request; `timeout` covers all of it. A kept connection that the server has closed is
    /// noticed before the request is written where possible.
    void send(http_request request, std::chrono::milliseconds timeout,
              std::function<void(http_result)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

/// Sends one request on a new connection and waits for the answer; for command line tools.
[[nodiscard]] http_result send_and_wait(std::string_view address, http_request request,
                                        std::chrono::milliseconds timeout,
                                        std::shared_ptr<tls_context const> tls = nullptr);

} // namespace filbertroad::net

#endif

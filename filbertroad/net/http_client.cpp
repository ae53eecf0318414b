#include "filbertroad/net/http.hpp"
#include "filbertroad/net/internal/address.hpp"
#include "filbertroad/net/internal/http_messages.hpp"
#include "filbertroad/net/tls.hpp"

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace filbertroad::net
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Bytes that the buffer holds beyond a head or trailer section: a part of the body.
constexpr std::size_t buffer_margin_bytes = 64UL * 1024;

/// Connections that were idle for longer are not reused. The limit is below the idle_timeout of
/// http_limits, so that a request is seldom sent while the server is closing the connection.
constexpr std::chrono::seconds max_idle_time{30};

using clock_type = std::chrono::steady_clock;
using strand_type = asio::strand<asio::io_context::executor_type>;
using timer_type =
    asio::basic_waitable_timer<clock_type, asio::wait_traits<clock_type>, strand_type>;

struct pooled_connection;

/// One request, its handler and its progress.
struct exchange
{
    explicit exchange(strand_type const& strand) : timer(strand) {}

    http_request request;
    std::function<void(http_result)> handler;
    timer_type timer;
    std::chrono::milliseconds timeout{};
    bool timed_out = false;
    bool may_have_arrived = false;
    std::weak_ptr<pooled_connection> connection;
};

using exchange_ptr = std::shared_ptr<exchange>;

struct pooled_connection
{
    using socket_type = asio::basic_stream_socket<tcp, strand_type>;

    pooled_connection(strand_type const& strand, tls_context const* context,
                      std::size_t max_buffer_bytes)
        : socket(strand), buffer(max_buffer_bytes)
    {
        if (context != nullptr)
        {
            this->tls.emplace(this->socket, context->native());
        }
    }

    /// Calls `visitor` with the stream that carries HTTP: TLS if enabled, otherwise the socket.
    template <class Visitor>
    void visit_stream(Visitor visitor)
    {
        if (this->tls)
        {
            visitor(*this->tls);
        }
        else
        {
            visitor(this->socket);
        }
    }

    socket_type socket;
    std::optional<asio::ssl::stream<socket_type&>> tls;
    beast::flat_buffer buffer;
    http::request<http::string_body> message;
    std::optional<http::response_parser<http::string_body>> parser;
    clock_type::time_point idle_since;
    exchange_ptr current;
};

using connection_ptr = std::shared_ptr<pooled_connection>;

/// Whether an idle connection can be reused: the server has neither closed it nor sent unsolicited
/// bytes, and it has been idle for less than max_idle_time.
bool is_usable(pooled_connection& idle)
{
    char byte = 0;
    error_code code;
    idle.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block && clock_type::now() - idle.idle_since < max_idle_time;
}

} // namespace

/// send() and stop() may be called from any thread and post to the strand. All other members run on
/// the strand.
class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& io, std::string_view address, std::size_t max_connections,
                   std::shared_ptr<tls_context const> tls, http_client_limits limits)
        : strand(asio::make_strand(io)), address(address),
          endpoint(internal::parse_address(address)),
          max_connections(std::max<std::size_t>(1, max_connections)), tls(std::move(tls)),
          limits(std::move(limits))
    {
    }

    void send(http_request request, std::chrono::milliseconds timeout,
              std::function<void(http_result)> handler)
    {
        auto pending = std::make_shared<exchange>(this->strand);
        pending->request = std::move(request);
        pending->handler = std::move(handler);
        pending->timeout = timeout;
        asio::post(this->strand,
                   [self = this->shared_from_this(), pending] { self->enqueue(pending); });
    }

    /// Abandons all requests. No handler is called once this has run on the strand.
    void stop()
    {
        asio::post(this->strand,
                   [self = this->shared_from_this()]
                   {
                       self->stopped = true;
                       for (auto const& pending : std::exchange(self->waiting, {}))
                       {
                           pending->timer.cancel();
                       }
                       self->idle.clear();
                       for (auto const& connection : self->busy)
                       {
                           self->abandon(*connection);
                       }
                   });
    }

private:
    void abandon(pooled_connection& connection)
    {
        error_code ignored;
        connection.socket.close(ignored);
        connection.current->timer.cancel();
    }

    void enqueue(exchange_ptr const& pending)
    {
        if (this->stopped)
        {
            return;
        }
        if (!this->endpoint)
        {
            this->fail(pending, this->endpoint.error());
            return;
        }
        if (!internal::is_valid(pending->request))
        {
            this->fail(pending, {net_error::protocol,
                                 "method, path, query or a header holds characters that HTTP does "
                                 "not allow there"});
            return;
        }
        if (this->waiting.size() >= this->limits.max_waiting_requests)
        {
            this->report(limit_reason::waiting_requests);
            this->fail(pending, {net_error::too_large, "too many requests wait for a connection"});
            return;
        }
        pending->timer.expires_after(pending->timeout);
        pending->timer.async_wait(
            [self = this->shared_from_this(), pending](error_code code)
            {
                if (!code)
                {
                    self->expire(pending);
                }
            });
        this->waiting.push_back(pending);
        this->assign_waiting();
    }

    void expire(exchange_ptr const& pending)
    {
        if (!pending->handler || this->stopped)
        {
            return;
        }
        pending->timed_out = true;
        if (auto const connection = pending->connection.lock())
        {
            // Closing the socket makes the pending operation fail. Its completion handler
            // determines whether the request may have arrived, and reports the timeout.
            error_code ignored;
            connection->socket.close(ignored);
            return;
        }
        std::erase(this->waiting, pending);
        this->fail(pending, {net_error::closed, "no free connection in the pool"});
    }

    void assign_waiting()
    {
        while (!this->waiting.empty() && !this->stopped)
        {
            auto connection = this->take_idle();
            bool const is_new = !connection;
            if (is_new && this->busy.size() >= this->max_connections)
            {
                return;
            }
            auto const pending = std::move(this->waiting.front());
            this->waiting.pop_front();
            if (is_new)
            {
                connection = std::make_shared<pooled_connection>(this->strand, this->tls.get(),
                                                                 this->limits.max_header_bytes +
                                                                     buffer_margin_bytes);
            }
            connection->current = pending;
            pending->connection = connection;
            this->busy.insert(connection);
            is_new ? this->connect(connection) : this->write(connection);
        }
    }

    /// Takes the most recently used idle connection, since the server is least likely to have
    /// closed it. Returns null if there is none.
    connection_ptr take_idle()
    {
        while (!this->idle.empty())
        {
            auto connection = std::move(this->idle.back());
            this->idle.pop_back();
            if (is_usable(*connection))
            {
                return connection;
            }
        }
        return nullptr;
    }

    void connect(connection_ptr const& connection)
    {
        connection->socket.async_connect(
            this->endpoint.value(),
            [self = this->shared_from_this(), connection](error_code code)
            {
                error_code ignored;
                connection->socket.set_option(tcp::no_delay(true), ignored);
                connection->socket.non_blocking(true, ignored);
                if (code || connection->current->timed_out || self->stopped)
                {
                    self->fail_and_close(
                        connection, {net_error::cannot_connect,
                                     "cannot connect to " + self->address + ": " + code.message()});
                    return;
                }
                connection->tls ? self->handshake(connection) : self->write(connection);
            });
    }

    void handshake(connection_ptr const& connection)
    {
        connection->tls->async_handshake(
            asio::ssl::stream_base::client,
            [self = this->shared_from_this(), connection](error_code code)
            {
                if (code || connection->current->timed_out || self->stopped)
                {
                    bool const is_tls_error = code.category() == asio::error::get_ssl_category();
                    self->fail_and_close(
                        connection,
                        {is_tls_error ? net_error::bad_certificate : net_error::cannot_connect,
                         "TLS handshake with " + self->address + ": " + code.message()});
                    return;
                }
                self->write(connection);
            });
    }

    void write(connection_ptr const& connection)
    {
        connection->message =
            internal::to_message(std::move(connection->current->request), this->address);
        connection->visit_stream(
            [&](auto& stream)
            {
                http::async_write(
                    stream, connection->message,
                    [self = this->shared_from_this(), connection](error_code code, std::size_t size)
                    { self->on_written(connection, code, size); });
            });
    }

    void on_written(connection_ptr const& connection, error_code code, std::size_t size)
    {
        auto& pending = *connection->current;
        // With TLS, a failed write does not report how many bytes the socket has accepted.
        pending.may_have_arrived = size != 0 || connection->tls.has_value();
        if (pending.timed_out || this->stopped || (code && size == 0))
        {
            this->fail_and_close(connection,
                                 {net_error::closed, "cannot write: " + code.message()});
            return;
        }
        // A server may reject a request before it has read all of it. Its response is therefore
        // read even if the rest of the request could not be written.
        this->read(connection, code);
    }

    void read(connection_ptr const& connection, error_code write_error)
    {
        connection->parser.emplace();
        connection->parser->body_limit(this->limits.max_response_bytes);
        connection->parser->header_limit(static_cast<std::uint32_t>(this->limits.max_header_bytes));
        connection->parser->skip(connection->message.method() == http::verb::head);
        connection->visit_stream(
            [&](auto& stream)
            {
                http::async_read(stream, connection->buffer, *connection->parser,
                                 [self = this->shared_from_this(), connection,
                                  write_error](error_code code, std::size_t)
                                 { self->on_read(connection, code, !write_error); });
            });
    }

    void on_read(connection_ptr const& connection, error_code code, bool was_written)
    {
        if (this->stopped)
        {
            return;
        }
        if (code)
        {
            if (code == http::error::header_limit || code == http::error::buffer_overflow ||
                code == http::error::body_limit)
            {
                this->report(limit_reason::response_size);
            }
            this->fail_and_close(
                connection, {internal::to_net_error(code),
                             "incomplete response from " + this->address + ": " + code.message()});
            return;
        }
        this->succeed(connection, was_written);
    }

    void succeed(connection_ptr const& connection, bool was_written)
    {
        auto const pending = std::exchange(connection->current, nullptr);
        pending->connection.reset();
        this->busy.erase(connection);
        bool const is_reusable = was_written && connection->parser->keep_alive() &&
                                 !connection->parser->need_eof() && connection->buffer.size() == 0;
        auto response = internal::to_response(connection->parser->release());
        connection->parser.reset();
        connection->message = {};
        if (is_reusable && connection->socket.is_open())
        {
            connection->idle_since = clock_type::now();
            this->idle.push_back(connection);
        }
        this->assign_waiting();
        pending->timer.cancel();
        if (auto const handler = std::exchange(pending->handler, nullptr))
        {
            handler(std::move(response));
        }
    }

    /// Fails the request of a connection with `error` and closes the connection.
    void fail_and_close(connection_ptr const& connection, base::error<net_error> error)
    {
        auto const pending = std::exchange(connection->current, nullptr);
        pending->connection.reset();
        this->busy.erase(connection);
        error_code ignored;
        connection->socket.close(ignored);
        if (!this->stopped)
        {
            this->assign_waiting();
            this->fail(pending, std::move(error));
        }
    }

    void report(limit_reason reason) const
    {
        if (this->limits.on_limit)
        {
            this->limits.on_limit(reason);
        }
    }

    void fail(exchange_ptr const& pending, base::error<net_error> error)
    {
        pending->timer.cancel();
        if (pending->timed_out)
        {
            error = {net_error::timeout, "no response from " + this->address + " within " +
                                             std::to_string(pending->timeout.count()) + " ms"};
        }
        if (auto const handler = std::exchange(pending->handler, nullptr))
        {
            handler(http_failure{std::move(error), pending->may_have_arrived});
        }
    }

    strand_type strand;
    std::string address;
    base::result<tcp::endpoint, base::error<net_error>> endpoint;
    std::size_t max_connections;
    std::shared_ptr<tls_context const> tls;
    http_client_limits limits;
    std::deque<exchange_ptr> waiting;
    std::vector<connection_ptr> idle;
    std::set<connection_ptr> busy;
    bool stopped = false;
};

http_client::http_client(asio::io_context& io, std::string_view address,
                         std::size_t max_connections, std::shared_ptr<tls_context const> tls,
                         http_client_limits limits)
    : impl(std::make_shared<implementation>(io, address, max_connections, std::move(tls),
                                            std::move(limits)))
{
}

http_client::~http_client()
{
    this->impl->stop();
}

void http_client::send(http_request request, std::chrono::milliseconds timeout,
                       std::function<void(http_result)> handler)
{
    this->impl->send(std::move(request), timeout, std::move(handler));
}

} // namespace filbertroad::net

#include "filbertroad/net/internal/http_connection.hpp"

#include "filbertroad/net/internal/http_messages.hpp"
#include "filbertroad/net/tls.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <optional>
#include <utility>

namespace filbertroad::net::internal
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Longest interval between two checks of a connection's deadline.
constexpr std::chrono::milliseconds max_deadline_check_period{1'000};

/// Time for a client to close its direction after the last response. Closing earlier with unread
/// input would reset the connection and could discard the response.
constexpr std::chrono::milliseconds linger_timeout{1'000};

/// Interim response that asks the client to send its body.
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

/// Buffer size for the first read of a request over TLS.
constexpr std::size_t initial_read_bytes = 4UL * 1024;

/// Size of one read of input that is discarded. The buffer is at least as large.
constexpr std::size_t discard_read_bytes = 16UL * 1024;

/// Bytes that the buffer holds beyond a head or trailer section: the part of the body that was read
/// with the head.
constexpr std::size_t buffer_margin_bytes = 8UL * 1024;

/// A buffer that has grown beyond this is released when the connection is idle.
constexpr std::size_t max_idle_buffer_bytes = 8UL * 1024;

/// Bytes that a header field takes beyond its text. A field of four bytes takes twenty times its
/// size.
constexpr std::size_t field_bytes = 112;

/// Sent to a client whose connection is closed before its request has been handled.
constexpr std::string_view not_run_response =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Length: 25\r\n\r\n{\"error\":\"not run: full\"}";

class beast_connection final : public http_connection,
                               public std::enable_shared_from_this<beast_connection>
{
public:
    beast_connection(asio::io_context& io, std::shared_ptr<http_server_state> server_state)
        : strand(asio::make_strand(io)), socket(this->strand), timer(this->strand),
          server_state(std::move(server_state))
    {
        if (this->server_state->tls)
        {
            this->tls.emplace(this->socket, this->server_state->tls->native());
        }
    }

    ~beast_connection() override { this->unregister(); }
    beast_connection(beast_connection const&) = delete;
    beast_connection& operator=(beast_connection const&) = delete;

    socket_type& transport() override { return this->socket; }

    void start() override
    {
        this->account.begin_part(clock::now());
        this->server_state->registry.add(*this);
        this->registered = true;
        asio::post(this->strand,
                   [self = this->shared_from_this()]
                   {
                       error_code ignored;
                       self->socket.set_option(tcp::no_delay(true), ignored);
                       // For peek_client(), which must not block.
                       self->socket.non_blocking(true, ignored);
                       self->begin();
                       self->schedule_deadline_check();
                   });
    }

    void refuse() override
    {
        auto const body = error_response(503, "too_many_connections", "try again later").body;
        auto const text =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1"
            "\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        error_code ignored;
        this->socket.non_blocking(true, ignored);
        this->socket.write_some(asio::buffer(text), ignored);
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->socket.close(ignored);
    }

    void close_if_idle() override
    {
        asio::post(this->strand,
                   [self = this->shared_from_this()]
                   {
                       error_code ignored;
                       if (self->current_phase == phase::idle &&
                           self->socket.available(ignored) == 0)
                       {
                           self->close();
                       }
                   });
    }

    void evict(limit_reason reason) override
    {
        this->server_state->report(reason);
        asio::post(this->strand, [self = this->shared_from_this()] { self->close_evicted(); });
    }

    [[nodiscard]] std::weak_ptr<http_connection> weak_self() override
    {
        return this->weak_from_this();
    }

    /// Sends the response of the request in progress. Called once for each request, from any
    /// thread.
    void respond(http_response response)
    {
        asio::post(this->strand,
                   [self = this->shared_from_this(), response = std::move(response)]() mutable
                   { self->write(std::move(response), self->keeps_alive); });
    }

private:
    using clock = std::chrono::steady_clock;
    using timer_type = asio::basic_waitable_timer<clock, asio::wait_traits<clock>, strand_type>;

    enum class phase
    {
        handshake,
        idle,
        head,
        body,
        handling,
        writing,
        lingering,
        closed,
    };

    enum class client_state
    {
        waiting,
        sending,
        gone,
    };

    /// Sends status 500 if the handler drops its responder. It holds only a weak reference to the
    /// connection, so that a responder may outlive the io_context.
    class pending_response
    {
    public:
        explicit pending_response(std::weak_ptr<beast_connection> connection)
            : connection(std::move(connection))
        {
        }

        ~pending_response()
        {
            this->send(error_response(500, "internal_error", "the request was not answered"));
        }

        pending_response(pending_response const&) = delete;
        pending_response& operator=(pending_response const&) = delete;

        void send(http_response response)
        {
            if (this->sent.exchange(true))
            {
                return;
            }
            if (auto const target = this->connection.lock())
            {
                target->respond(std::move(response));
            }
        }

    private:
        std::weak_ptr<beast_connection> connection;
        std::atomic<bool> sent = false;
    };

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

    void begin()
    {
        if (!this->tls)
        {
            this->wait_for_request(this->server_state->first_request_timeout);
            return;
        }
        this->enter_phase(phase::handshake, this->server_state->limits.read_timeout);
        this->tls->async_handshake(asio::ssl::stream_base::server,
                                   [self = this->shared_from_this()](error_code code) {
                                       code ? self->close()
                                            : self->wait_for_request(
                                                  self->server_state->first_request_timeout);
                                   });
    }

    void enter_phase(phase next, std::chrono::milliseconds limit)
    {
        this->current_phase = next;
        auto const now = clock::now();
        this->deadline = now + limit;
        this->account.begin_part(now);
    }

    /// Sets the bytes that are held for this connection; none once it has left the registry.
    void hold(std::size_t bytes)
    {
        if (this->registered)
        {
            this->server_state->registry.set_charge(this->account, bytes);
        }
    }

    [[nodiscard]] std::size_t max_buffer_bytes() const
    {
        return std::max(this->server_state->max_header_bytes + buffer_margin_bytes,
                        discard_read_bytes);
    }

    void close_evicted()
    {
        if (this->current_phase == phase::handling)
        {
            this->account.is_evicted = false;
            return;
        }
        error_code ignored;
        if (this->current_phase == phase::idle && this->socket.available(ignored) != 0)
        {
            // A request has arrived that has not been read yet.
            this->account.is_evicted = false;
            return;
        }
        bool const has_request =
            this->current_phase == phase::head || this->current_phase == phase::body;
        if (has_request && !this->tls)
        {
            this->socket.write_some(asio::buffer(not_run_response), ignored);
        }
        this->close();
    }

    void schedule_deadline_check()
    {
        auto const period =
            std::min({this->server_state->limits.read_timeout / 4,
                      this->server_state->head_timeout.load() / 4,
                      this->server_state->idle_timeout.load() / 4, max_deadline_check_period});
        this->timer.expires_after(std::max(period, std::chrono::milliseconds(1)));
        this->timer.async_wait(
            [self = this->shared_from_this()](error_code)
            {
                if (self->current_phase != phase::closed && clock::now() >= self->deadline)
                {
                    self->expire();
                }
                if (self->current_phase != phase::closed)
                {
                    self->schedule_deadline_check();
                }
            });
    }

    void expire()
    {
        if (this->current_phase != phase::idle && this->current_phase != phase::lingering)
        {
            this->server_state->report(limit_reason::message_time);
        }
        if (this->current_phase == phase::head || this->current_phase == phase::body)
        {
            // Cancelling makes the pending read fail; its error handler sends status 408.
            this->timed_out = true;
            this->deadline = clock::time_point::max();
            error_code ignored;
            this->socket.cancel(ignored);
        }
        else
        {
            this->close();
        }
    }

    void wait_for_request(std::chrono::milliseconds limit)
    {
        this->parser.emplace();
        this->parser->header_limit(
            static_cast<std::uint32_t>(this->server_state->max_header_bytes));
        this->parser->body_limit(this->server_state->max_body_bytes.load());
        this->buffer.max_size(std::max(this->max_buffer_bytes(), this->buffer.size()));
        if (this->buffer.size() != 0)
        {
            this->read_head();
            return;
        }
        if (this->buffer.capacity() > max_idle_buffer_bytes)
        {
            this->buffer.shrink_to_fit();
        }
        this->enter_phase(phase::idle, limit);
        if (this->server_state->grace_expired)
        {
            this->close_if_idle();
        }
        // Without TLS, waiting until the socket is readable lets idle connections hold no buffer.
        // With TLS this is not possible: bytes buffered by the TLS layer do not make the socket
        // readable.
        if (this->tls)
        {
            this->tls->async_read_some(
                this->buffer.prepare(initial_read_bytes),
                [self = this->shared_from_this()](error_code code, std::size_t size)
                { self->on_first_bytes(code, size); });
        }
        else
        {
            this->socket.async_wait(tcp::socket::wait_read,
                                    [self = this->shared_from_this()](error_code code)
                                    {
                                        if (!code && self->current_phase == phase::idle)
                                        {
                                            self->read_head();
                                        }
                                    });
        }
    }

    void on_first_bytes(error_code code, std::size_t size)
    {
        if (code)
        {
            this->close();
        }
        else if (this->current_phase == phase::idle)
        {
            this->buffer.commit(size);
            this->read_head();
        }
    }

    void read_head()
    {
        this->enter_phase(phase::head, this->server_state->head_timeout);
        this->hold(this->buffer.max_size());
        this->visit_stream(
            [this](auto& stream)
            {
                http::async_read_header(
                    stream, this->buffer, *this->parser,
                    [self = this->shared_from_this()](error_code code, std::size_t)
                    { code ? self->on_read_error(code) : self->on_head(); });
            });
    }

    void on_head()
    {
        // A read can complete after the connection was closed, and its client told that the request
        // has not been handled.
        if (this->current_phase == phase::closed)
        {
            return;
        }
        if (this->parser->is_done())
        {
            this->handle();
            return;
        }
        this->enter_phase(phase::body, this->server_state->limits.read_timeout);
        auto const& fields = this->parser->get();
        this->head_bytes =
            this->buffer.max_size() +
            field_bytes * static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
        if (!beast::iequals(this->parser->get()[http::field::expect], "100-continue"))
        {
            this->read_body();
            return;
        }
        this->visit_stream(
            [this](auto& stream)
            {
                asio::async_write(stream, asio::buffer(continue_response),
                                  [self = this->shared_from_this()](error_code code, std::size_t)
                                  { code ? self->on_read_error(code) : self->read_body(); });
            });
    }

    /// Reads the body in pieces, so that what is held for it and its progress are known.
    void read_body()
    {
        this->parser->eager(true);
        this->hold(this->head_bytes + this->parser->get().body().capacity());
        this->visit_stream(
            [this](auto& stream)
            {
                http::async_read_some(
                    stream, this->buffer, *this->parser,
                    [self = this->shared_from_this()](error_code code, std::size_t size)
                    { self->on_body_part(code, size); });
            });
    }

    void on_body_part(error_code code, std::size_t size)
    {
        if (code || this->current_phase == phase::closed)
        {
            this->on_read_error(code);
        }
        else if (this->parser->is_done())
        {
            this->handle();
        }
        else if (!this->timed_out)
        {
            this->account.received.fetch_add(size, std::memory_order_relaxed);
            this->read_body();
        }
        else
        {
            this->on_read_error(asio::error::operation_aborted);
        }
    }

    void on_read_error(error_code code)
    {
        if (this->current_phase == phase::closed)
        {
            return;
        }
        if (this->timed_out)
        {
            auto const limit = this->current_phase == phase::head
                                   ? this->server_state->head_timeout.load()
                                   : this->server_state->limits.read_timeout;
            this->write(error_response(408, "timeout",
                                       "request not complete within " +
                                           std::to_string(limit.count()) + " ms"),
                        false);
        }
        else if (code == http::error::header_limit || code == http::error::buffer_overflow)
        {
            this->server_state->report(limit_reason::header_size);
            this->write(error_response(431, "header_too_large",
                                       "limit " +
                                           std::to_string(this->server_state->max_header_bytes) +
                                           " bytes"),
                        false);
        }
        else if (code == http::error::body_limit)
        {
            this->server_state->report(limit_reason::body_size);
            this->write(error_response(413, "body_too_large",
                                       "limit " +
                                           std::to_string(this->server_state->max_body_bytes) +
                                           " bytes"),
                        false);
        }
        else if (code == http::error::end_of_stream || code == http::error::partial_message ||
                 !is_http_error(code))
        {
            this->close();
        }
        else
        {
            this->write(error_response(400, "bad_request", "not HTTP/1.1: " + code.message()),
                        false);
        }
    }

    void handle()
    {
        // A client that is gone may have sent the request to another server meanwhile. Methods
        // other than POST are safe to repeat, and are handled: the client may have closed only its
        // sending direction.
        if (this->parser->get().method() == http::verb::post &&
            this->peek_client() == client_state::gone)
        {
            this->close();
            return;
        }
        this->current_phase = phase::handling;
        this->account.is_handling = true;
        this->hold(0);
        this->deadline = clock::time_point::max();
        if (auto const error = find_head_error(this->parser->get()))
        {
            this->write(error_response(400, "bad_request", *error), false);
            return;
        }
        auto const pending = std::make_shared<pending_response>(this->weak_from_this());
        this->keeps_alive = this->parser->get().keep_alive();
        auto request = to_request(this->parser->get());
        // The response needs only the version and the method, and the job may wait for seconds.
        this->parser->get().clear();
        this->notifier = std::make_shared<disconnect_notifier>();
        request.client = this->notifier;
        this->watch_for_disconnect();
        this->server_state->handler(std::move(request), [pending](http_response response)
                                    { pending->send(std::move(response)); });
    }

    /// Whether the client has closed or reset the connection, as far as the socket shows it without
    /// reading. A client that closes only its sending direction counts as gone. Over TLS, bytes of
    /// the TLS layer that are still unread count as sending.
    [[nodiscard]] client_state peek_client()
    {
        error_code code;
        char byte = 0;
        this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
        if (code == asio::error::would_block)
        {
            return client_state::waiting;
        }
        return code ? client_state::gone : client_state::sending;
    }

    /// Detects a client that closes or resets the connection while its request is handled. Over TLS
    /// the end of the stream is not visible at the socket; it is detected when the response is
    /// sent.
    void watch_for_disconnect()
    {
        if (this->tls)
        {
            return;
        }
        this->socket.async_wait(tcp::socket::wait_read,
                                [self = this->shared_from_this()](error_code code)
                                { self->on_client_readable(code); });
    }

    void on_client_readable(error_code code)
    {
        if (code == asio::error::operation_aborted || this->current_phase != phase::handling)
        {
            return;
        }
        if (!code && this->peek_client() != client_state::gone)
        {
            // Further requests stay in the socket until this one is answered. The kernel doubles
            // the size that is set for its buffer.
            this->hold(2 * this->server_state->limits.receive_buffer_bytes);
            return;
        }
        auto const notifier = std::exchange(this->notifier, nullptr);
        this->close();
        notifier->notify_disconnected();
    }

    void write(http_response response, bool keep_alive)
    {
        if (this->current_phase == phase::closed)
        {
            return;
        }
        if (auto const notifier = std::exchange(this->notifier, nullptr))
        {
            notifier->disarm();
            error_code ignored;
            this->socket.cancel(ignored);
        }
        keep_alive = keep_alive && !response.close;
        if (response.fault == injected_fault::no_response)
        {
            this->close();
            return;
        }
        this->message = to_message(std::move(response), this->parser->get(),
                                   keep_alive && !this->server_state->stopping);
        this->enter_phase(phase::writing, this->server_state->idle_timeout);
        this->account.is_handling = false;
        this->hold(this->account.charge + this->message.body().size());
        this->visit_stream(
            [this](auto& stream)
            {
                http::async_write(stream, this->message,
                                  [self = this->shared_from_this()](error_code code, std::size_t)
                                  { self->on_written(code); });
            });
    }

    void on_written(error_code code)
    {
        if (this->current_phase == phase::closed)
        {
            return;
        }
        if (code)
        {
            this->close();
        }
        else if (this->message.keep_alive())
        {
            this->message = {};
            this->hold(0);
            this->wait_for_request(this->server_state->idle_timeout);
        }
        else
        {
            this->linger();
        }
    }

    void linger()
    {
        this->enter_phase(phase::lingering, linger_timeout);
        if (this->tls)
        {
            // Completes when the client has closed its direction too.
            this->tls->async_shutdown([self = this->shared_from_this()](error_code)
                                      { self->close(); });
            return;
        }
        error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->discard_input();
    }

    void discard_input()
    {
        this->buffer.clear();
        this->socket.async_read_some(this->buffer.prepare(discard_read_bytes),
                                     [self = this->shared_from_this()](error_code code, std::size_t)
                                     {
                                         if (code || self->current_phase == phase::closed)
                                         {
                                             self->close();
                                         }
                                         else
                                         {
                                             self->discard_input();
                                         }
                                     });
    }

    void close()
    {
        this->current_phase = phase::closed;
        error_code ignored;
        this->timer.cancel();
        this->socket.close(ignored);
        this->unregister();
    }

    void unregister()
    {
        if (std::exchange(this->registered, false))
        {
            this->server_state->registry.remove(*this);
        }
    }

    strand_type strand;
    socket_type socket;
    timer_type timer;
    std::shared_ptr<http_server_state> server_state;
    std::optional<asio::ssl::stream<socket_type&>> tls;
    phase current_phase = phase::idle;
    clock::time_point deadline = clock::time_point::max();
    bool timed_out = false;
    bool registered = false;
    /// Whether the client of the request that is handled keeps the connection open.
    bool keeps_alive = false;
    /// Bytes of the buffer and the header fields while a body is read.
    std::size_t head_bytes = 0;
    std::shared_ptr<disconnect_notifier> notifier;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> message;
};

} // namespace

std::shared_ptr<http_connection>
make_http_connection(asio::io_context& io, std::shared_ptr<http_server_state> server_state)
{
    return std::make_shared<beast_connection>(io, std::move(server_state));
}

} // namespace filbertroad::net::internal

#include "filbertroad/net/internal/http_connection.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

namespace filbertroad::net::internal
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

bool is_clean_text(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

namespace
{

/// Longest time between two checks of a connection's deadline.
constexpr std::chrono::milliseconds max_check_period{1'000};

/// Time for a client to end its direction after the last answer. Closing earlier with unread input
/// would reset the connection and could discard the answer.
constexpr std::chrono::milliseconds linger_time{1'000};

http_response error_response(unsigned status, std::string_view code, std::string_view detail)
{
    boost::json::object body{{"error", {{"code", code}, {"detail", detail}}}};
    return {.status = status, .body = boost::json::serialize(body)};
}

std::string_view as_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

http_request to_request(http::request<http::string_body>&& message)
{
    http_request result;
    result.method = std::string(message.method_string());
    auto const target = as_view(message.target());
    auto const mark = target.find('?');
    result.path = target.substr(0, mark);
    if (mark != std::string_view::npos)
    {
        result.query = target.substr(mark + 1);
    }
    for (auto const& field : message)
    {
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    result.body = std::move(message.body());
    return result;
}

/// Name of the first header whose value has bytes over 127, or nothing. Header values end up in
/// strings of link messages, which must be UTF-8: a message with other bytes closes its link.
std::optional<std::string>
field_with_other_than_ascii(http::request<http::string_body> const& message)
{
    for (auto const& field : message)
    {
        auto const value = field.value();
        if (std::any_of(value.begin(), value.end(), [](unsigned char c) { return c > 127; }))
        {
            return std::string(field.name_string());
        }
    }
    return std::nullopt;
}

class beast_connection final : public http_connection,
                               public std::enable_shared_from_this<beast_connection>
{
public:
    beast_connection(asio::io_context& io, std::shared_ptr<http_hub> hub)
        : strand(asio::make_strand(io)), socket(this->strand), timer(this->strand),
          hub(std::move(hub))
    {
    }

    ~beast_connection() override { this->unregister(); }
    beast_connection(beast_connection const&) = delete;
    beast_connection& operator=(beast_connection const&) = delete;

    socket_type& transport() override { return this->socket; }

    void start() override
    {
        {
            std::scoped_lock const guard(this->hub->lock);
            this->hub->connections.insert(this->weak_from_this());
            ++this->hub->connection_count;
            this->registered = true;
        }
        asio::post(this->strand,
                   [self = this->shared_from_this()]
                   {
                       error_code ignored;
                       self->socket.set_option(tcp::no_delay(true), ignored);
                       self->wait_for_request(self->hub->limits.read_timeout);
                       self->check_later();
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
                       if (self->now_in == phase::idle && self->socket.available(ignored) == 0)
                       {
                           self->close();
                       }
                   });
    }

    /// Sends the answer of the request in progress; called once for each request, from any thread.
    void answer(http_response response)
    {
        asio::post(this->strand,
                   [self = this->shared_from_this(), response = std::move(response)]() mutable
                   { self->write(std::move(response), self->parser->get().keep_alive()); });
    }

private:
    using clock = std::chrono::steady_clock;
    using timer_type = asio::basic_waitable_timer<clock, asio::wait_traits<clock>, strand_type>;

    enum class phase
    {
        idle,
        head,
        body,
        handling,
        writing,
        lingering,
        closed,
    };

    /// Answers 500 if the handler drops its responder. It does not keep the connection, so that a
    /// responder may outlive the io_context.
    class pending_answer
    {
    public:
        explicit pending_answer(std::weak_ptr<beast_connection> connection)
            : connection(std::move(connection))
        {
        }

        ~pending_answer()
        {
            this->send(error_response(500, "internal_error", "the request was not answered"));
        }

        pending_answer(pending_answer const&) = delete;
        pending_answer& operator=(pending_answer const&) = delete;

        void send(http_response response)
        {
            if (this->sent.exchange(true))
            {
                return;
            }
            if (auto const target = this->connection.lock())
            {
                target->answer(std::move(response));
            }
        }

    private:
        std::weak_ptr<beast_connection> connection;
        std::atomic<bool> sent = false;
    };

    void enter(phase next, std::chrono::milliseconds limit)
    {
        this->now_in = next;
        this->deadline = clock::now() + limit;
    }

    void check_later()
    {
        auto const& limits = this->hub->limits;
        auto const period =
            std::min({limits.read_timeout / 4, limits.idle_timeout / 4, max_check_period});
        this->timer.expires_after(std::max(period, std::chrono::milliseconds(1)));
        this->timer.async_wait(
            [self = this->shared_from_this()](error_code)
            {
                if (self->now_in != phase::closed && clock::now() >= self->deadline)
                {
                    self->expire();
                }
                if (self->now_in != phase::closed)
                {
                    self->check_later();
                }
            });
    }

    void expire()
    {
        if (this->now_in == phase::head || this->now_in == phase::body)
        {
            // The read ends with an error and sends the answer.
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
        this->parser->header_limit(static_cast<std::uint32_t>(this->hub->limits.max_header_bytes));
        this->parser->body_limit(this->hub->limits.max_body_bytes);
        if (this->buffer.size() != 0)
        {
            this->read_head();
            return;
        }
        this->enter(phase::idle, limit);
        if (this->hub->grace_over)
        {
            this->close_if_idle();
        }
        this->socket.async_wait(tcp::socket::wait_read,
                                [self = this->shared_from_this()](error_code code)
                                {
                                    if (!code && self->now_in == phase::idle)
                                    {
                                        self->read_head();
                                    }
                                });
    }

    void read_head()
    {
        this->enter(phase::head, this->hub->limits.read_timeout);
        http::async_read_header(this->socket, this->buffer, *this->parser,
                                [self = this->shared_from_this()](error_code code, std::size_t)
                                { code ? self->on_read_error(code) : self->on_head(); });
    }

    void on_head()
    {
        if (this->parser->is_done())
        {
            this->handle();
            return;
        }
        this->enter(phase::body, this->hub->limits.read_timeout);
        if (!beast::iequals(this->parser->get()[http::field::expect], "100-continue"))
        {
            this->read_body();
            return;
        }
        static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(this->socket, asio::buffer(go_on),
                          [self = this->shared_from_this()](error_code code, std::size_t)
                          { code ? self->on_read_error(code) : self->read_body(); });
    }

    void read_body()
    {
        http::async_read(this->socket, this->buffer, *this->parser,
                         [self = this->shared_from_this()](error_code code, std::size_t)
                         { code ? self->on_read_error(code) : self->handle(); });
    }

    void on_read_error(error_code code)
    {
        auto const& limits = this->hub->limits;
        if (this->now_in == phase::closed)
        {
            return;
        }
        if (this->timed_out)
        {
            this->write(error_response(408, "timeout",
                                       "request not complete within " +
                                           std::to_string(limits.read_timeout.count()) + " ms"),
                        false);
        }
        else if (code == http::error::header_limit || code == http::error::buffer_overflow)
        {
            this->write(
                error_response(431, "header_too_large",
                               "limit " + std::to_string(limits.max_header_bytes) + " bytes"),
                false);
        }
        else if (code == http::error::body_limit)
        {
            this->write(error_response(413, "body_too_large",
                                       "limit " + std::to_string(limits.max_body_bytes) + " bytes"),
                        false);
        }
        else if (code == http::error::end_of_stream || code == http::error::partial_message ||
                 code.category() != make_error_code(http::error::bad_method).category())
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
        this->now_in = phase::handling;
        this->deadline = clock::time_point::max();
        auto const target = this->parser->get().target();
        if (target.empty() || target.front() != '/' ||
            std::any_of(target.begin(), target.end(), [](unsigned char c) { return c > 127; }))
        {
            this->write(error_response(400, "bad_request", "request target: expected a path"),
                        false);
            return;
        }
        if (auto const field = field_with_other_than_ascii(this->parser->get()))
        {
            this->write(error_response(400, "bad_request", "header " + *field + ": expected ASCII"),
                        false);
            return;
        }
        auto const pending = std::make_shared<pending_answer>(this->weak_from_this());
        // The fields stay in the parser, which decides on keep-alive when the answer is sent.
        auto request = to_request(std::move(this->parser->get()));
        this->hub->handler(std::move(request), [pending](http_response response)
                           { pending->send(std::move(response)); });
    }

    void write(http_response response, bool keep_alive)
    {
        if (this->now_in == phase::closed)
        {
            return;
        }
        if (response.fault == answer_fault::no_answer)
        {
            this->close();
            return;
        }
        this->prepare_message(std::move(response), keep_alive);
        this->enter(phase::writing, this->hub->limits.idle_timeout);
        http::async_write(this->socket, this->message,
                          [self = this->shared_from_this()](error_code code, std::size_t)
                          { self->on_written(code); });
    }

    void prepare_message(http_response response, bool keep_alive)
    {
        this->message = {};
        this->message.result(response.status);
        this->message.version(this->parser->get().version() == 10 ? 10 : 11);
        this->message.set(http::field::content_type, response.content_type);
        for (auto const& header : response.headers)
        {
            if (!header.name.empty() && is_clean_text(header.name) && is_clean_text(header.value))
            {
                this->message.set(header.name, header.value);
            }
        }
        bool const is_cut = response.fault == answer_fault::cut_body;
        this->message.keep_alive(keep_alive && !is_cut && !this->hub->stopping);
        bool const has_no_body =
            response.status < 200 || response.status == 204 || response.status == 304;
        if (!has_no_body)
        {
            this->message.content_length(response.body.size() + (is_cut ? 1 : 0));
            if (this->parser->get().method() != http::verb::head)
            {
                this->message.body() = std::move(response.body);
            }
        }
    }

    void on_written(error_code code)
    {
        if (this->now_in == phase::closed)
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
            this->wait_for_request(this->hub->limits.idle_timeout);
        }
        else
        {
            this->enter(phase::lingering, linger_time);
            error_code ignored;
            this->socket.shutdown(tcp::socket::shutdown_send, ignored);
            this->discard_input();
        }
    }

    void discard_input()
    {
        this->buffer.clear();
        this->socket.async_read_some(this->buffer.prepare(16UL * 1024),
                                     [self = this->shared_from_this()](error_code code, std::size_t)
                                     {
                                         if (code || self->now_in == phase::closed)
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
        this->now_in = phase::closed;
        error_code ignored;
        this->timer.cancel();
        this->socket.close(ignored);
        this->unregister();
    }

    void unregister()
    {
        if (std::exchange(this->registered, false))
        {
            std::scoped_lock const guard(this->hub->lock);
            this->hub->connections.erase(this->weak_from_this());
            --this->hub->connection_count;
        }
    }

    strand_type strand;
    socket_type socket;
    timer_type timer;
    std::shared_ptr<http_hub> hub;
    phase now_in = phase::idle;
    clock::time_point deadline = clock::time_point::max();
    bool timed_out = false;
    bool registered = false;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> message;
};

} // namespace

std::shared_ptr<http_connection> make_http_connection(asio::io_context& io,
                                                      std::shared_ptr<http_hub> hub)
{
    return std::make_shared<beast_connection>(io, std::move(hub));
}

} // namespace filbertroad::net::internal

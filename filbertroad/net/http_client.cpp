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

/// Largest answer: a job of 270 tasks with bodies of 64 KiB, in JSON with escapes.
constexpr std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t max_answer_header_bytes = 64U * 1024;

/// Connections that were unused for longer are not used again. It is below the idle time of
/// http_limits, so that a request seldom meets a server that is closing the connection.
constexpr std::chrono::seconds max_idle{30};

using clock_type = std::chrono::steady_clock;
using strand_type = asio::strand<asio::io_context::executor_type>;
using timer_type =
    asio::basic_waitable_timer<clock_type, asio::wait_traits<clock_type>, strand_type>;

struct connection;

/// One request and what is known of it.
struct exchange
{
    explicit exchange(strand_type const& strand) : timer(strand) {}

    http_request request;
    std::function<void(http_result)> handler;
    timer_type timer;
    std::chrono::milliseconds timeout{};
    bool timed_out = false;
    bool may_have_arrived = false;
    std::weak_ptr<connection> used;
};

using exchange_ptr = std::shared_ptr<exchange>;

struct connection
{
    using socket_type = asio::basic_stream_socket<tcp, strand_type>;

    connection(strand_type const& strand, tls_context const* context) : socket(strand)
    {
        if (context != nullptr)
        {
            this->tls.emplace(this->socket, context->native());
        }
    }

    /// Calls `use` with the stream that carries HTTP.
    template <class Use>
    void on_stream(Use use)
    {
        if (this->tls)
        {
            use(*this->tls);
        }
        else
        {
            use(this->socket);
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

using connection_ptr = std::shared_ptr<connection>;

/// Whether the server has neither closed the connection nor sent bytes that nobody asked for.
bool is_usable(connection& idle)
{
    char byte = 0;
    error_code code;
    idle.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block && clock_type::now() - idle.idle_since < max_idle;
}

} // namespace

/// All members but send() run on the strand.
class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& io, std::string_view address, std::size_t max_connections,
                   std::shared_ptr<tls_context const> tls)
        : strand(asio::make_strand(io)), address(address),
          endpoint(internal::parse_address(address)),
          max_connections(std::max<std::size_t>(1, max_connections)), tls(std::move(tls))
    {
    }

    void send(http_request request, std::chrono::milliseconds timeout,
              std::function<void(http_result)> handler)
    {
        auto item = std::make_shared<exchange>(this->strand);
        item->request = std::move(request);
        item->handler = std::move(handler);
        item->timeout = timeout;
        asio::post(this->strand, [self = this->shared_from_this(), item] { self->enqueue(item); });
    }

    /// Abandons everything; no handler is called afterwards.
    void stop()
    {
        asio::post(this->strand,
                   [self = this->shared_from_this()]
                   {
                       self->stopped = true;
                       for (auto const& item : std::exchange(self->waiting, {}))
                       {
                           item->timer.cancel();
                       }
                       self->idle.clear();
                       for (auto const& used : self->busy)
                       {
                           self->abandon(*used);
                       }
                   });
    }

private:
    void abandon(connection& used)
    {
        error_code ignored;
        used.socket.close(ignored);
        used.current->timer.cancel();
    }

    void enqueue(exchange_ptr const& item)
    {
        if (this->stopped)
        {
            return;
        }
        if (!this->endpoint)
        {
            this->fail(item, this->endpoint.error());
            return;
        }
        if (!internal::is_valid(item->request))
        {
            this->fail(item, {net_error::protocol,
                              "method, path, query or a header holds characters that HTTP does "
                              "not allow there"});
            return;
        }
        item->timer.expires_after(item->timeout);
        item->timer.async_wait(
            [self = this->shared_from_this(), item](error_code code)
            {
                if (!code)
                {
                    self->expire(item);
                }
            });
        this->waiting.push_back(item);
        this->assign_waiting();
    }

    void expire(exchange_ptr const& item)
    {
        if (!item->handler || this->stopped)
        {
            return;
        }
        item->timed_out = true;
        if (auto const used = item->used.lock())
        {
            // The pending operation ends with an error and tells how far the request got.
            error_code ignored;
            used->socket.close(ignored);
            return;
        }
        std::erase(this->waiting, item);
        this->fail(item, {net_error::closed, "no free connection"});
    }

    void assign_waiting()
    {
        while (!this->waiting.empty() && !this->stopped)
        {
            auto used = this->take_idle();
            bool const is_new = !used;
            if (is_new && this->busy.size() >= this->max_connections)
            {
                return;
            }
            auto const item = std::move(this->waiting.front());
            this->waiting.pop_front();
            if (is_new)
            {
                used = std::make_shared<connection>(this->strand, this->tls.get());
            }
            used->current = item;
            item->used = used;
            this->busy.insert(used);
            is_new ? this->connect(used) : this->write(used);
        }
    }

    /// The connection used last, since it is the least likely to be closed; null if there is none.
    connection_ptr take_idle()
    {
        while (!this->idle.empty())
        {
            auto used = std::move(this->idle.back());
            this->idle.pop_back();
            if (is_usable(*used))
            {
                return used;
            }
        }
        return nullptr;
    }

    void connect(connection_ptr const& used)
    {
        used->socket.async_connect(
            this->endpoint.value(),
            [self = this->shared_from_this(), used](error_code code)
            {
                error_code ignored;
                used->socket.set_option(tcp::no_delay(true), ignored);
                used->socket.non_blocking(true, ignored);
                if (code || used->current->timed_out || self->stopped)
                {
                    self->end(used, {net_error::cannot_connect,
                                     "cannot connect to " + self->address + ": " + code.message()});
                    return;
                }
                used->tls ? self->handshake(used) : self->write(used);
            });
    }

    void handshake(connection_ptr const& used)
    {
        used->tls->async_handshake(
            asio::ssl::stream_base::client,
            [self = this->shared_from_this(), used](error_code code)
            {
                if (code || used->current->timed_out || self->stopped)
                {
                    bool const is_refused = code.category() == asio::error::get_ssl_category();
                    self->end(used,
                              {is_refused ? net_error::bad_certificate : net_error::cannot_connect,
                               "TLS handshake with " + self->address + ": " + code.message()});
                    return;
                }
                self->write(used);
            });
    }

    void write(connection_ptr const& used)
    {
        used->message = internal::to_message(std::move(used->current->request), this->address);
        used->on_stream(
            [&](auto& stream)
            {
                http::async_write(
                    stream, used->message,
                    [self = this->shared_from_this(), used](error_code code, std::size_t size)
                    { self->on_written(used, code, size); });
            });
    }

    void on_written(connection_ptr const& used, error_code code, std::size_t size)
    {
        auto& item = *used->current;
        // With TLS a failed write tells nothing about the bytes that the socket took.
        item.may_have_arrived = size != 0 || used->tls.has_value();
        if (item.timed_out || this->stopped || (code && size == 0))
        {
            this->end(used, {net_error::closed, "cannot write: " + code.message()});
            return;
        }
        // A server may refuse a request before it has read all of it; its answer is read even if
        // the rest of the request could not be written.
        this->read(used, code);
    }

    void read(connection_ptr const& used, error_code write_fault)
    {
        used->parser.emplace();
        used->parser->body_limit(max_answer_bytes);
        used->parser->header_limit(max_answer_header_bytes);
        used->parser->skip(used->message.method() == http::verb::head);
        used->on_stream(
            [&](auto& stream)
            {
                http::async_read(stream, used->buffer, *used->parser,
                                 [self = this->shared_from_this(), used,
                                  write_fault](error_code code, std::size_t)
                                 { self->on_read(used, code, !write_fault); });
            });
    }

    void on_read(connection_ptr const& used, error_code code, bool was_written)
    {
        if (this->stopped)
        {
            return;
        }
        if (code)
        {
            this->end(used, {internal::error_kind(code),
                             "no whole answer from " + this->address + ": " + code.message()});
            return;
        }
        this->succeed(used, was_written);
    }

    void succeed(connection_ptr const& used, bool was_written)
    {
        auto const item = std::exchange(used->current, nullptr);
        item->used.reset();
        this->busy.erase(used);
        bool const keep = was_written && used->parser->keep_alive() && !used->parser->need_eof() &&
                          used->buffer.size() == 0;
        auto response = internal::to_response(used->parser->release());
        used->parser.reset();
        used->message = {};
        if (keep && used->socket.is_open())
        {
            used->idle_since = clock_type::now();
            this->idle.push_back(used);
        }
        this->assign_waiting();
        item->timer.cancel();
        if (auto const handler = std::exchange(item->handler, nullptr))
        {
            handler(std::move(response));
        }
    }

    /// Ends the request of a connection with an error and drops the connection.
    void end(connection_ptr const& used, base::error<net_error> error)
    {
        auto const item = std::exchange(used->current, nullptr);
        item->used.reset();
        this->busy.erase(used);
        error_code ignored;
        used->socket.close(ignored);
        if (!this->stopped)
        {
            this->assign_waiting();
            this->fail(item, std::move(error));
        }
    }

    void fail(exchange_ptr const& item, base::error<net_error> error)
    {
        item->timer.cancel();
        if (item->timed_out)
        {
            error = {net_error::timeout, "no answer from " + this->address + " within " +
                                             std::to_string(item->timeout.count()) + " ms"};
        }
        if (auto const handler = std::exchange(item->handler, nullptr))
        {
            handler(http_failure{std::move(error), item->may_have_arrived});
        }
    }

    strand_type strand;
    std::string address;
    base::result<tcp::endpoint, base::error<net_error>> endpoint;
    std::size_t max_connections;
    std::shared_ptr<tls_context const> tls;
    std::deque<exchange_ptr> waiting;
    std::vector<connection_ptr> idle;
    std::set<connection_ptr> busy;
    bool stopped = false;
};

http_client::http_client(asio::io_context& io, std::string_view address,
                         std::size_t max_connections, std::shared_ptr<tls_context const> tls)
    : content(std::make_shared<implementation>(io, address, max_connections, std::move(tls)))
{
}

http_client::~http_client()
{
    this->content->stop();
}

void http_client::send(http_request request, std::chrono::milliseconds timeout,
                       std::function<void(http_result)> handler)
{
    this->content->send(std::move(request), timeout, std::move(handler));
}

} // namespace filbertroad::net

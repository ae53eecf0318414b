#include "filbertroad/net/http.hpp"
#include "filbertroad/net/internal/address.hpp"
#include "filbertroad/net/internal/http_connection.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>

namespace filbertroad::net
{
namespace asio = boost::asio;

namespace
{

/// Delay before accept is retried after a failure, such as a lack of file descriptors. Without the
/// delay the loop would use a whole core until descriptors are free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Accept loop of the server. Pending operations share ownership of it, so that the server may be
/// destroyed at any time.
class http_listener : public std::enable_shared_from_this<http_listener>
{
public:
    http_listener(asio::io_context& io, internal::acceptor_type acceptor,
                  std::shared_ptr<internal::http_server_state> server_state)
        : io(io), acceptor(std::move(acceptor)), accept_retry_timer(io), grace_timer(io),
          server_state(std::move(server_state)), bound_port(this->acceptor.local_endpoint().port())
    {
    }

    [[nodiscard]] std::uint16_t port() const { return this->bound_port; }

    void accept_next()
    {
        auto connection = internal::make_http_connection(this->io, this->server_state);
        std::scoped_lock const guard(this->lock);
        if (this->server_state->stopping)
        {
            return;
        }
        this->acceptor.async_accept(
            connection->transport(),
            [self = this->shared_from_this(), connection](boost::system::error_code code)
            { self->on_accepted(*connection, code); });
    }

    void stop()
    {
        std::scoped_lock const guard(this->lock);
        if (this->server_state->stopping.exchange(true))
        {
            return;
        }
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->accept_retry_timer.cancel();
        this->grace_timer.expires_after(this->server_state->limits.stop_grace);
        this->grace_timer.async_wait([self = this->shared_from_this()](boost::system::error_code)
                                     { self->close_idle_connections(); });
    }

private:
    void on_accepted(internal::http_connection& connection, boost::system::error_code code)
    {
        if (code == asio::error::operation_aborted)
        {
            return;
        }
        if (code)
        {
            if (internal::is_descriptor_shortage(code))
            {
                this->server_state->registry.evict_for_connection(limit_reason::descriptors);
            }
            std::scoped_lock const guard(this->lock);
            this->accept_retry_timer.expires_after(accept_retry_delay);
            this->accept_retry_timer.async_wait(
                [self = this->shared_from_this()](boost::system::error_code)
                { self->accept_next(); });
            return;
        }
        auto& registry = this->server_state->registry;
        if (registry.is_full() && !registry.evict_for_connection(limit_reason::connections))
        {
            this->server_state->report(limit_reason::connections);
            connection.refuse();
        }
        else
        {
            connection.start();
        }
        this->accept_next();
    }

    void close_idle_connections()
    {
        this->server_state->grace_expired = true;
        for (auto const& connection : this->server_state->registry.live_connections())
        {
            connection->close_if_idle();
        }
    }

    asio::io_context& io;
    std::mutex lock;
    internal::acceptor_type acceptor;
    asio::steady_timer accept_retry_timer;
    asio::steady_timer grace_timer;
    std::shared_ptr<internal::http_server_state> server_state;
    std::uint16_t bound_port;
};

class beast_server final : public http_server
{
public:
    beast_server(asio::io_context& io, internal::acceptor_type acceptor,
                 std::shared_ptr<internal::http_server_state> server_state)
        : server_state(server_state), listener(std::make_shared<http_listener>(
                                          io, std::move(acceptor), std::move(server_state)))
    {
        this->listener->accept_next();
    }

    ~beast_server() override { this->listener->stop(); }
    beast_server(beast_server const&) = delete;
    beast_server& operator=(beast_server const&) = delete;

    [[nodiscard]] std::uint16_t port() const override { return this->listener->port(); }
    void stop() override { this->listener->stop(); }
    [[nodiscard]] bool is_idle() const override
    {
        return this->server_state->registry.count() == 0;
    }
    void set_message_limits(http_message_limits const& limits) override
    {
        auto& state = *this->server_state;
        state.max_header_bytes = limits.max_header_bytes;
        state.max_body_bytes = limits.max_body_bytes;
        state.head_timeout = limits.head_timeout;
        state.idle_timeout = limits.idle_timeout;
        state.first_request_timeout = limits.idle_timeout;
    }
    [[nodiscard]] http_usage usage() const override
    {
        auto const& registry = this->server_state->registry;
        return {.connections = registry.count(), .buffered_bytes = registry.buffered_bytes()};
    }

private:
    std::shared_ptr<internal::http_server_state> server_state;
    std::shared_ptr<http_listener> listener;
};

} // namespace

base::result<std::unique_ptr<http_server>, base::error<net_error>>
http_server::listen(asio::io_context& io, std::string_view address, http_limits limits,
                    http_handler handler, std::shared_ptr<tls_context const> tls)
{
    BOOST_OUTCOME_TRY(auto acceptor, internal::open_acceptor(io, address));
    internal::set_buffer_sizes(acceptor, limits.receive_buffer_bytes, limits.send_buffer_bytes);
    auto server_state = std::make_shared<internal::http_server_state>(std::move(limits));
    server_state->handler = std::move(handler);
    server_state->tls = std::move(tls);
    return std::unique_ptr<http_server>(
        std::make_unique<beast_server>(io, std::move(acceptor), std::move(server_state)));
}

} // namespace filbertroad::net

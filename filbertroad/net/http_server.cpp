#include "filbertroad/net/http.hpp"
#include "filbertroad/net/internal/address.hpp"
#include "filbertroad/net/internal/http_connection.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <vector>

namespace filbertroad::net
{
namespace asio = boost::asio;

namespace
{

/// Pause after a failed accept, such as one for lack of file descriptors; without it the loop would
/// use a whole core until descriptors are free.
constexpr std::chrono::milliseconds accept_pause{50};

/// Kept by the pending operations, so that the server may be destroyed at any time.
class http_listener : public std::enable_shared_from_this<http_listener>
{
public:
    http_listener(asio::io_context& io, internal::acceptor_type acceptor,
                  std::shared_ptr<internal::http_hub> hub)
        : io(io), acceptor(std::move(acceptor)), pause(io), grace(io), hub(std::move(hub)),
          bound_port(this->acceptor.local_endpoint().port())
    {
    }

    [[nodiscard]] std::uint16_t port() const { return this->bound_port; }

    void accept_next()
    {
        auto connection = internal::make_http_connection(this->io, this->hub);
        std::scoped_lock const guard(this->lock);
        if (this->hub->stopping)
        {
            return;
        }
        this->acceptor.async_accept(
            connection->transport(),
            [self = this->shared_from_this(), connection](boost::system::error_code code)
            { self->accepted(*connection, code); });
    }

    void stop()
    {
        std::scoped_lock const guard(this->lock);
        if (this->hub->stopping.exchange(true))
        {
            return;
        }
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->pause.cancel();
        this->grace.expires_after(this->hub->limits.stop_grace);
        this->grace.async_wait([self = this->shared_from_this()](boost::system::error_code)
                               { self->close_idle(); });
    }

private:
    void accepted(internal::http_connection& connection, boost::system::error_code code)
    {
        if (code == asio::error::operation_aborted)
        {
            return;
        }
        if (code)
        {
            std::scoped_lock const guard(this->lock);
            this->pause.expires_after(accept_pause);
            this->pause.async_wait([self = this->shared_from_this()](boost::system::error_code)
                                   { self->accept_next(); });
            return;
        }
        if (this->hub->connection_count >= this->hub->limits.max_connections)
        {
            connection.refuse();
        }
        else
        {
            connection.start();
        }
        this->accept_next();
    }

    void close_idle()
    {
        this->hub->grace_over = true;
        std::vector<std::shared_ptr<internal::http_connection>> open;
        {
            std::scoped_lock const guard(this->hub->lock);
            for (auto const& connection : this->hub->connections)
            {
                if (auto kept = connection.lock())
                {
                    open.push_back(std::move(kept));
                }
            }
        }
        for (auto const& connection : open)
        {
            connection->close_if_idle();
        }
    }

    asio::io_context& io;
    std::mutex lock;
    internal::acceptor_type acceptor;
    asio::steady_timer pause;
    asio::steady_timer grace;
    std::shared_ptr<internal::http_hub> hub;
    std::uint16_t bound_port;
};

class beast_server final : public http_server
{
public:
    beast_server(asio::io_context& io, internal::acceptor_type acceptor,
                 std::shared_ptr<internal::http_hub> hub)
        : hub(hub),
          listener(std::make_shared<http_listener>(io, std::move(acceptor), std::move(hub)))
    {
        this->listener->accept_next();
    }

    ~beast_server() override { this->listener->stop(); }
    beast_server(beast_server const&) = delete;
    beast_server& operator=(beast_server const&) = delete;

    [[nodiscard]] std::uint16_t port() const override { return this->listener->port(); }
    void stop() override { this->listener->stop(); }
    [[nodiscard]] bool is_idle() const override { return this->hub->connection_count == 0; }

private:
    std::shared_ptr<internal::http_hub> hub;
    std::shared_ptr<http_listener> listener;
};

} // namespace

base::result<std::unique_ptr<http_server>, base::error<net_error>>
http_server::listen(asio::io_context& io, std::string_view address, http_limits limits,
                    http_handler handler, std::shared_ptr<tls_context const> tls)
{
    BOOST_OUTCOME_TRY(auto acceptor, internal::open_acceptor(io, address));
    auto hub = std::make_shared<internal::http_hub>();
    hub->limits = limits;
    hub->handler = std::move(handler);
    hub->tls = std::move(tls);
    return std::unique_ptr<http_server>(
        std::make_unique<beast_server>(io, std::move(acceptor), std::move(hub)));
}

} // namespace filbertroad::net

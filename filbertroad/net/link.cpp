#include "filbertroad/net/link.hpp"

#include "filbertroad/net/internal/address.hpp"
#include "filbertroad/net/internal/tcp_link.hpp"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

namespace filbertroad::net
{
namespace asio = boost::asio;

bool is_address(std::string_view text)
{
    return internal::parse_address(text).has_value();
}

std::shared_ptr<link> link::connect(asio::io_context& io, std::string_view address,
                                    link_handlers handlers, std::shared_ptr<tls_context const> tls,
                                    link_limits limits)
{
    auto result = std::make_shared<internal::tcp_link>(io, internal::link_side::connecting,
                                                       std::move(handlers), std::move(tls),
                                                       std::move(limits));
    result->start_connect(address);
    return result;
}

namespace
{

/// Delay before accept is retried after a failure, such as a lack of file descriptors. Without the
/// delay the loop would use a whole core until descriptors are free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

class tcp_link_server final : public link_server
{
public:
    tcp_link_server(asio::io_context& io, internal::acceptor_type acceptor, link_handlers handlers,
                    std::shared_ptr<tls_context const> tls, link_limits limits)
        : state(std::make_shared<listener>(io, std::move(acceptor), std::move(handlers),
                                           std::move(tls), std::move(limits)))
    {
        this->bound_port = this->state->acceptor.local_endpoint().port();
        listener::accept_next(this->state);
    }

    ~tcp_link_server() override { this->stop(); }
    tcp_link_server(tcp_link_server const&) = delete;
    tcp_link_server& operator=(tcp_link_server const&) = delete;

    [[nodiscard]] std::uint16_t port() const override { return this->bound_port; }

    void stop() override { listener::stop(this->state); }

private:
    /// Accept loop. The pending accept shares ownership of it, so that the server may be destroyed
    /// at any time.
    struct listener
    {
        listener(asio::io_context& io, internal::acceptor_type acceptor, link_handlers handlers,
                 std::shared_ptr<tls_context const> tls, link_limits limits)
            : io(io), acceptor(std::move(acceptor)), accept_retry_timer(io),
              handlers(std::move(handlers)), tls(std::move(tls)), limits(std::move(limits))
        {
        }

        static void accept_next(std::shared_ptr<listener> const& self)
        {
            auto link = std::make_shared<internal::tcp_link>(
                self->io, internal::link_side::accepting, self->handlers, self->tls, self->limits);
            std::scoped_lock const guard(self->lock);
            if (self->stopped)
            {
                return;
            }
            self->acceptor.async_accept(link->transport(),
                                        [self, link](boost::system::error_code code)
                                        { on_accepted(self, link, code); });
        }

        static void on_accepted(std::shared_ptr<listener> const& self,
                                std::shared_ptr<internal::tcp_link> const& link,
                                boost::system::error_code code)
        {
            if (!code)
            {
                self->make_room(limit_reason::links, self->limits.max_accepted_links);
                self->accepted.push_back(link);
                link->start_accepted();
                accept_next(self);
            }
            else if (code != asio::error::operation_aborted)
            {
                if (internal::is_descriptor_shortage(code))
                {
                    self->make_room(limit_reason::descriptors, 1);
                }
                std::scoped_lock const guard(self->lock);
                self->accept_retry_timer.expires_after(accept_retry_delay);
                self->accept_retry_timer.async_wait([self](boost::system::error_code)
                                                    { accept_next(self); });
            }
        }

        /// Closes the accepted link that has been silent for longest if there are `max_links`.
        /// Links that have never carried a message are closed first. Called by one accept handler
        /// at a time.
        void make_room(limit_reason reason, std::size_t max_links)
        {
            if (this->accepted.size() < max_links)
            {
                return;
            }
            std::erase_if(this->accepted, [](auto const& item) { return item.expired(); });
            std::shared_ptr<internal::tcp_link> chosen;
            for (auto const& item : this->accepted)
            {
                auto const link = item.lock();
                if (link && (!chosen ||
                             std::pair(link->has_received_message(), link->last_input()) <
                                 std::pair(chosen->has_received_message(), chosen->last_input())))
                {
                    chosen = link;
                }
            }
            bool const is_full = this->accepted.size() >= max_links;
            if (chosen && is_full &&
                (reason == limit_reason::links || !chosen->has_received_message()))
            {
                chosen->evict(reason);
                std::erase_if(this->accepted,
                              [&](auto const& item) { return item.lock() == chosen; });
            }
        }

        static void stop(std::shared_ptr<listener> const& self)
        {
            std::scoped_lock const guard(self->lock);
            self->stopped = true;
            boost::system::error_code ignored;
            self->acceptor.close(ignored);
            self->accept_retry_timer.cancel();
        }

        asio::io_context& io;
        std::mutex lock;
        internal::acceptor_type acceptor;
        asio::steady_timer accept_retry_timer;
        link_handlers handlers;
        std::shared_ptr<tls_context const> tls;
        link_limits limits;
        std::vector<std::weak_ptr<internal::tcp_link>> accepted;
        bool stopped = false;
    };

    std::shared_ptr<listener> state;
    std::uint16_t bound_port = 0;
};

} // namespace

base::result<std::unique_ptr<link_server>, base::error<net_error>>
link_server::listen(asio::io_context& io, std::string_view address, link_handlers handlers,
                    std::shared_ptr<tls_context const> tls, link_limits limits)
{
    BOOST_OUTCOME_TRY(auto acceptor, internal::open_acceptor(io, address));
    return std::unique_ptr<link_server>(std::make_unique<tcp_link_server>(
        io, std::move(acceptor), std::move(handlers), std::move(tls), std::move(limits)));
}

} // namespace filbertroad::net

#include "filbertroad/net/internal/tcp_link.hpp"

#include "filbertroad/net/internal/address.hpp"
#include "filbertroad/net/internal/tcp_link_io.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace filbertroad::net::internal
{
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

std::uint64_t next_link_number()
{
    static std::atomic<std::uint64_t> last = 0;
    return ++last;
}

/// A close reason is truncated to this size before it is sent to the peer.
constexpr std::size_t max_reason_bytes = 1'024;

/// Links that hold less are not counted in the total, so that most messages cost no update of it.
constexpr std::size_t min_charged_bytes = 64UL * 1024;

} // namespace

tcp_link::tcp_link(asio::io_context& io, link_side side, link_handlers handlers,
                   std::shared_ptr<tls_context const> tls, link_limits limits)
    : id(next_link_number()), strand(asio::make_strand(io)), socket(this->strand),
      timer(this->strand),
      tls(tls ? std::make_unique<tls_layer>(this->socket, std::move(tls)) : nullptr),
      handlers(std::move(handlers)), side(side), session(side, *this), limits(std::move(limits)),
      reader(this->limits.max_received_bytes != 0
                 ? std::min(this->limits.max_received_bytes, this->limits.max_message_bytes)
                 : this->limits.max_message_bytes),
      last_input_ticks(std::chrono::steady_clock::now().time_since_epoch().count())
{
}

tcp_link::~tcp_link()
{
    *this->limits.buffered_bytes -= this->charged_input + this->charged_output;
}

bool tcp_link::charge(std::size_t& charged, std::size_t bytes)
{
    if (bytes < min_charged_bytes)
    {
        bytes = 0;
    }
    if (bytes == charged)
    {
        return true;
    }
    auto const total = this->limits.buffered_bytes->fetch_add(bytes - charged) + bytes - charged;
    return std::exchange(charged, bytes) > bytes || total <= this->limits.max_buffered_bytes;
}

void tcp_link::report(limit_reason reason) const
{
    if (this->limits.on_limit)
    {
        this->limits.on_limit(reason);
    }
}

void tcp_link::evict(limit_reason reason)
{
    this->report(reason);
    asio::post(this->strand,
               [link = this->self()] {
                   link->fail({net_error::closed, "closed for a new link: too many links"});
               });
}

std::shared_ptr<tcp_link> tcp_link::self()
{
    return std::static_pointer_cast<tcp_link>(this->shared_from_this());
}

bool tcp_link::is_closed() const
{
    return this->lifecycle.state() == link_state::closed;
}

void tcp_link::start_connect(std::string_view address)
{
    auto endpoint = parse_address(address);
    if (!endpoint)
    {
        asio::post(this->strand, [link = this->self(), error = std::move(endpoint.error())]
                   { link->fail(error); });
        return;
    }
    asio::post(this->strand,
               [link = this->self(), endpoint = endpoint.value()]
               {
                   if (link->is_closed())
                   {
                       return;
                   }
                   link->start_timer(open_timeout, "link did not open within 5 s");
                   link->socket.async_connect(
                       endpoint,
                       [link, endpoint](error_code code)
                       {
                           if (!code)
                           {
                               link->on_connected();
                           }
                           else if (!link->is_closed())
                           {
                               auto const error = code == asio::error::connection_refused
                                                      ? net_error::refused
                                                      : net_error::cannot_connect;
                               link->fail({error, "cannot connect to " +
                                                      endpoint.address().to_string() + ":" +
                                                      std::to_string(endpoint.port()) + ": " +
                                                      code.message()});
                           }
                       });
               });
}

void tcp_link::start_accepted()
{
    asio::post(this->strand,
               [link = this->self()]
               {
                   link->start_timer(open_timeout, "peer did not open the link within 5 s");
                   link->on_connected();
               });
}

void tcp_link::on_connected()
{
    if (this->is_closed())
    {
        return;
    }
    error_code code;
    this->socket.set_option(tcp::no_delay(true), code);
    if (!code)
    {
        this->socket.non_blocking(true, code);
    }
    if (code)
    {
        this->fail({net_error::cannot_connect, "cannot set up the socket: " + code.message()});
        return;
    }
    if (!this->tls)
    {
        this->begin_session();
        return;
    }
    this->tls->stream.async_handshake(
        this->side == link_side::connecting ? asio::ssl::stream_base::client
                                            : asio::ssl::stream_base::server,
        [link = this->self()](error_code code)
        {
            if (link->is_closed())
            {
                return;
            }
            if (code)
            {
                link->fail({is_tls_error(code) ? net_error::bad_certificate : net_error::closed,
                            "TLS handshake: " + code.message()});
                return;
            }
            link->begin_session();
        });
}

void tcp_link::begin_session()
{
    this->connected = true;
    this->lifecycle.apply(link_event::connected);
    this->flush();
    this->tls ? this->read_tls() : this->wait_readable();
}

void tcp_link::send(wire::link_message const& message)
{
    auto const size = message.ByteSizeLong();
    std::unique_lock guard(this->lock);
    if (this->send_closed)
    {
        return;
    }
    base::error<net_error> error{net_error::too_large, {}};
    auto const backlog = this->pending.size() + this->unwritten_bytes + size;
    if (size > this->limits.max_message_bytes)
    {
        error.detail = "message of " + std::to_string(size) + " bytes is over the limit of " +
                       std::to_string(this->limits.max_message_bytes);
    }
    else if (backlog > this->limits.max_send_backlog_bytes)
    {
        error.detail = "peer reads too slowly: over " +
                       std::to_string(this->limits.max_send_backlog_bytes) +
                       " bytes wait to be sent";
    }
    else if (!this->charge(this->charged_output, backlog))
    {
        error.detail = "links hold over " + std::to_string(this->limits.max_buffered_bytes) +
                       " bytes that wait";
    }
    if (!error.detail.empty())
    {
        this->send_closed = true;
        guard.unlock();
        this->report(limit_reason::link_size);
        asio::post(this->strand, [link = this->self(), error] { link->fail(error); });
        return;
    }
    wire::append_frame(message, this->pending);
    ++this->messages_sent;
    this->schedule_flush();
}

void tcp_link::schedule_flush()
{
    if (!std::exchange(this->flush_scheduled, true))
    {
        asio::post(this->strand,
                   [link = this->self()]
                   {
                       {
                           std::scoped_lock const guard(link->lock);
                           link->flush_scheduled = false;
                       }
                       link->flush();
                   });
    }
}

void tcp_link::close()
{
    {
        std::scoped_lock const guard(this->lock);
        this->send_closed = true;
    }
    asio::post(this->strand,
               [link = this->self()]
               {
                   link->begin_draining();
                   link->flush();
               });
}

void tcp_link::begin_draining()
{
    {
        std::scoped_lock const guard(this->lock);
        this->send_closed = true;
    }
    if (this->lifecycle.apply(link_event::close_requested))
    {
        this->start_timer(close_timeout,
                          "link was not drained and closed by both sides within 5 s");
    }
}

link_counters tcp_link::counters() const
{
    std::scoped_lock const guard(this->lock);
    return {.messages_sent = this->messages_sent,
            .messages_received = this->messages_received,
            .bytes_sent = this->bytes_sent,
            .bytes_received = this->bytes_received};
}

void tcp_link::on_stream_opened()
{
    if (!this->lifecycle.apply(link_event::opened))
    {
        return;
    }
    this->timer.cancel();
    if (this->handlers.on_open)
    {
        this->handlers.on_open(this->self());
    }
}

std::string tcp_link::deliver(wire::link_message& message)
{
    try
    {
        this->handlers.on_message(this->shared_from_this(), message);
        return {};
    }
    catch (std::exception const& exception)
    {
        return std::string("handler of the message failed: ") + exception.what();
    }
}

std::optional<base::error<net_error>> tcp_link::on_stream_bytes(std::string_view bytes)
{
    std::string handler_error;
    auto error = this->reader.feed(bytes,
                                   [&](wire::link_message& message)
                                   {
                                       ++this->messages_received;
                                       if (this->handlers.on_message && handler_error.empty())
                                       {
                                           handler_error = this->deliver(message);
                                       }
                                   });
    if (!error && !this->charge(this->charged_input, this->reader.pending_bytes()))
    {
        this->report(limit_reason::link_size);
        return base::error<net_error>{net_error::too_large,
                                      "links hold over " +
                                          std::to_string(this->limits.max_buffered_bytes) +
                                          " bytes that wait"};
    }
    if (error && error->code == wire::frame_error::too_long)
    {
        this->report(limit_reason::link_size);
    }
    if (!error)
    {
        return handler_error.empty()
                   ? std::nullopt
                   : std::optional(base::error<net_error>{net_error::protocol, handler_error});
    }
    return base::error<net_error>{error->code == wire::frame_error::too_long ? net_error::too_large
                                                                             : net_error::protocol,
                                  std::move(error->detail)};
}

void tcp_link::on_stream_ended()
{
    // begin_draining() has no effect if this side is already closing the link, which then keeps its
    // own close reason.
    this->peer_stream_ended = true;
    this->begin_draining();
}

stream_handler::chunk tcp_link::read_outgoing(std::span<char> out)
{
    if (this->outgoing_offset == this->outgoing.size())
    {
        this->outgoing.clear();
        this->outgoing_offset = 0;
        std::scoped_lock const guard(this->lock);
        release_if_large(this->outgoing);
        std::swap(this->outgoing, this->pending);
        this->unwritten_bytes += this->outgoing.size();
    }
    auto const size = std::min(out.size(), this->outgoing.size() - this->outgoing_offset);
    std::copy_n(this->outgoing.data() + this->outgoing_offset, size, out.data());
    this->outgoing_offset += size;
    bool last = false;
    if (this->lifecycle.state() == link_state::draining &&
        this->outgoing_offset == this->outgoing.size())
    {
        std::scoped_lock const guard(this->lock);
        last = this->pending.empty();
    }
    return {.size = size, .last = last};
}

void tcp_link::start_timer(std::chrono::seconds limit, char const* detail)
{
    this->timer.expires_after(limit);
    this->timer.async_wait(
        [link = this->self(), detail](error_code code)
        {
            if (!code && !link->is_closed())
            {
                link->fail({net_error::timeout, detail});
            }
        });
}

void tcp_link::send_goaway(std::string_view reason)
{
    this->session.submit_goaway(reason.substr(0, max_reason_bytes));
    std::string last;
    this->session.collect(last, max_write_bytes);
    error_code ignored;
    this->socket.write_some(asio::buffer(last), ignored);
}

void tcp_link::fail(base::error<net_error> error)
{
    if (!this->lifecycle.apply(link_event::ended))
    {
        return;
    }
    {
        std::scoped_lock const guard(this->lock);
        this->send_closed = true;
        std::string().swap(this->pending);
        static_cast<void>(this->charge(this->charged_output, 0));
    }
    static_cast<void>(this->charge(this->charged_input, 0));
    std::string().swap(this->outgoing);
    this->outgoing_offset = 0;
    bool const can_notify_peer =
        error.code == net_error::protocol || error.code == net_error::too_large;
    if (can_notify_peer && !this->writing && this->connected && !this->tls)
    {
        this->send_goaway(error.detail);
    }
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
    // Handlers often own the owner of the link. Releasing them breaks the reference cycle.
    auto const last = std::exchange(this->handlers, {});
    if (last.on_closed)
    {
        last.on_closed(this->self(), error);
    }
}

} // namespace filbertroad::net::internal

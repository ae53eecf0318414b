#include "filbertroad/net/internal/tcp_link_io.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <vector>

namespace filbertroad::net::internal
{
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Size of the read buffer. The buffer is thread-local, so that idle links hold none.
constexpr std::size_t read_buffer_bytes = 64UL * 1024;

/// Limit for consecutive reads of one link, so that other links of the thread are not delayed.
constexpr int max_consecutive_reads = 8;

} // namespace

void tcp_link::flush()
{
    auto const state = this->lifecycle.state();
    if (this->writing || state == link_state::closed || !this->connected)
    {
        return;
    }
    if (!this->session.collect(this->write_buffer, max_write_bytes))
    {
        this->fail({net_error::protocol, "internal error of the HTTP/2 session"});
        return;
    }
    if (this->write_buffer.empty() || this->output_shut_down)
    {
        // Frames that nghttp2 produces after the end of the stream are dropped: no peer reads them.
        this->write_buffer.clear();
        this->finish_if_drained();
        return;
    }
    this->writing = true;
    auto done = [link = this->self()](error_code code, std::size_t size)
    {
        link->bytes_sent += size;
        link->on_written(code);
    };
    if (this->tls)
    {
        asio::async_write(this->tls->stream, asio::buffer(this->write_buffer), std::move(done));
    }
    else
    {
        asio::async_write(this->socket, asio::buffer(this->write_buffer), std::move(done));
    }
}

void tcp_link::on_written(error_code code)
{
    this->writing = false;
    this->write_buffer.clear();
    if (this->is_closed())
    {
        return;
    }
    if (code)
    {
        this->fail(closed_error("cannot write: " + code.message()));
        return;
    }
    {
        std::scoped_lock const guard(this->lock);
        this->unwritten_bytes = this->outgoing.size() - this->outgoing_offset;
        static_cast<void>(
            this->charge(this->charged_output, this->pending.size() + this->unwritten_bytes));
    }
    this->flush();
    if (!this->writing)
    {
        release_if_large(this->write_buffer);
    }
}

void tcp_link::finish_if_drained()
{
    if (this->lifecycle.state() != link_state::draining || !this->session.has_ended_output())
    {
        return;
    }
    if (!std::exchange(this->output_shut_down, true))
    {
        error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    // Closing with unread input would reset the connection and could discard bytes that the peer
    // has not read yet. The link therefore waits for the end of the peer's direction.
    if (this->input_ended)
    {
        this->fail(closed_error("closed after both sides had sent everything"));
    }
}

void tcp_link::wait_readable()
{
    this->socket.async_wait(tcp::socket::wait_read,
                            [link = this->self()](error_code code)
                            {
                                if (!link->is_closed() && !code)
                                {
                                    link->read_available();
                                }
                            });
}

void tcp_link::read_available()
{
    thread_local std::vector<char> buffer(read_buffer_bytes);
    for (int i = 0; i < max_consecutive_reads; ++i)
    {
        error_code code;
        auto const size = this->socket.read_some(asio::buffer(buffer), code);
        if (code == asio::error::would_block)
        {
            break;
        }
        if (code)
        {
            this->on_input_end(code);
            return;
        }
        if (!this->process_input({buffer.data(), size}))
        {
            return;
        }
        if (size < buffer.size())
        {
            break;
        }
    }
    this->flush();
    if (!this->is_closed())
    {
        this->wait_readable();
    }
}

void tcp_link::read_tls()
{
    this->tls->stream.async_read_some(
        asio::buffer(this->tls->buffer),
        [link = this->self()](error_code code, std::size_t size)
        {
            if (link->is_closed())
            {
                return;
            }
            if (code)
            {
                link->on_input_end(code);
                return;
            }
            if (!link->process_input({link->tls->buffer.data(), size}))
            {
                return;
            }
            link->flush();
            if (!link->is_closed())
            {
                link->read_tls();
            }
        });
}

bool tcp_link::process_input(std::string_view bytes)
{
    this->bytes_received += bytes.size();
    this->last_input_ticks = std::chrono::steady_clock::now().time_since_epoch().count();
    if (auto error = this->session.receive(bytes))
    {
        this->fail(std::move(*error));
        return false;
    }
    return true;
}

void tcp_link::on_input_end(error_code code)
{
    // TLS reports stream_truncated if the peer closed without a close_notify alert. The end of the
    // HTTP/2 stream already shows that no data is missing.
    bool const is_end = code == asio::error::eof || code == asio::ssl::error::stream_truncated;
    if (is_end && this->peer_stream_ended)
    {
        // The peer still reads, so the queued messages are sent first.
        this->input_ended = true;
        this->flush();
        return;
    }
    this->fail(
        closed_error(is_end ? "peer closed the connection" : "cannot read: " + code.message()));
}

} // namespace filbertroad::net::internal

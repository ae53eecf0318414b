#ifndef FILBERTROAD_NET_INTERNAL_TCP_LINK_IO_HPP
#define FILBERTROAD_NET_INTERNAL_TCP_LINK_IO_HPP

/// Buffer limits and TLS layer of tcp_link. Included only by the sources of tcp_link.

#include "filbertroad/net/internal/tcp_link.hpp"
#include "filbertroad/net/tls.hpp"

#include <array>
#include <boost/asio/ssl/error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <memory>
#include <string>
#include <utility>

namespace filbertroad::net::internal
{

/// HTTP/2 output is collected for one write until it reaches this size.
inline constexpr std::size_t max_write_bytes = 256UL * 1024;

/// Empty buffers with a larger capacity are released.
inline constexpr std::size_t max_retained_capacity = 64UL * 1024;

inline void release_if_large(std::string& buffer)
{
    if (buffer.capacity() > max_retained_capacity)
    {
        std::string().swap(buffer);
    }
}

inline base::error<net_error> closed_error(std::string detail)
{
    return {net_error::closed, std::move(detail)};
}

/// Whether the error comes from TLS, such as a rejected certificate, rather than from a lost
/// connection.
inline bool is_tls_error(boost::system::error_code code)
{
    return code.category() == boost::asio::error::get_ssl_category();
}

struct tcp_link::tls_layer
{
    tls_layer(socket_type& socket, std::shared_ptr<tls_context const> context)
        : context(std::move(context)), stream(socket, this->context->native())
    {
    }

    std::shared_ptr<tls_context const> context;
    boost::asio::ssl::stream<socket_type&> stream;
    /// Read buffer with the size of one TLS record.
    std::array<char, 16UL * 1024> buffer{};
};

} // namespace filbertroad::net::internal

#endif

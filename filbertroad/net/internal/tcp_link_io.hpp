#ifndef FILBERTROAD_NET_INTERNAL_TCP_LINK_IO_HPP
#define FILBERTROAD_NET_INTERNAL_TCP_LINK_IO_HPP

/// Buffers and TLS of a link, for the sources of tcp_link only.

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

/// Bytes given to the socket at once.
inline constexpr std::size_t max_write_bytes = 256UL * 1024;

/// Buffers with more capacity are released when they are empty.
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

/// Whether TLS refused the peer, rather than the connection being lost.
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
    /// One TLS record.
    std::array<char, 16UL * 1024> buffer{};
};

} // namespace filbertroad::net::internal

#endif

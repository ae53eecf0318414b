#ifndef FILBERTROAD_NET_INTERNAL_ADDRESS_HPP
#define FILBERTROAD_NET_INTERNAL_ADDRESS_HPP

/// Socket addresses and listening sockets, shared by links and HTTP.
///
///     auto endpoint = internal::parse_address("127.0.0.1:8101");

#include "filbertroad/net/link.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace filbertroad::net::internal
{

using acceptor_type = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                                         boost::asio::io_context::executor_type>;

/// Parses `IP:PORT` or `[IPv6]:PORT`. Host names are not resolved, since processes connect by IP
/// address. A malformed address returns bad_address.
[[nodiscard]] base::result<boost::asio::ip::tcp::endpoint, base::error<net_error>>
parse_address(std::string_view address);

/// Opens a listening socket on `address`. Returns cannot_bind if the address is in use or cannot be
/// bound, and bad_address if it is malformed.
[[nodiscard]] base::result<acceptor_type, base::error<net_error>>
open_acceptor(boost::asio::io_context& io, std::string_view address);

} // namespace filbertroad::net::internal

#endif

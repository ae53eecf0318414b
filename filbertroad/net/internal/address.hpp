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

/// Sets the sizes of the kernel's buffers in bytes of the sockets that `acceptor` accepts; 0 leaves
/// them to the kernel, which lets each grow to several megabytes.
void set_buffer_sizes(acceptor_type& acceptor, std::size_t receive_bytes, std::size_t send_bytes);

/// Whether accept() failed for a lack of file descriptors or memory, which closing other
/// connections ends.
[[nodiscard]] bool is_descriptor_shortage(boost::system::error_code code);

} // namespace filbertroad::net::internal

#endif

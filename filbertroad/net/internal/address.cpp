#include "filbertroad/net/internal/address.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace filbertroad::net::internal
{
namespace asio = boost::asio;
using asio::ip::tcp;

base::result<tcp::endpoint, base::error<net_error>> parse_address(std::string_view address)
{
    auto const invalid_address = [&]
    {
        return base::error<net_error>{net_error::bad_address,
                                      "expected IP:PORT, got '" + std::string(address) + "'"};
    };
    auto const colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return invalid_address();
    }
    auto host = address.substr(0, colon);
    auto const digits = address.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    auto const [end, parse_error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code code;
    auto const ip = asio::ip::make_address(std::string(host), code);
    if (code || parse_error != std::errc() || digits.empty() ||
        end != digits.data() + digits.size())
    {
        return invalid_address();
    }
    return tcp::endpoint(ip, port);
}

base::result<acceptor_type, base::error<net_error>> open_acceptor(asio::io_context& io,
                                                                  std::string_view address)
{
    BOOST_OUTCOME_TRY(auto endpoint, parse_address(address));
    acceptor_type acceptor(io);
    boost::system::error_code code;
    acceptor.open(endpoint.protocol(), code);
    if (!code)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code)
    {
        acceptor.bind(endpoint, code);
    }
    if (!code)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code)
    {
        return base::error<net_error>{net_error::cannot_bind, "cannot listen on " +
                                                                  std::string(address) + ": " +
                                                                  code.message()};
    }
    return acceptor;
}

void set_buffer_sizes(acceptor_type& acceptor, std::size_t receive_bytes, std::size_t send_bytes)
{
    boost::system::error_code ignored;
    if (receive_bytes != 0)
    {
        acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(receive_bytes)),
                            ignored);
    }
    if (send_bytes != 0)
    {
        acceptor.set_option(asio::socket_base::send_buffer_size(static_cast<int>(send_bytes)),
                            ignored);
    }
}

bool is_descriptor_shortage(boost::system::error_code code)
{
    return code == asio::error::no_descriptors || code == asio::error::no_memory ||
           code == asio::error::no_buffer_space ||
           code == boost::system::errc::too_many_files_open_in_system;
}

} // namespace filbertroad::net::internal

#ifndef FILBERTROAD_NET_TLS_HPP
#define FILBERTROAD_NET_TLS_HPP

/// TLS for links and HTTP, by certificate files.
///
///     auto tls = net::tls_context::load({.certificate_file = "entry.pem",
///                                        .key_file = "entry.key",
///                                        .authority_file = "authority.pem"});
///     auto server = net::link_server::listen(io, address, handlers, tls.value());
///
/// Peers are addressed by IP number, so a certificate is checked against the authority only, and
/// not against a name. The authority should therefore sign certificates of this system alone.

#include "filbertroad/base/result.hpp"
#include "filbertroad/net/link.hpp"

#include <memory>
#include <string>

namespace boost::asio::ssl
{
class context;
} // namespace boost::asio::ssl

namespace filbertroad::net
{

/// Files in PEM format.
struct tls_options
{
    /// Own certificate chain; needed by servers, and by clients of servers that demand one.
    std::string certificate_file{};
    /// Private key of the own certificate.
    std::string key_file{};
    /// Certificates of the authorities that peers' certificates must come from.
    std::string ca_file{};
    /// Whether a server demands a certificate of its clients.
    bool require_client_certificate = true;
};

/// Keys and checks for connections; TLS 1.3. Thread safe after load().
class tls_context
{
public:
    /// Reads the files. Errors have the code bad_certificate and name the file.
    static base::result<std::shared_ptr<tls_context const>, base::error<net_error>>
    load(tls_options const& options);

    explicit tls_context(std::unique_ptr<boost::asio::ssl::context> context);
    ~tls_context();
    tls_context(tls_context const&) = delete;
    tls_context& operator=(tls_context const&) = delete;

    [[nodiscard]] boost::asio::ssl::context& native() const { return *this->context; }

private:
    std::unique_ptr<boost::asio::ssl::context> context;
};

} // namespace filbertroad::net

#endif

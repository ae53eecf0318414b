#ifndef FILBERTROAD_NET_TLS_HPP
#define FILBERTROAD_NET_TLS_HPP

/// TLS for links and HTTP, configured with certificate files.
///
///     auto tls = net::tls_context::load({.certificate_file = "entry.pem",
///                                        .key_file = "entry.key",
///                                        .ca_file = "ca.pem"});
///     auto server = net::link_server::listen(io, address, handlers, tls.value());
///
/// Peers are addressed by IP address. A certificate is therefore checked against the certificate
/// authority (CA) only, and not against a host name. The CA should sign certificates of this system
/// only.

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
    /// Own certificate chain. Needed by servers, and by clients of servers that require client
    /// certificates.
    std::string certificate_file{};
    /// Private key of the own certificate.
    std::string key_file{};
    /// Certificates of the trusted CAs, which must have signed the peers' certificates.
    std::string ca_file{};
    /// Whether a server rejects clients without a certificate (mutual TLS).
    bool require_client_certificate = true;
};

/// Keys and verification settings for connections, with TLS 1.3 as the minimum. Thread safe after
/// load().
class tls_context
{
public:
    /// Loads the files. Errors have the code bad_certificate and name the file.
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

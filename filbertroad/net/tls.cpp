#include "filbertroad/net/tls.hpp"

#include <boost/asio/ssl/context.hpp>
#include <functional>
#include <openssl/ssl.h>
#include <string_view>

namespace filbertroad::net
{
namespace ssl = boost::asio::ssl;
using boost::system::error_code;

tls_context::tls_context(std::unique_ptr<ssl::context> context) : context(std::move(context)) {}

tls_context::~tls_context() = default;

base::result<std::shared_ptr<tls_context const>, base::error<net_error>>
tls_context::load(tls_options const& options)
{
    auto context = std::make_unique<ssl::context>(ssl::context::tls);
    SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_3_VERSION);
    // Session tickets are disabled, so that no bytes arrive on an idle connection between two
    // responses. A client can therefore tell whether the connection is still usable.
    SSL_CTX_set_num_tickets(context->native_handle(), 0);
    std::string error;
    auto const load_if_set = [&](std::string const& file, std::string_view role,
                                 std::function<void(error_code&)> const& load_file)
    {
        error_code code;
        if (!file.empty() && error.empty())
        {
            load_file(code);
            if (code)
            {
                error = std::string(role) + " " + file + ": " + code.message();
            }
        }
    };
    load_if_set(options.certificate_file, "certificate",
                [&](error_code& code)
                { context->use_certificate_chain_file(options.certificate_file, code); });
    load_if_set(options.key_file, "key",
                [&](error_code& code)
                { context->use_private_key_file(options.key_file, ssl::context::pem, code); });
    load_if_set(options.ca_file, "authority",
                [&](error_code& code) { context->load_verify_file(options.ca_file, code); });
    if (!error.empty())
    {
        return base::error<net_error>{net_error::bad_certificate, error};
    }
    // On a server, verify_peer requests a client certificate. verify_fail_if_no_peer_cert makes the
    // handshake fail without one.
    auto const mode = options.require_client_certificate
                          ? ssl::verify_peer | ssl::verify_fail_if_no_peer_cert
                          : (options.ca_file.empty() ? ssl::verify_none : ssl::verify_peer);
    context->set_verify_mode(mode);
    return std::shared_ptr<tls_context const>(std::make_shared<tls_context>(std::move(context)));
}

} // namespace filbertroad::net

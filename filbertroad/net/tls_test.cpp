#include "filbertroad/net/tls.hpp"

#include "filbertroad/net/http.hpp"
#include "filbertroad/net/internal/run_until.hpp"

#include <cstdio>
#include <gtest/gtest.h>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <optional>
#include <unistd.h>
#include <vector>

namespace filbertroad::net
{
namespace
{

using internal::run_until;
constexpr std::chrono::seconds test_timeout{20};

/// A self-signed certificate, which is its own CA, and its key in a temporary file.
class certificate
{
public:
    explicit certificate(std::string const& name)
        : path(testing::TempDir() + name + "." + std::to_string(getpid()))
    {
        std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> const key(EVP_EC_gen("P-256"),
                                                                      EVP_PKEY_free);
        std::unique_ptr<X509, decltype(&X509_free)> const x509(X509_new(), X509_free);
        X509_set_version(x509.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(x509.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509.get()), -3600);
        X509_gmtime_adj(X509_getm_notAfter(x509.get()), 3600);
        X509_set_pubkey(x509.get(), key.get());
        auto* const subject = X509_get_subject_name(x509.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<unsigned char const*>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(x509.get(), subject);
        X509_sign(x509.get(), key.get(), EVP_sha256());
        auto* const file = std::fopen(this->path.c_str(), "w");
        PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        PEM_write_X509(file, x509.get());
        std::fclose(file);
    }
    ~certificate() { unlink(this->path.c_str()); }
    certificate(certificate const&) = delete;
    certificate& operator=(certificate const&) = delete;

    /// A context that presents this certificate and trusts the certificate of `peer`.
    [[nodiscard]] std::shared_ptr<tls_context const> context_trusting(certificate const& peer) const
    {
        return tls_context::load(
                   {.certificate_file = this->path, .key_file = this->path, .ca_file = peer.path})
            .value();
    }

    std::string path;
};

struct tls_test : testing::Test
{
    certificate server_certificate{"server"};
    certificate client_certificate{"client"};
    certificate other_certificate{"other"};
    std::shared_ptr<tls_context const> server_tls =
        server_certificate.context_trusting(client_certificate);
    std::shared_ptr<tls_context const> client_tls =
        client_certificate.context_trusting(server_certificate);
    boost::asio::io_context io;

    /// Sends `times` requests to a server with `server_tls` and returns the last result.
    http_result request(std::shared_ptr<tls_context const> tls, int times = 1)
    {
        auto const server = std::move(http_server::listen(
                                          this->io, "127.0.0.1:0", {},
                                          [](http_request request, http_responder const& respond)
                                          { respond({.body = std::move(request.body)}); },
                                          this->server_tls)
                                          .value());
        http_client client(this->io, "127.0.0.1:" + std::to_string(server->port()), 1,
                           std::move(tls));
        std::optional<http_result> result;
        for (int i = 0; i < times; ++i)
        {
            result.reset();
            client.send({.method = "POST", .path = "/", .body = std::string(200'000, 'b')},
                        test_timeout, [&](http_result response) { result = std::move(response); });
            EXPECT_TRUE(run_until(this->io, [&] { return result.has_value(); }));
        }
        return *result;
    }
};

TEST_F(tls_test, requests_on_a_reused_connection_get_responses)
{
    auto const result = this->request(this->client_tls, 3);
    ASSERT_TRUE(result) << result.error().error.detail;
    EXPECT_EQ(result.value().body.size(), 200'000U);
}

// Guards against requests that reach a server whose certificate is not trusted.
TEST_F(tls_test, client_rejects_a_server_of_another_ca_before_sending)
{
    auto const result =
        this->request(this->client_certificate.context_trusting(this->other_certificate));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().error.code, net_error::bad_certificate);
    EXPECT_FALSE(result.error().may_have_arrived);
}

TEST_F(tls_test, server_rejects_clients_without_a_trusted_certificate_or_without_tls)
{
    EXPECT_FALSE(this->request(this->other_certificate.context_trusting(this->server_certificate)));
    EXPECT_FALSE(this->request(nullptr));
}

/// Sends messages over a link that uses the given TLS contexts, and records what arrives.
struct link_exchange
{
    int server_open_count = 0;
    std::vector<std::uint64_t> sizes;
    std::optional<base::error<net_error>> server_closed;
    std::optional<base::error<net_error>> client_closed;

    void run(boost::asio::io_context& io, std::shared_ptr<tls_context const> server_tls,
             std::shared_ptr<tls_context const> client_tls)
    {
        auto const server = std::move(
            link_server::listen(io, "127.0.0.1:0",
                                {.on_open = [this](auto const&) { ++this->server_open_count; },
                                 .on_message =
                                     [this](auto const& link, wire::link_message& message)
                                 {
                                     this->sizes.push_back(message.start().payload().size());
                                     link->send(message);
                                 },
                                 .on_closed = [this](auto const&, auto const& error)
                                 { this->server_closed = error; }},
                                std::move(server_tls))
                .value());
        std::size_t echoed = 0;
        auto const client = link::connect(
            io, "127.0.0.1:" + std::to_string(server->port()),
            {.on_open = {},
             .on_message =
                 [&](auto const& link, wire::link_message&)
             {
                 if (++echoed == 200)
                 {
                     link->close();
                 }
             },
             .on_closed = [this](auto const&, auto const& error) { this->client_closed = error; }},
            std::move(client_tls));
        for (std::size_t i = 0; i < 200; ++i)
        {
            wire::link_message message;
            message.mutable_start()->set_payload(std::string(i * 100, 'p'));
            client->send(message);
        }
        EXPECT_TRUE(run_until(io, [&] { return this->server_closed && this->client_closed; }));
    }
};

TEST_F(tls_test, links_deliver_in_order_and_flush_on_close)
{
    link_exchange run;
    run.run(this->io, this->server_tls, this->client_tls);
    ASSERT_EQ(run.sizes.size(), 200U);
    for (std::size_t i = 0; i < run.sizes.size(); ++i)
    {
        ASSERT_EQ(run.sizes[i], i * 100);
    }
    EXPECT_EQ(run.client_closed->code, net_error::closed);
    EXPECT_EQ(run.server_closed->detail, "closed after both sides had sent everything");
}

// Guards against messages that are accepted from, or sent to, a process outside the system.
TEST_F(tls_test, links_with_untrusted_peers_carry_no_messages)
{
    link_exchange untrusted_client;
    untrusted_client.run(this->io, this->server_tls,
                         this->other_certificate.context_trusting(this->server_certificate));
    EXPECT_EQ(untrusted_client.server_closed->code, net_error::bad_certificate);
    EXPECT_TRUE(untrusted_client.sizes.empty());
    link_exchange untrusted_server;
    untrusted_server.run(this->io,
                         this->other_certificate.context_trusting(this->client_certificate),
                         this->client_tls);
    EXPECT_EQ(untrusted_server.client_closed->code, net_error::bad_certificate);
    EXPECT_TRUE(untrusted_server.sizes.empty());
    EXPECT_EQ(untrusted_server.server_open_count, 0);
}

TEST(tls_context, missing_file_is_an_error_that_names_it)
{
    auto const result = tls_context::load({.certificate_file = "/nonexistent/a.pem"});
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().code, net_error::bad_certificate);
    EXPECT_NE(result.error().detail.find("/nonexistent/a.pem"), std::string::npos);
}

} // namespace
} // namespace filbertroad::net

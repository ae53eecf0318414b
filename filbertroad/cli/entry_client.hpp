#ifndef FILBERTROAD_CLI_ENTRY_CLIENT_HPP
#define FILBERTROAD_CLI_ENTRY_CLIENT_HPP

/// HTTP client with failover between entries. If an entry does not respond, or responds that it
/// cannot serve the request now (429 or 503), the client retries at the next entry. Retries are
/// safe because every request is idempotent: submissions carry a key, changes carry a change id.
///
///     cli::entry_client client(entries, token, cli::socket_transport(clock));
///     auto response = client.send({.method = "GET", .path = "/v1/status"}, 2s, 10s);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"
#include "filbertroad/net/http.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace filbertroad::cli
{

enum class client_error
{
    no_entry_responded,
};

/// Network, sleep and clock of the client; tests replace them.
struct client_transport
{
    std::function<net::http_result(std::string const& address, net::http_request const& request,
                                   std::chrono::milliseconds timeout)>
        send;
    std::function<void(std::chrono::milliseconds)> sleep;
    base::clock const* clock = nullptr;
};

/// Transport that uses real sockets and sleeps the calling thread. `clock` must outlive the
/// transport.
[[nodiscard]] client_transport socket_transport(base::clock const& clock);

/// Sends requests to a list of entries. Not thread-safe.
class entry_client
{
public:
    /// Backoff after each round over all entries if its last attempt got no response. Also used if
    /// a 429 or 503 has no `retry_after_ms`.
    static constexpr std::chrono::milliseconds round_backoff{200};
    /// Upper bound of the `retry_after_ms` that an entry may request.
    static constexpr std::chrono::milliseconds max_retry_after{2000};

    /// `entries` are addresses IP:PORT and must not be empty.
    entry_client(std::vector<std::string> entries, std::string token, client_transport transport);

    /// Retries until an entry responds with a status other than 429 or 503. After `total_timeout`
    /// the last 429 or 503 is returned, or no_entry_responded if there was no response at all; each
    /// entry is tried at least once before that error. `timeout` applies to one attempt.
    [[nodiscard]] base::result<net::http_response, base::error<client_error>>
    send(net::http_request request, std::chrono::milliseconds timeout,
         std::chrono::milliseconds total_timeout);

    [[nodiscard]] base::clock const& clock() const { return *this->transport.clock; }

private:
    std::vector<std::string> entries;
    std::string token;
    client_transport transport;
    /// Index of the entry to try first: the one that gave the last final response, or the one after
    /// the last entry that failed.
    std::size_t current = 0;
};

} // namespace filbertroad::cli

#endif

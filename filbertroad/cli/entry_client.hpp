#ifndef FILBERTROAD_CLI_ENTRY_CLIENT_HPP
#define FILBERTROAD_CLI_ENTRY_CLIENT_HPP

/// Sends a request to one of several entries: the next one is tried when an entry does not answer
/// or says that it cannot serve the request now. This is safe because every request can be
/// repeated: submissions carry a key, changes carry a change id.
///
///     cli::entry_client client(entries, token, cli::real_transport(clock));
///     auto answer = client.send({.method = "GET", .path = "/v1/status"}, 2s, 10s);

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

/// The outside world of the client.
struct client_transport
{
    std::function<net::http_result(std::string const& address, net::http_request const& request,
                                   std::chrono::milliseconds timeout)>
        send;
    std::function<void(std::chrono::milliseconds)> sleep;
    base::clock const* clock = nullptr;
};

/// Sockets and the pauses of the machine. `clock` must outlive the transport.
[[nodiscard]] client_transport socket_transport(base::clock const& clock);

/// Not safe for several threads.
class entry_client
{
public:
    /// Pause after a round in which no entry answered.
    static constexpr std::chrono::milliseconds round_backoff{200};
    /// Longest pause that an entry can ask for.
    static constexpr std::chrono::milliseconds max_retry_after{2000};

    /// `entries` are addresses IP:PORT; at least one.
    entry_client(std::vector<std::string> entries, std::string token, client_transport transport);

    /// Sends until an entry gives an answer other than 429 or 503, or `patience` is over; the last
    /// answer is returned then. `timeout` is for one attempt.
    [[nodiscard]] base::result<net::http_response, base::error<client_error>>
    send(net::http_request request, std::chrono::milliseconds timeout,
         std::chrono::milliseconds total_timeout);

    [[nodiscard]] base::clock const& clock() const { return *this->transport.clock; }

private:
    std::vector<std::string> entries;
    std::string token;
    client_transport transport;
    /// The entry to ask first: the last one that answered.
    std::size_t current = 0;
};

} // namespace filbertroad::cli

#endif

#ifndef FILBERTROAD_API_HTTP_API_HPP
#define FILBERTROAD_API_HTTP_API_HPP

/// HTTP API of an entry for callers and operators: validates each request and passes it to the
/// service. docs/api.md describes the requests and responses.
///
///     api::http_api frontend(service, metrics, events, clock,
///                            {.operator_token = settings.operator_token,
///                             .change_id_prefix = "entry-1-1790000000000"});
///     net::http_server::listen(io, address, limits, [&](auto request, auto respond)
///                              { frontend.handle(std::move(request), std::move(respond)); });

#include "filbertroad/api/entry_service.hpp"
#include "filbertroad/base/clock.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <memory>
#include <string>

namespace filbertroad::api
{

struct api_options
{
    std::string operator_token;
    /// Prefix of the change ids that are generated when an operator gives none. Must be unique for
    /// each incarnation of the process.
    std::string change_id_prefix;
    std::size_t max_body_bytes = 16UL * 1024 * 1024;
    /// Requests per second of one team at this entry; bursts of up to one second's worth pass.
    double team_rate = 10'000;
    /// Requests per second of all operators at this entry.
    double operator_rate = 200;
};

/// Thread safe.
class http_api
{
public:
    /// The referenced objects must outlive this object, which must outlive all requests in flight.
    http_api(entry_service& service, telemetry::metrics_registry& metrics,
             telemetry::event_log& events, base::clock const& clock, api_options options);
    ~http_api();
    http_api(http_api const&) = delete;
    http_api& operator=(http_api const&) = delete;

    /// Handles a request. `respond` is called once, either before handle() returns or later from
    /// another thread.
    void handle(net::http_request request, net::http_responder respond);

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace filbertroad::api

#endif

#ifndef FILBERTROAD_SERVER_PEER_REQUESTS_HPP
#define FILBERTROAD_SERVER_PEER_REQUESTS_HPP

/// Requests from this entry to other entries; matches each response with its request.
///
///     peer_requests requests(clock, send);
///     requests.send(owner, request, std::chrono::seconds(3), [](peer_result result) { ... });
///
/// Thread-safe. Each handler is called once, without a lock held.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/base/result.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <functional>
#include <map>
#include <mutex>

namespace filbertroad::server
{

enum class peer_error
{
    /// There is no link to the peer; the request was not sent.
    not_linked,
    /// The link closed before the response; the peer may have acted on the request.
    link_closed,
    /// No response before the timeout; the peer may have acted on the request.
    timeout,
};

using peer_result = base::result<wire::response, peer_error>;
using peer_handler = std::function<void(peer_result)>;

class peer_requests
{
public:
    using sender = std::function<bool(model::process_id const&, wire::link_message const&)>;

    peer_requests(base::clock const& clock, sender send);

    /// Sends `request` with a new request id. The handler gets the response or an error; if there
    /// is no link to the peer, it is called from within this call.
    void send(model::process_id const& peer, wire::request request,
              std::chrono::milliseconds timeout, peer_handler handler);
    /// Drops a response without a pending request, since that request has timed out.
    void response_received(model::process_id const& peer, wire::response& response);
    /// Fails the pending requests to `peer`.
    void link_closed(model::process_id const& peer);
    /// Fails requests that have timed out. Call every 100 ms.
    void tick();

private:
    struct pending_request
    {
        model::process_id peer;
        base::steady_time deadline;
        peer_handler handler;
    };

    template <class Predicate>
    void fail_if(Predicate const& predicate, peer_error error);

    base::clock const& clock;
    sender send_message;
    std::mutex lock;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, pending_request> pending;
};

} // namespace filbertroad::server

#endif

#ifndef FILBERTROAD_SERVER_REQUEST_ROUTER_HPP
#define FILBERTROAD_SERVER_REQUEST_ROUTER_HPP

/// Routes each job request to the owner of its service shard: to a shard of this entry, or over a
/// link to the entry that owns the shard or still holds the key.
///
///     request_router router(io, clock, control, shards, peers, self);
///     router.handle(request, [](wire::response response) { ... });     // from a caller
///     router.handle_peer(request, respond);                           // from another entry
///
/// Thread-safe; each handler is called once.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/server/control_state_controller.hpp"
#include "filbertroad/server/peer_requests.hpp"
#include "filbertroad/server/shard_registry.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <random>

namespace filbertroad::server
{

using response_handler = std::function<void(wire::response)>;

class request_router
{
public:
    /// A request whose owner cannot be reached is retried for this long. A new owner usually takes
    /// over within that time, and retries are safe since submissions are idempotent.
    static constexpr std::chrono::milliseconds retry_timeout{9000};
    static constexpr std::chrono::milliseconds retry_interval{250};
    /// Time for a peer's response, in addition to the wait that the caller asked for.
    static constexpr std::chrono::milliseconds peer_timeout{3000};

    request_router(boost::asio::io_context& io, base::clock const& clock,
                   control_state_controller& control, shard_registry& shards, peer_requests& peers,
                   model::process_id self);

    /// Handles a submit, query, cancel or acknowledge request of a caller.
    void handle(wire::request request, response_handler respond);
    /// Handles the same requests when another entry has forwarded them. They are not retried here.
    void handle_peer(wire::request const& request, response_handler respond);

private:
    struct routed_request
    {
        wire::request request;
        response_handler respond;
        base::steady_time retry_deadline;
        /// When the wait that the caller asked for ends.
        base::steady_time wait_deadline;
    };
    using routed_request_ptr = std::shared_ptr<routed_request>;

    void try_once(routed_request_ptr const& routed);
    void try_local(shard_id const& id, submission::job_limits const& limits,
                   routed_request_ptr const& routed);
    void try_peer(model::process_id const& peer, routed_request_ptr const& routed);
    void peer_responded(routed_request_ptr const& routed, peer_result result);
    void retry_or_respond(routed_request_ptr const& routed, wire::request_error error);
    void respond_unknown_route(routed_request_ptr const& routed);
    /// The shard of this entry that holds the key from before a change of the tables; empty if
    /// there is none, or if the key is younger than the last change.
    [[nodiscard]] std::optional<shard_id> find_previous_holder(std::string const& route,
                                                               std::string const& key) const;
    bool dispatch_to_shard(shard_id const& id, submission::job_limits const& limits,
                           wire::request const& request, shard_response_handler handler);
    [[nodiscard]] std::chrono::milliseconds jittered(std::chrono::milliseconds base);

    boost::asio::io_context& io;
    base::clock const& clock;
    control_state_controller& control;
    shard_registry& shards;
    peer_requests& peers;
    model::process_id self;
    std::mutex random_lock;
    std::mt19937_64 random;
};

} // namespace filbertroad::server

#endif

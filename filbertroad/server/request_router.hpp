#ifndef FILBERTROAD_SERVER_REQUEST_ROUTER_HPP
#define FILBERTROAD_SERVER_REQUEST_ROUTER_HPP

/// Brings each job request to the owner of its service shard: into a shard of this entry, or over a
/// link to the entry that owns it or still holds the key.
///
///     request_router router(io, clock, control, shards, peers, self, seed);
///     router.handle(request, [](wire::response response) { ... });     // from a caller
///     router.handle_peer(request, respond);                           // from another entry
///
/// Safe for several threads; handlers are called once.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/server/control_controller.hpp"
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
    /// A request whose owner cannot be reached is tried again for this long, because a new owner is
    /// usually found within it and a submission is idempotent.
    static constexpr std::chrono::milliseconds retry_budget{9000};
    static constexpr std::chrono::milliseconds retry_interval{250};
    /// Time for the answer of a peer beyond the wait that the caller asked for.
    static constexpr std::chrono::milliseconds peer_timeout{3000};

    request_router(boost::asio::io_context& io, base::clock const& clock,
                   control_controller& control, shard_registry& shards, peer_requests& peers,
                   model::process_id self);

    /// Handles a submit, query, cancel or acknowledge request of a caller.
    void handle(wire::request request, response_handler respond);
    /// Handles the same requests when another entry passed them on.
    void handle_peer(wire::request const& request, response_handler respond);

private:
    struct attempt
    {
        wire::request request;
        response_handler respond;
        base::steady_time deadline;
        /// Steady time at which the wait of the caller is over.
        base::steady_time wait_until;
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    void try_once(attempt_ptr const& attempt);
    void try_local(shard_id const& id, submission::job_limits const& limits,
                   attempt_ptr const& attempt);
    void try_peer(model::process_id const& peer, attempt_ptr const& attempt);
    void peer_answered(attempt_ptr const& attempt, peer_result result);
    void retry_or_answer(attempt_ptr const& attempt, wire::request_error error);
    void answer_unknown_route(attempt_ptr const& attempt);
    /// The own shard that holds the key from before a change of the tables, if the key is that old.
    [[nodiscard]] std::optional<shard_id> earlier_holder(std::string const& route,
                                                         std::string const& key) const;
    bool run_local(shard_id const& id, submission::job_limits const& limits,
                   wire::request const& request, shard_handler handler);
    [[nodiscard]] std::chrono::milliseconds jittered(std::chrono::milliseconds base);

    boost::asio::io_context& io;
    base::clock const& clock;
    control_controller& control;
    shard_registry& shards;
    peer_requests& peers;
    model::process_id self;
    std::mutex random_lock;
    std::mt19937_64 random;
};

} // namespace filbertroad::server

#endif

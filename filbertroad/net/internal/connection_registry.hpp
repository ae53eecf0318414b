#ifndef FILBERTROAD_NET_INTERNAL_CONNECTION_REGISTRY_HPP
#define FILBERTROAD_NET_INTERNAL_CONNECTION_REGISTRY_HPP

/// Connections of one HTTP server, with the totals that they share: their number and the bytes held
/// for them. At a total the connection that has made the least progress is closed, so that a crowd
/// of idle or slow connections does not lock out other clients.
///
///     internal::connection_registry registry(max_connections, max_buffered_bytes);
///     if (registry.is_full() && !registry.evict_for_connection()) refuse(connection);
///     registry.add(connection);
///     registry.set_charge(connection->account, bytes);
///
/// Thread safe.

#include "filbertroad/net/limit_reason.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace filbertroad::net::internal
{

class http_connection;

/// Progress of a connection and the bytes held for it. Written on the strand of the connection,
/// read by the registry.
struct connection_account
{
    using clock = std::chrono::steady_clock;

    /// Starts a new part of the exchange: waiting for a request, a head, a body or a response.
    void begin_part(clock::time_point now)
    {
        this->since.store(now.time_since_epoch().count(), std::memory_order_relaxed);
        this->received.store(0, std::memory_order_relaxed);
    }

    /// Start of the current part, in ticks of the clock.
    std::atomic<clock::rep> since{0};
    /// Bytes of the body received so far.
    std::atomic<std::size_t> received{0};
    /// Bytes charged to the total.
    std::atomic<std::size_t> charge{0};
    /// A request is being handled. Its connection is not closed: the request may have had effects.
    std::atomic<bool> is_handling{false};
    /// Chosen to be closed; no longer charged.
    std::atomic<bool> is_evicted{false};
};

class connection_registry
{
public:
    connection_registry(std::size_t max_connections, std::size_t max_buffered_bytes)
        : max_connections(max_connections), max_buffered_bytes(max_buffered_bytes)
    {
    }

    /// Precondition of add(): `connection` calls remove() before it is destroyed.
    void add(http_connection& connection);
    void remove(http_connection& connection);
    [[nodiscard]] std::vector<std::shared_ptr<http_connection>> live_connections();

    [[nodiscard]] std::size_t count() const { return this->connection_count; }
    [[nodiscard]] bool is_full() const { return this->connection_count >= this->max_connections; }
    [[nodiscard]] std::size_t buffered_bytes() const { return this->buffered; }

    /// Closes the connection with the least progress, because of `reason`. Returns false if none
    /// can be closed.
    bool evict_for_connection(limit_reason reason);

    /// Sets the bytes that are held for a connection. Closes connections with the least progress,
    /// which may include this one, while the total is above its limit.
    void set_charge(connection_account& account, std::size_t bytes)
    {
        if (account.is_evicted.load(std::memory_order_relaxed))
        {
            return;
        }
        auto const before = account.charge.exchange(bytes, std::memory_order_relaxed);
        auto const total =
            this->buffered.fetch_add(bytes - before, std::memory_order_relaxed) + bytes - before;
        if (bytes > before && total > this->max_buffered_bytes)
        {
            this->relieve_memory();
        }
    }

private:
    using clock = connection_account::clock;

    struct candidate
    {
        /// Whether the part has lasted for less than the time that an ordinary client needs.
        bool is_young = false;
        /// Bytes of the body received in a second.
        double rate = 0;
        clock::rep since = 0;
        std::weak_ptr<http_connection> connection;

        [[nodiscard]] bool operator<(candidate const& other) const;
    };

    void relieve_memory();
    /// Connections in the order in which they are closed. Precondition: the lock is held.
    [[nodiscard]] std::vector<candidate> rank(bool only_charged);
    bool evict(std::shared_ptr<http_connection> const& connection, limit_reason reason);

    std::size_t max_connections;
    std::size_t max_buffered_bytes;
    std::atomic<std::size_t> connection_count{0};
    std::atomic<std::size_t> buffered{0};
    std::mutex lock;
    std::set<http_connection*> connections;
    /// Last ranking, the next connection to close at the end. Ranking all connections for each one
    /// that is closed would cost a large share of a core under a flood of new connections.
    std::vector<candidate> next_candidates;
    clock::time_point ranked_at{};
};

} // namespace filbertroad::net::internal

#endif

#include "filbertroad/net/internal/connection_registry.hpp"

#include "filbertroad/net/internal/http_connection.hpp"

#include <algorithm>
#include <tuple>

namespace filbertroad::net::internal
{
namespace
{

/// Time in which an ordinary client sends a request after it has connected. Younger connections are
/// closed last.
constexpr std::chrono::milliseconds young_age{1'000};

/// Longest time for which a ranking that found no connection to close is not repeated.
constexpr std::chrono::milliseconds ranking_pause{20};

/// Number of connections that one ranking keeps.
constexpr std::size_t max_candidates = 64;

} // namespace

bool connection_registry::candidate::operator<(candidate const& other) const
{
    return std::tie(this->is_young, this->rate, this->since) <
           std::tie(other.is_young, other.rate, other.since);
}

void connection_registry::add(http_connection& connection)
{
    std::scoped_lock const guard(this->lock);
    this->connections.insert(&connection);
    ++this->connection_count;
}

void connection_registry::remove(http_connection& connection)
{
    std::scoped_lock const guard(this->lock);
    this->buffered -= connection.account.charge.exchange(0);
    this->connections.erase(&connection);
    --this->connection_count;
}

std::vector<std::shared_ptr<http_connection>> connection_registry::live_connections()
{
    std::vector<std::shared_ptr<http_connection>> result;
    std::scoped_lock const guard(this->lock);
    for (auto* const connection : this->connections)
    {
        if (auto live = connection->weak_self().lock())
        {
            result.push_back(std::move(live));
        }
    }
    return result;
}

std::vector<connection_registry::candidate> connection_registry::rank(bool only_charged)
{
    std::vector<candidate> result;
    auto const now = clock::now();
    for (auto* const connection : this->connections)
    {
        auto const& account = connection->account;
        if (account.is_handling || account.is_evicted || (only_charged && account.charge == 0))
        {
            continue;
        }
        auto const since = account.since.load(std::memory_order_relaxed);
        auto const age = now - clock::time_point(clock::duration(since));
        auto const seconds = std::max(std::chrono::duration<double>(age).count(), 0.001);
        result.push_back({.is_young = age < young_age,
                          .rate = static_cast<double>(account.received) / seconds,
                          .since = since,
                          .connection = connection->weak_self()});
    }
    auto const kept = std::min(result.size(), max_candidates);
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(kept),
                      result.end());
    result.resize(kept);
    return result;
}

bool connection_registry::evict(std::shared_ptr<http_connection> const& connection,
                                limit_reason reason)
{
    if (connection->account.is_handling || connection->account.is_evicted.exchange(true))
    {
        return false;
    }
    this->buffered -= connection->account.charge.exchange(0);
    connection->evict(reason);
    return true;
}

bool connection_registry::evict_for_connection(limit_reason reason)
{
    // Declared before the guard: the last reference to a connection must be released without the
    // lock, because its destructor calls remove().
    std::vector<std::shared_ptr<http_connection>> held;
    std::scoped_lock const guard(this->lock);
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!this->next_candidates.empty())
        {
            auto const next = std::move(this->next_candidates.back());
            this->next_candidates.pop_back();
            auto live = next.connection.lock();
            if (!live)
            {
                continue;
            }
            held.push_back(live);
            // A connection that has made progress since the ranking keeps its place.
            if (live->account.since == next.since && this->evict(live, reason))
            {
                return true;
            }
        }
        auto const now = clock::now();
        if (attempt != 0 || now - this->ranked_at < ranking_pause)
        {
            return false;
        }
        this->next_candidates = this->rank(false);
        std::reverse(this->next_candidates.begin(), this->next_candidates.end());
        this->ranked_at = this->next_candidates.empty() ? now : clock::time_point{};
    }
    return false;
}

void connection_registry::relieve_memory()
{
    std::vector<std::shared_ptr<http_connection>> held;
    std::scoped_lock const guard(this->lock);
    if (this->buffered <= this->max_buffered_bytes)
    {
        return;
    }
    // A little more than the excess is released, so that a ranking serves many small connections.
    auto const target = this->max_buffered_bytes - this->max_buffered_bytes / 16;
    for (auto const& next : this->rank(true))
    {
        if (this->buffered <= target)
        {
            return;
        }
        if (auto live = next.connection.lock())
        {
            held.push_back(live);
            this->evict(live, limit_reason::memory);
        }
    }
}

} // namespace filbertroad::net::internal

#include "filbertroad/dispatch/snapshot_fetcher.hpp"

#include "filbertroad/base/hash.hpp"

#include <tuple>
#include <utility>

namespace filbertroad::dispatch
{
namespace
{

/// Least time between two requests of a process. It bounds what a series of changes costs: an entry
/// whose agents all ask it sends each of them five snapshots in a second.
constexpr milliseconds min_request_interval{200};

/// Time after which another peer is asked.
constexpr milliseconds response_timeout{300};

} // namespace

snapshot_fetcher::snapshot_fetcher(std::string own_name, milliseconds grace)
    : own_name(std::move(own_name)), grace(grace)
{
}

void snapshot_fetcher::peer_announced(std::string const& peer, std::uint64_t offset)
{
    this->peers[peer] = offset;
}

void snapshot_fetcher::peer_lost(std::string const& peer)
{
    this->peers.erase(peer);
    this->received(peer);
}

void snapshot_fetcher::received(std::string const& peer)
{
    if (this->asked == peer)
    {
        this->asked.reset();
    }
}

std::optional<std::string> snapshot_fetcher::next_request(std::uint64_t own_offset,
                                                          base::steady_time now)
{
    auto const* const peer = this->choose(own_offset);
    if (peer == nullptr)
    {
        this->behind_since.reset();
        return std::nullopt;
    }
    if (!this->behind_since)
    {
        this->behind_since = now;
    }
    auto const pause = this->asked ? response_timeout : min_request_interval;
    bool const is_too_early = now - *this->behind_since < this->grace ||
                              (this->asked_at && now - *this->asked_at < pause);
    if (is_too_early)
    {
        return std::nullopt;
    }
    this->asked = *peer;
    this->asked_at = now;
    return this->asked;
}

std::string const* snapshot_fetcher::choose(std::uint64_t own_offset) const
{
    std::string const* best = nullptr;
    std::tuple<bool, std::uint64_t, std::uint64_t> best_rank;
    for (auto const& [peer, offset] : this->peers)
    {
        if (offset <= own_offset)
        {
            continue;
        }
        // A peer that did not answer the last request is asked again only if there is no other.
        std::tuple const rank(peer != this->asked, offset,
                              base::hash64(peer, base::hash64(this->own_name)));
        if (best == nullptr || rank > best_rank)
        {
            best = &peer;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace filbertroad::dispatch

#include "filbertroad/dispatch/cancel_coordinator.hpp"
#include "filbertroad/dispatch/internal/elapsed.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace filbertroad::dispatch
{

std::vector<std::uint64_t> cancel_coordinator::round_numbers() const
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, item] : this->rounds)
    {
        numbers.push_back(number);
    }
    return numbers;
}

void cancel_coordinator::cancel(std::string const& key, std::uint64_t caller)
{
    if (this->rounds.size() >= this->limits.max_pending)
    {
        this->actions.emplace_back(
            answer_cancel{key, cancel_result::unconfirmed, caller, {"too many cancels"}, {}});
        return;
    }
    this->start_round(key, caller);
}

void cancel_coordinator::notify(std::string const& key)
{
    // Half of the places are left for cancels that somebody waits for.
    if (this->rounds.size() < this->limits.max_pending / 2)
    {
        this->start_round(key, std::nullopt);
    }
}

void cancel_coordinator::start_round(std::string const& key, std::optional<std::uint64_t> caller)
{
    auto const number = ++this->last_round;
    auto& item = this->rounds[number];
    item.key = key;
    item.started = this->clock.steady_now();
    item.caller = caller;
    for (auto const& [name, known] : this->peers)
    {
        if (!this->is_gone(known))
        {
            item.open_peers.insert(name);
        }
    }
    auto const names = item.open_peers;
    if (names.empty())
    {
        this->answer(item, cancel_result::not_held);
        this->rounds.erase(number);
    }
    for (auto const& name : names)
    {
        this->ask(number, name);
    }
}

void cancel_coordinator::ask(std::uint64_t number, std::string const& name)
{
    for (auto const& address : this->addresses_of(name))
    {
        auto const found = this->rounds.find(number);
        if (found == this->rounds.end() || !found->second.open_peers.contains(name))
        {
            return;
        }
        auto& link = this->links[address];
        if (link.state != link_state::open)
        {
            this->open_link(address);
        }
        else if (link.name == name)
        {
            link.last_used = this->clock.steady_now();
            this->actions.emplace_back(send_cancel_query{address, number, found->second.key});
        }
        else
        {
            this->mark_vacant(number, address, {&name, 1});
        }
    }
}

void cancel_coordinator::answer_received(std::string const& address, std::uint64_t number,
                                         bool held)
{
    auto const& link = this->links[address];
    auto const found = this->rounds.find(number);
    if (link.state != link_state::open || found == this->rounds.end())
    {
        return;
    }
    if (held)
    {
        // The question stays open for the other entries, which may have an earlier submission.
        this->answer(found->second, cancel_result::cancelled);
    }
    this->settle(number, link.name);
}

void cancel_coordinator::settle(std::uint64_t number, std::string const& name)
{
    auto const found = this->rounds.find(number);
    if (found == this->rounds.end())
    {
        return;
    }
    found->second.open_peers.erase(name);
    if (found->second.open_peers.empty())
    {
        this->answer(found->second, cancel_result::not_held);
        this->rounds.erase(found);
    }
}

void cancel_coordinator::mark_vacant(std::uint64_t number, std::string const& address,
                                     std::span<std::string const> names)
{
    auto const& link = this->links[address];
    for (auto const& name : names)
    {
        auto const found = this->rounds.find(number);
        if (found == this->rounds.end())
        {
            return;
        }
        if (link.state == link_state::open && link.name == name)
        {
            continue;
        }
        auto& vacant = found->second.vacant;
        vacant.insert(address);
        auto const addresses = this->addresses_of(name);
        if (std::all_of(addresses.begin(), addresses.end(),
                        [&](auto const& known) { return vacant.contains(known); }))
        {
            this->settle(number, name);
        }
    }
}

void cancel_coordinator::answer(round& item, cancel_result result)
{
    if (!item.caller)
    {
        return;
    }
    answer_cancel out;
    out.key = item.key;
    out.caller = *item.caller;
    out.result = result;
    out.latency = internal::elapsed(item.started, this->clock.steady_now());
    if (result == cancel_result::not_held && this->has_too_many_entries)
    {
        out.result = cancel_result::unconfirmed;
        out.missing = {"too many entries"};
    }
    else if (result == cancel_result::unconfirmed)
    {
        out.missing.assign(item.open_peers.begin(), item.open_peers.end());
    }
    item.caller.reset();
    this->actions.emplace_back(std::move(out));
}

void cancel_coordinator::abandon_all()
{
    for (auto& [number, item] : this->rounds)
    {
        this->answer(item, cancel_result::unconfirmed);
    }
    this->rounds.clear();
}

void cancel_coordinator::time_out(round& item)
{
    for (auto const& name : item.open_peers)
    {
        for (auto const& address : this->addresses_of(name))
        {
            auto& link = this->links[address];
            if (link.state == link_state::open && link.last_received < item.started)
            {
                this->actions.emplace_back(close_peer_link{address});
                link.state = link_state::closed;
                this->mark_silent(address, item.started);
            }
        }
    }
    this->answer(item, cancel_result::unconfirmed);
}

void cancel_coordinator::tick_rounds()
{
    auto const now = this->clock.steady_now();
    for (auto item = this->rounds.begin(); item != this->rounds.end();)
    {
        if (now - item->second.started >= this->limits.answer_timeout)
        {
            this->time_out(item->second);
            item = this->rounds.erase(item);
            continue;
        }
        ++item;
    }
    if (now - this->last_retry < this->limits.reconnect_interval)
    {
        return;
    }
    this->last_retry = now;
    for (auto const& name : this->waited_for())
    {
        if (this->is_gone(name))
        {
            for (auto const number : this->round_numbers())
            {
                this->settle(number, name);
            }
            continue;
        }
        for (auto const& address : this->addresses_of(name))
        {
            this->open_link(address);
        }
    }
}

std::vector<std::string> cancel_coordinator::waited_for() const
{
    std::unordered_set<std::string_view> names;
    for (auto const& [number, item] : this->rounds)
    {
        names.insert(item.open_peers.begin(), item.open_peers.end());
    }
    std::vector<std::string> sorted(names.begin(), names.end());
    // Seeded simulations need the same order on every machine.
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

} // namespace filbertroad::dispatch

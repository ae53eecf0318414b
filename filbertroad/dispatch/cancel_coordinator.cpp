#include "filbertroad/dispatch/cancel_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::dispatch
{

std::string_view to_string(cancel_result result)
{
    switch (result)
    {
    case cancel_result::cancelled:
        return "cancelled";
    case cancel_result::not_held:
        return "not_held";
    case cancel_result::unconfirmed:
        break;
    }
    return "unconfirmed";
}

cancel_coordinator::cancel_coordinator(base::clock const& clock, std::string own_name,
                                       cancel_limits limits)
    : clock(clock), own_name(std::move(own_name)), limits(limits)
{
}

void cancel_coordinator::add_entry(entry_address const& entry)
{
    if (entry.name == this->own_name)
    {
        return;
    }
    auto* const known = this->find_or_add(entry.name);
    if (known == nullptr)
    {
        return;
    }
    auto& addresses = known->addresses;
    if (std::find(addresses.begin(), addresses.end(), entry.link) == addresses.end())
    {
        addresses.push_back(entry.link);
        if (addresses.size() > this->limits.max_addresses)
        {
            addresses.erase(addresses.begin());
        }
    }
    this->replace_seed(entry.link, entry.name);
    for (auto const number : this->round_numbers())
    {
        this->ask(number, entry.name);
    }
}

void cancel_coordinator::add_seed(std::string const& address)
{
    if (this->names_at(address).empty())
    {
        if (auto* const added = this->find_or_add("@" + address))
        {
            added->addresses = {address};
        }
    }
}

cancel_coordinator::peer* cancel_coordinator::find_or_add(std::string const& name)
{
    if (auto const found = this->peers.find(name); found != this->peers.end())
    {
        return &found->second;
    }
    if (this->peers.size() >= this->limits.max_entries)
    {
        std::erase_if(this->peers, [this](auto const& item) { return this->is_gone(item.second); });
    }
    if (this->peers.size() >= this->limits.max_entries)
    {
        this->has_too_many_entries = true;
        return nullptr;
    }
    for (auto& [number, item] : this->rounds)
    {
        item.open_peers.insert(name);
    }
    return &this->peers[name];
}

std::vector<std::string> cancel_coordinator::names_at(std::string const& address) const
{
    std::vector<std::string> names;
    for (auto const& [name, item] : this->peers)
    {
        if (std::find(item.addresses.begin(), item.addresses.end(), address) !=
            item.addresses.end())
        {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> cancel_coordinator::addresses_of(std::string const& name) const
{
    auto const found = this->peers.find(name);
    return found == this->peers.end() ? std::vector<std::string>() : found->second.addresses;
}

void cancel_coordinator::replace_seed(std::string const& address, std::string const& name)
{
    auto const seed = "@" + address;
    if (this->peers.erase(seed) == 0)
    {
        return;
    }
    for (auto const number : this->round_numbers())
    {
        auto& open_peers = this->rounds.at(number).open_peers;
        if (open_peers.contains(seed) && name != this->own_name)
        {
            open_peers.insert(name);
        }
        this->settle(number, seed);
    }
}

void cancel_coordinator::agent_lists(std::string const& agent,
                                     std::vector<std::string> const& entries)
{
    this->agent_lost(agent);
    for (auto const& name : entries)
    {
        if (name == this->own_name)
        {
            continue;
        }
        if (auto* const known = this->find_or_add(name))
        {
            known->listed_by.insert(agent);
        }
    }
}

void cancel_coordinator::agent_lost(std::string const& agent)
{
    for (auto& [name, item] : this->peers)
    {
        bool const was_alive = item.listed_by.erase(agent) != 0;
        if (was_alive && (item.silent_since || item.addresses.empty()))
        {
            // The entry was alive until now.
            item.silent_since = this->clock.steady_now();
        }
    }
}

void cancel_coordinator::observe_budget(milliseconds time)
{
    this->longest_budget = std::max(this->longest_budget, time);
}

milliseconds cancel_coordinator::gone_after() const
{
    return std::min(std::max(this->limits.gone_after, this->longest_budget),
                    this->limits.max_gone_after);
}

bool cancel_coordinator::is_gone(peer const& item) const
{
    auto const now = this->clock.steady_now();
    bool const is_paused =
        !this->last_tick || now - *this->last_tick > this->limits.longest_tick_interval;
    return !is_paused && item.listed_by.empty() && item.silent_since &&
           now - *item.silent_since > this->gone_after();
}

bool cancel_coordinator::is_gone(std::string const& name) const
{
    auto const found = this->peers.find(name);
    return found == this->peers.end() || this->is_gone(found->second);
}

void cancel_coordinator::open_link(std::string const& address)
{
    auto& link = this->links[address];
    auto const now = this->clock.steady_now();
    if (link.state != link_state::closed || now < link.next_attempt)
    {
        return;
    }
    link.state = link_state::connecting;
    link.attempt_started = now;
    link.last_used = now;
    this->actions.emplace_back(open_peer_link{address});
}

void cancel_coordinator::mark_contact(std::string const& name)
{
    if (auto const found = this->peers.find(name); found != this->peers.end())
    {
        found->second.silent_since.reset();
    }
}

void cancel_coordinator::mark_silent(std::string const& address, base::steady_time since)
{
    for (auto const& name : this->names_at(address))
    {
        auto& item = this->peers.at(name);
        item.silent_since = item.silent_since ? std::min(*item.silent_since, since) : since;
    }
}

void cancel_coordinator::peer_identified(std::string const& address, std::string const& name)
{
    auto& link = this->links[address];
    auto const now = this->clock.steady_now();
    link.state = link_state::open;
    link.name = name;
    link.last_received = now;
    link.last_used = now;
    this->add_entry({name, address});
    this->replace_seed(address, name);
    if (auto const found = this->peers.find(name); found != this->peers.end())
    {
        // The process of the entry is here, and at none of its earlier addresses.
        found->second.addresses = {address};
    }
    this->mark_contact(name);
    auto const names = this->names_at(address);
    for (auto const number : this->round_numbers())
    {
        this->mark_vacant(number, address, names);
    }
}

void cancel_coordinator::message_received(std::string const& address)
{
    auto& link = this->links[address];
    if (link.state == link_state::open)
    {
        link.last_received = this->clock.steady_now();
        this->mark_contact(link.name);
    }
}

void cancel_coordinator::link_closed(std::string const& address, bool refused)
{
    auto& link = this->links[address];
    bool const was_connecting = link.state == link_state::connecting;
    link.state = link_state::closed;
    link.next_attempt = this->clock.steady_now() + this->limits.reconnect_interval;
    if (!was_connecting)
    {
        return;
    }
    if (!refused)
    {
        this->mark_silent(address, link.attempt_started);
        return;
    }
    auto const names = this->names_at(address);
    for (auto const& name : names)
    {
        this->mark_contact(name);
    }
    for (auto const number : this->round_numbers())
    {
        auto const found = this->rounds.find(number);
        // An earlier refusal does not exclude a process that has started since.
        if (found != this->rounds.end() && found->second.started <= link.attempt_started)
        {
            this->mark_vacant(number, address, names);
        }
    }
}

void cancel_coordinator::tick()
{
    auto const now = this->clock.steady_now();
    bool const was_paused =
        this->last_tick && now - *this->last_tick > this->limits.longest_tick_interval;
    this->last_tick = now;
    if (was_paused)
    {
        for (auto& [name, item] : this->peers)
        {
            item.silent_since = item.silent_since ? std::optional(now) : std::nullopt;
        }
    }
    this->tick_rounds();
    this->probe_silent();
    this->tick_links();
}

void cancel_coordinator::probe_silent()
{
    auto const now = this->clock.steady_now();
    std::erase_if(this->peers, [this](auto const& item)
                  { return item.second.addresses.empty() && this->is_gone(item.second); });
    for (auto const& [name, item] : this->peers)
    {
        if (!item.silent_since)
        {
            continue;
        }
        for (auto const& address : item.addresses)
        {
            if (now - this->links[address].attempt_started >= this->limits.probe_interval)
            {
                this->open_link(address);
            }
        }
    }
}

void cancel_coordinator::tick_links()
{
    auto const now = this->clock.steady_now();
    for (auto& [address, link] : this->links)
    {
        bool const is_late = link.state == link_state::connecting &&
                             now - link.attempt_started >= this->limits.connect_timeout;
        bool const is_unused =
            link.state == link_state::open && now - link.last_used >= this->limits.link_retention;
        if (is_late)
        {
            this->mark_silent(address, link.attempt_started);
        }
        if (is_late || is_unused)
        {
            link.state = link_state::closed;
            this->actions.emplace_back(close_peer_link{address});
        }
    }
    if (this->links.size() > 2 * this->limits.max_entries)
    {
        std::erase_if(this->links,
                      [this](auto const& item) {
                          return item.second.state == link_state::closed &&
                                 this->names_at(item.first).empty();
                      });
    }
}

std::vector<cancel_action> cancel_coordinator::take_actions()
{
    return std::exchange(this->actions, {});
}

} // namespace filbertroad::dispatch

#include "filbertroad/server/entry_links.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::server
{

using lock_guard = std::lock_guard<std::mutex>;

entry_links::entry_links(boost::asio::io_context& io, base::clock const& clock, wire::member self,
                         entry_link_callbacks callbacks)
    : io(io), clock(clock), self(std::move(self)), callbacks(std::move(callbacks))
{
}

base::result<void, base::error<net::net_error>> entry_links::listen(std::string_view address)
{
    auto listening =
        net::link_server::listen(this->io, address, this->handlers(""), nullptr, this->limits);
    if (!listening)
    {
        return std::move(listening).error();
    }
    this->server = std::move(listening).value();
    return base::success();
}

net::link_handlers entry_links::handlers(std::string outbound_address)
{
    return {
        .on_open = [this, outbound_address](link_ptr const& link)
        { this->opened(link, outbound_address); },
        .on_message = [this](link_ptr const& link, wire::link_message& message)
        { this->received(link, message); },
        .on_closed =
            [this, outbound_address](link_ptr const& link, base::error<net::net_error> const& error)
        { this->closed(link, outbound_address, error.detail); },
    };
}

void entry_links::connect_members(std::span<wire::member const> members)
{
    lock_guard const guard(this->lock);
    // An entry that has not joined yet connects to all members, because they do not know its
    // address.
    bool const is_member =
        std::any_of(members.begin(), members.end(),
                    [this](wire::member const& member)
                    { return wire::to_model(member.id()) == wire::to_model(this->self.id()); });
    std::map<std::string, reconnect_state> updated;
    for (auto const& member : members)
    {
        bool const is_own_name = member.id().name() == this->self.id().name();
        if (!is_own_name && (!is_member || this->self.id().name() < member.id().name()))
        {
            updated[member.link_address()] = this->addresses[member.link_address()];
        }
    }
    this->addresses = std::move(updated);
}

void entry_links::connect_seeds(std::vector<std::string> const& seeds)
{
    lock_guard const guard(this->lock);
    for (auto const& address : seeds)
    {
        if (address != this->self.link_address())
        {
            this->addresses.try_emplace(address);
        }
    }
}

void entry_links::dial_due_addresses(base::steady_time now)
{
    std::vector<std::string> due;
    {
        lock_guard const guard(this->lock);
        for (auto& [address, state] : this->addresses)
        {
            if (!state.active && state.next_attempt_at <= now && !this->stopping)
            {
                state.active = true;
                due.push_back(address);
            }
        }
    }
    for (auto const& address : due)
    {
        net::link::connect(this->io, address, this->handlers(address), nullptr, this->limits);
    }
}

void entry_links::tick()
{
    auto const now = this->clock.steady_now();
    this->dial_due_addresses(now);
    std::vector<link_ptr> idle_links;
    std::vector<link_ptr> ping_links;
    {
        lock_guard const guard(this->lock);
        bool const ping_due = now >= this->next_ping;
        for (auto const& [number, connection] : this->connections)
        {
            if (now - connection.last_activity_at > idle_timeout)
            {
                idle_links.push_back(connection.link);
            }
            else if (ping_due && connection.entry)
            {
                ping_links.push_back(connection.link);
            }
        }
        if (ping_due)
        {
            this->next_ping = now + ping_interval;
        }
    }
    wire::link_message ping;
    ping.mutable_ping()->set_sent_steady_ns(
        static_cast<std::uint64_t>(now.time_since_epoch().count()));
    for (auto const& link : ping_links)
    {
        link->send(ping);
    }
    for (auto const& link : idle_links)
    {
        link->close();
    }
}

void entry_links::stop()
{
    std::vector<link_ptr> open;
    {
        lock_guard const guard(this->lock);
        this->stopping = true;
        for (auto const& [number, connection] : this->connections)
        {
            open.push_back(connection.link);
        }
    }
    if (this->server)
    {
        this->server->stop();
    }
    for (auto const& link : open)
    {
        link->close();
    }
}

void entry_links::opened(link_ptr const& link, std::string const& outbound_address)
{
    {
        lock_guard const guard(this->lock);
        this->connections[link->number()] = connection{link, this->clock.steady_now(), std::nullopt,
                                                       std::nullopt, outbound_address};
    }
    if (!outbound_address.empty())
    {
        wire::link_message hello;
        *hello.mutable_entry_hello()->mutable_entry() = this->self;
        link->send(hello);
    }
}

void entry_links::received(link_ptr const& link, wire::link_message& message)
{
    std::optional<model::process_id> agent;
    std::optional<model::process_id> entry;
    {
        lock_guard const guard(this->lock);
        auto const found = this->connections.find(link->number());
        if (found == this->connections.end())
        {
            return;
        }
        found->second.last_activity_at = this->clock.steady_now();
        if (found->second.agent)
        {
            agent = wire::to_model(found->second.agent->id());
        }
        else if (found->second.entry)
        {
            entry = wire::to_model(found->second.entry->id());
        }
    }
    if (agent)
    {
        this->dispatch_from_agent(link, *agent, message);
    }
    else if (entry)
    {
        this->dispatch_from_entry(link, *entry, message);
    }
    else if (message.has_agent_hello())
    {
        this->agent_hello_received(link, message.agent_hello());
    }
    else if (message.has_entry_hello())
    {
        wire::link_message welcome;
        *welcome.mutable_welcome()->mutable_entry() = this->self;
        link->send(welcome);
        this->entry_hello_received(link, message.entry_hello().entry());
    }
    else if (message.has_welcome())
    {
        this->entry_hello_received(link, message.welcome().entry());
    }
    else
    {
        this->callbacks.link_error("message received before the hello");
        link->close();
    }
}

void entry_links::agent_hello_received(link_ptr const& link, wire::agent_hello const& hello)
{
    auto const id = wire::to_model(hello.id());
    link_ptr replaced;
    {
        lock_guard const guard(this->lock);
        this->connections[link->number()].agent = hello;
        auto& current = this->agents[id];
        replaced = std::exchange(current, link);
        if (replaced)
        {
            // Messages that still arrive on the old link must not be handled as messages of the new
            // link.
            this->connections.erase(replaced->number());
        }
    }
    if (replaced)
    {
        replaced->close();
    }
    wire::link_message welcome;
    *welcome.mutable_welcome()->mutable_entry() = this->self;
    link->send(welcome);
    wire::link_message state;
    *state.mutable_state() = this->callbacks.make_agent_state();
    link->send(state);
    this->callbacks.agent_linked({hello, link->number()});
}

void entry_links::entry_hello_received(link_ptr const& link, wire::member const& entry)
{
    auto const id = wire::to_model(entry.id());
    {
        lock_guard const guard(this->lock);
        this->connections[link->number()].entry = entry;
        this->entries[id] = link;
    }
    this->callbacks.entry_traffic_received(id);
    this->callbacks.entry_linked(entry);
}

void entry_links::target_received(link_ptr const& link, model::process_id const& agent,
                                  wire::link_message& message)
{
    std::optional<wire::agent_hello> first;
    {
        lock_guard const guard(this->lock);
        auto const found = this->connections.find(link->number());
        if (found == this->connections.end() || !found->second.agent)
        {
            return;
        }
        bool const was_known = !found->second.agent->target().service().empty();
        *found->second.agent->mutable_target() = message.target();
        if (!was_known && !message.target().service().empty())
        {
            first = found->second.agent;
        }
    }
    if (first)
    {
        this->callbacks.agent_linked({*first, link->number()});
    }
    else
    {
        this->callbacks.agent_message_received(agent, link->number(), message);
    }
}

void entry_links::dispatch_from_agent(link_ptr const& link, model::process_id const& agent,
                                      wire::link_message& message)
{
    if (message.has_ping())
    {
        answer_ping(link, message.ping(), this->callbacks.make_agent_pong());
    }
    else if (message.has_target())
    {
        this->target_received(link, agent, message);
    }
    else
    {
        this->callbacks.agent_message_received(agent, link->number(), message);
    }
}

void entry_links::dispatch_from_entry(link_ptr const& link, model::process_id const& entry,
                                      wire::link_message& message)
{
    this->callbacks.entry_traffic_received(entry);
    if (message.has_ping())
    {
        answer_ping(link, message.ping(), this->callbacks.make_pong());
    }
    else if (message.has_pong())
    {
        this->callbacks.entry_pong_received(entry, message.pong());
    }
    else if (message.has_request())
    {
        this->callbacks.entry_request_received(entry, message.request());
    }
    else if (message.has_response())
    {
        this->callbacks.entry_response_received(entry, *message.mutable_response());
    }
}

void entry_links::answer_ping(link_ptr const& link, wire::ping const& ping, wire::pong pong)
{
    wire::link_message answer;
    pong.set_echoed_steady_ns(ping.sent_steady_ns());
    *answer.mutable_pong() = std::move(pong);
    link->send(answer);
}

void entry_links::closed(link_ptr const& link, std::string const& outbound_address,
                         std::string const& detail)
{
    std::optional<model::process_id> agent;
    std::optional<model::process_id> entry;
    {
        lock_guard const guard(this->lock);
        auto const counters = link->counters();
        this->closed_counters.messages_sent += counters.messages_sent;
        this->closed_counters.messages_received += counters.messages_received;
        this->closed_counters.bytes_sent += counters.bytes_sent;
        this->closed_counters.bytes_received += counters.bytes_received;
        if (auto const found = this->connections.find(link->number());
            found != this->connections.end())
        {
            if (found->second.agent)
            {
                agent = wire::to_model(found->second.agent->id());
                this->agents.erase(*agent);
            }
            if (found->second.entry)
            {
                auto const id = wire::to_model(found->second.entry->id());
                if (auto const current = this->entries.find(id);
                    current != this->entries.end() && current->second == link)
                {
                    this->entries.erase(current);
                    entry = id;
                }
            }
            this->connections.erase(found);
        }
        if (auto const address = this->addresses.find(outbound_address);
            address != this->addresses.end())
        {
            address->second = {false, this->clock.steady_now() + reconnect_interval};
        }
    }
    if (agent)
    {
        this->callbacks.agent_unlinked(*agent, link->number());
    }
    if (entry)
    {
        this->callbacks.entry_unlinked(*entry);
    }
    if (agent || entry)
    {
        this->callbacks.link_error(detail);
    }
}

bool entry_links::send_to_agent(model::process_id const& agent, std::uint64_t link_number,
                                wire::link_message const& message)
{
    link_ptr link;
    {
        lock_guard const guard(this->lock);
        if (auto const found = this->agents.find(agent);
            found != this->agents.end() && found->second->number() == link_number)
        {
            link = found->second;
        }
    }
    if (link)
    {
        link->send(message);
    }
    return link != nullptr;
}

bool entry_links::send_to_entry(model::process_id const& entry, wire::link_message const& message)
{
    link_ptr link;
    {
        lock_guard const guard(this->lock);
        if (auto const found = this->entries.find(entry); found != this->entries.end())
        {
            link = found->second;
        }
    }
    if (link)
    {
        link->send(message);
    }
    return link != nullptr;
}

void entry_links::send_to_all_agents(wire::link_message const& message)
{
    this->send_to_all(this->agents, message);
}

void entry_links::send_to_all_entries(wire::link_message const& message)
{
    this->send_to_all(this->entries, message);
}

void entry_links::send_to_all(std::unordered_map<model::process_id, link_ptr> const& peers,
                              wire::link_message const& message)
{
    std::vector<link_ptr> links;
    {
        lock_guard const guard(this->lock);
        for (auto const& [id, link] : peers)
        {
            links.push_back(link);
        }
    }
    for (auto const& link : links)
    {
        link->send(message);
    }
}

std::vector<model::process_id> entry_links::linked_entries() const
{
    lock_guard const guard(this->lock);
    std::vector<model::process_id> result;
    for (auto const& [id, link] : this->entries)
    {
        result.push_back(id);
    }
    return result;
}

std::vector<linked_agent> entry_links::linked_agents() const
{
    lock_guard const guard(this->lock);
    std::vector<linked_agent> result;
    for (auto const& [number, connection] : this->connections)
    {
        if (connection.agent)
        {
            result.push_back({*connection.agent, number});
        }
    }
    return result;
}

std::vector<model::process_id> entry_links::active_agents(std::chrono::milliseconds age) const
{
    auto const now = this->clock.steady_now();
    lock_guard const guard(this->lock);
    std::vector<model::process_id> result;
    for (auto const& [number, connection] : this->connections)
    {
        if (connection.agent && now - connection.last_activity_at <= age)
        {
            result.push_back(wire::to_model(connection.agent->id()));
        }
    }
    return result;
}

net::link_counters entry_links::counters() const
{
    lock_guard const guard(this->lock);
    auto sum = this->closed_counters;
    for (auto const& [number, connection] : this->connections)
    {
        auto const counters = connection.link->counters();
        sum.messages_sent += counters.messages_sent;
        sum.messages_received += counters.messages_received;
        sum.bytes_sent += counters.bytes_sent;
        sum.bytes_received += counters.bytes_received;
    }
    return sum;
}

} // namespace filbertroad::server

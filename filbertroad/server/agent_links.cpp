#include "filbertroad/server/agent_links.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::server
{

agent_links::agent_links(boost::asio::io_context& io, base::clock const& clock,
                         execution::agent_core& core, std::vector<std::string> seeds,
                         std::mt19937_64 random, agent_link_callbacks callbacks,
                         net::link_limits limits)
    : io(io), clock(clock), core(core), seeds(std::move(seeds)), random(random),
      callbacks(std::move(callbacks)), limits(std::move(limits))
{
}

void agent_links::tick()
{
    auto const now = this->clock.steady_now();
    std::vector<std::pair<std::uint64_t, std::string>> to_drop;
    for (auto const& [number, connection] : this->connections)
    {
        if (auto reason = this->drop_reason(connection, now); !reason.empty())
        {
            to_drop.emplace_back(number, std::move(reason));
        }
    }
    for (auto const& [number, reason] : to_drop)
    {
        this->drop(number, reason);
    }
    if (this->stopped)
    {
        return;
    }
    if (this->linked_entry_count() > 0)
    {
        this->connect_to_members(now);
    }
    else if (this->connections.empty())
    {
        this->connect_to_next_candidate(now);
    }
}

std::string agent_links::drop_reason(connection const& connection, base::steady_time now) const
{
    if (now - connection.last_activity_at > (connection.open ? idle_timeout : connect_timeout))
    {
        return connection.open ? "silent" : "connect timed out";
    }
    if (connection.member && !this->core.may_link(wire::to_model(connection.member->id())))
    {
        return "excluded by a fence or a promise";
    }
    return {};
}

std::vector<std::string> agent_links::candidates() const
{
    std::vector<std::string> found;
    for (auto const& member : this->core.entries())
    {
        found.push_back(member.link_address());
    }
    for (auto const& address : this->seeds)
    {
        if (std::find(found.begin(), found.end(), address) == found.end())
        {
            found.push_back(address);
        }
    }
    return found;
}

void agent_links::connect_to_next_candidate(base::steady_time now)
{
    auto const addresses = this->candidates();
    for (std::size_t tried = 0; tried < addresses.size(); ++tried)
    {
        auto const& address = addresses[this->next_candidate++ % addresses.size()];
        if (this->may_connect(address, now))
        {
            this->connect_to(address, std::nullopt);
            return;
        }
    }
}

void agent_links::connect_to_members(base::steady_time now)
{
    auto const members = this->core.entries();
    for (auto const& member : members)
    {
        auto const& address = member.link_address();
        bool const already_connecting =
            this->link_numbers.contains(wire::to_model(member.id())) ||
            std::any_of(this->connections.begin(), this->connections.end(),
                        [&](auto const& item) { return item.second.address == address; });
        if (!already_connecting && this->may_connect(address, now))
        {
            this->connect_to(address, member);
        }
    }
    auto const known = this->candidates();
    std::erase_if(this->backoffs, [&](auto const& item)
                  { return std::find(known.begin(), known.end(), item.first) == known.end(); });
}

bool agent_links::may_connect(std::string const& address, base::steady_time now) const
{
    auto const found = this->backoffs.find(address);
    return found == this->backoffs.end() || found->second.next_attempt_at <= now;
}

void agent_links::connect_to(std::string const& address, std::optional<wire::member> member)
{
    auto const link = net::link::connect(
        this->io, address,
        {
            .on_open = [this](link_ptr const& link) { this->opened(link->number()); },
            .on_message = [this](link_ptr const& link, wire::link_message& message)
            { this->received(link->number(), message); },
            .on_closed = [this](link_ptr const& link, base::error<net::net_error> const& error)
            { this->drop(link->number(), error.detail); },
        },
        nullptr, this->limits);
    auto& added = this->connections[link->number()];
    added.link = link;
    added.address = address;
    added.member = std::move(member);
    added.last_activity_at = this->clock.steady_now();
    if (added.member)
    {
        this->link_numbers[wire::to_model(added.member->id())] = link->number();
    }
}

void agent_links::opened(std::uint64_t number)
{
    auto const found = this->connections.find(number);
    if (found == this->connections.end())
    {
        return;
    }
    auto& connection = found->second;
    connection.open = true;
    connection.last_activity_at = this->clock.steady_now();
    if (connection.member)
    {
        this->core.entry_linked(*connection.member, number, connection.last_activity_at);
        this->callbacks.core_changed();
    }
    else
    {
        auto const hello = this->core.hello();
        connection.hello_sent = true;
        connection.hello_open_starts = hello.agent_hello().open_size();
        connection.link->send(hello);
    }
}

void agent_links::received(std::uint64_t number, wire::link_message& message)
{
    auto const found = this->connections.find(number);
    if (found == this->connections.end())
    {
        // The agent has already dropped this link; messages that still arrive on it are ignored.
        return;
    }
    auto& connection = found->second;
    connection.last_activity_at = this->clock.steady_now();
    if (message.has_welcome())
    {
        this->identify(number, connection, message.welcome().entry());
    }
    else if (connection.identified)
    {
        this->dispatch(number, wire::to_model(connection.member->id()), message);
    }
    this->callbacks.core_changed();
}

void agent_links::identify(std::uint64_t number, connection& connection, wire::member const& entry)
{
    auto const id = wire::to_model(entry.id());
    bool const expected = connection.member && wire::to_model(connection.member->id()) == id;
    if (!connection.member &&
        this->core.hello().agent_hello().open_size() != connection.hello_open_starts)
    {
        // The target has refused a start that the hello listed, and the refusal could not be sent
        // before the welcome. The hello of a new link no longer lists that start.
        this->drop(number, "the list of open starts changed before the welcome");
        return;
    }
    if (!expected && connection.member)
    {
        auto const other = wire::to_model(connection.member->id());
        this->core.entry_unlinked(other, number);
        this->link_numbers.erase(other);
    }
    connection.member = entry;
    connection.identified = true;
    if (!expected)
    {
        auto const older = this->link_numbers.find(id);
        if (older != this->link_numbers.end() && older->second != number)
        {
            this->drop(older->second, "replaced by a newer link");
        }
        this->link_numbers[id] = number;
        this->core.entry_linked(entry, number, connection.last_activity_at);
    }
    this->backoffs.erase(connection.address);
    this->callbacks.link_established(id, connection.address);
}

void agent_links::dispatch(std::uint64_t number, model::process_id const& entry,
                           wire::link_message& message)
{
    // The wall clock must be read first; see agent_core::start_received.
    auto const wall = this->clock.system_now();
    auto const now = this->clock.steady_now();
    switch (message.body_case())
    {
    case wire::link_message::kPong:
        this->core.pong_received(entry, message.pong(), now);
        break;
    case wire::link_message::kState:
        this->core.state_received(message.state(), now);
        break;
    case wire::link_message::kStart:
        this->core.start_received(entry, number, message.start(), now, wall);
        break;
    case wire::link_message::kCancel:
        this->core.cancel_received(message.cancel());
        break;
    case wire::link_message::kFinishedAck:
        this->core.finished_ack_received(entry, message.finished_ack(), now);
        break;
    case wire::link_message::kFence:
        this->core.fence_received(entry, message.fence(), now);
        break;
    case wire::link_message::kPromiseRequest:
        this->core.promise_requested(entry, message.promise_request(), now);
        break;
    default:
        break;
    }
}

void agent_links::send(model::process_id const& entry, wire::link_message const& message)
{
    auto const number = this->link_numbers.find(entry);
    if (number == this->link_numbers.end())
    {
        return;
    }
    auto& connection = this->connections.at(number->second);
    if (message.has_agent_hello() && std::exchange(connection.hello_sent, true))
    {
        return;
    }
    connection.link->send(message);
}

void agent_links::drop(std::uint64_t number, std::string const& reason)
{
    auto const found = this->connections.find(number);
    if (found == this->connections.end())
    {
        return;
    }
    auto const connection = std::move(found->second);
    this->connections.erase(found);
    if (connection.member)
    {
        auto const id = wire::to_model(connection.member->id());
        auto const current = this->link_numbers.find(id);
        if (current != this->link_numbers.end() && current->second == number)
        {
            this->link_numbers.erase(current);
        }
        this->core.entry_unlinked(id, number);
    }
    connection.link->close();
    bool const first_failure = !this->backoffs.contains(connection.address);
    if (!this->stopped && (connection.open || first_failure))
    {
        this->callbacks.link_lost(connection.address, reason);
    }
    this->start_backoff(connection.address);
}

void agent_links::start_backoff(std::string const& address)
{
    auto& state = this->backoffs[address];
    state.delay = std::clamp(state.delay * 2, min_backoff, max_backoff);
    // Jitter keeps agents that lost an entry at the same time from reconnecting at the same time.
    std::uniform_int_distribution<std::int64_t> jitter(state.delay.count() / 2,
                                                       state.delay.count() * 3 / 2);
    state.next_attempt_at =
        this->clock.steady_now() + std::chrono::milliseconds(jitter(this->random));
}

void agent_links::stop()
{
    this->stopped = true;
    while (!this->connections.empty())
    {
        this->drop(this->connections.begin()->first, "shutting down");
    }
}

std::size_t agent_links::linked_entry_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](auto const& item) { return item.second.identified; }));
}

} // namespace filbertroad::server

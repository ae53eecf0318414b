#include "filbertroad/node/internal/entry_connections.hpp"

#include "filbertroad/node/internal/usable_address.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace filbertroad::node::internal
{
namespace events = telemetry::events;
using dispatch::milliseconds;

namespace
{

/// A link on which nothing was received for this long is closed and opened again.
constexpr milliseconds link_idle_timeout{400};

/// Time for a link to open, and then for the entry's hello to arrive. An entry whose VM is without
/// power does not answer at all. The limit is short so that a new attempt follows soon after the VM
/// is back, since the entry needs its agents then.
constexpr milliseconds connect_timeout{150};

/// Time from the last status that accepts runs until a surplus link may be closed. Starts that the
/// entry sent before it received the next status have arrived by then.
constexpr milliseconds release_time{300};

} // namespace

entry_connections::entry_connections(boost::asio::io_context& io, base::clock const& clock,
                                     telemetry::event_log& log, dispatch::process_id identity,
                                     std::size_t max_links, net::link_limits link_limits,
                                     handlers callbacks)
    : io(io), clock(clock), log(log), identity(std::move(identity)),
      link_limits(std::move(link_limits)), callbacks(std::move(callbacks)),
      selection(this->identity.name, max_links)
{
}

bool entry_connections::add(dispatch::entry_address const& entry)
{
    if (this->selection.size() >= max_known_peers || !this->selection.add(entry.link))
    {
        return false;
    }
    this->log.write(events::entry_known, {{"entry", entry.name}, {"link", entry.link}});
    return true;
}

void entry_connections::tick(bool can_connect)
{
    auto const now = this->clock.steady_now();
    this->close_silent(now);
    this->release_surplus(now);
    if (!can_connect)
    {
        return;
    }
    for (auto const& address : this->selection.due(now))
    {
        this->connect(address);
    }
}

bool entry_connections::has_linked_entry() const
{
    return this->linked_count() != 0;
}

std::size_t entry_connections::linked_count() const
{
    return static_cast<std::size_t>(std::count_if(this->links.begin(), this->links.end(),
                                                  [](auto const& item)
                                                  { return !item.second.name.empty(); }));
}

std::vector<std::string> entry_connections::linked_names() const
{
    std::vector<std::string> names;
    for (auto const& [address, entry] : this->links)
    {
        if (!entry.name.empty())
        {
            names.push_back(entry.name);
        }
    }
    return names;
}

entry_link* entry_connections::find(std::string const& name)
{
    auto const found = std::find_if(this->links.begin(), this->links.end(),
                                    [&](auto const& item) { return item.second.name == name; });
    return found == this->links.end() ? nullptr : &found->second;
}

void entry_connections::connect(std::string const& address)
{
    auto& entry = this->links[address];
    this->selection.started(address);
    entry.last_received = this->clock.steady_now();
    entry.link =
        net::link::connect(this->io, address,
                           {.on_open = [this, address](std::shared_ptr<net::link> const& link)
                            { this->handle_open(address, link); },
                            .on_message = [this, address](std::shared_ptr<net::link> const& link,
                                                          wire::link_message& message)
                            { this->handle_message(address, link, message); },
                            .on_closed =
                                [this, address](std::shared_ptr<net::link> const& link,
                                                base::error<net::net_error> const& error)
                            {
                                if (this->current(address, link) != nullptr)
                                {
                                    this->disconnect(address, error.detail);
                                }
                            }},
                           nullptr, this->link_limits);
}

entry_link* entry_connections::current(std::string const& address,
                                       std::shared_ptr<net::link> const& link)
{
    auto const found = this->links.find(address);
    return found == this->links.end() || found->second.link != link ? nullptr : &found->second;
}

void entry_connections::handle_open(std::string const& address,
                                    std::shared_ptr<net::link> const& link)
{
    auto* const entry = this->current(address, link);
    if (entry == nullptr)
    {
        return;
    }
    entry->last_received = this->clock.steady_now();
    frame hello;
    hello.sender_agent = this->identity;
    // Orders may follow the answer at once, and only the agent checks whether its zone is in
    // service. An agent that is linked to an entry follows the configuration already.
    hello.wants_snapshot = !this->has_linked_entry();
    link->send(encode_frame(hello));
}

void entry_connections::handle_message(std::string const& address,
                                       std::shared_ptr<net::link> const& link,
                                       wire::link_message const& message)
{
    auto* const entry = this->current(address, link);
    if (entry == nullptr)
    {
        return;
    }
    auto content = decode_frame(message);
    if (!content)
    {
        this->log.write(events::bad_input, {{"reason", "link message without a dispatch frame"}});
        return;
    }
    auto const now = this->clock.steady_now();
    entry->last_received = now;
    if (content->sender_entry)
    {
        entry->name = content->sender_entry->name;
        entry->protocol = content->sender_protocol;
        entry->sent_snapshot_offset = 0;
        entry->last_details_sent = {};
        this->selection.connected(address, now);
        ++this->link_changes;
        this->log.write(events::entry_linked, {{"entry", entry->name}});
        this->callbacks.on_linked(*entry, *content->sender_entry);
    }
    if (!entry->name.empty())
    {
        this->callbacks.on_frame(*entry, *content);
    }
}

void entry_connections::close_silent(base::steady_time now)
{
    std::vector<std::string> silent;
    for (auto const& [address, entry] : this->links)
    {
        auto const limit = entry.name.empty() ? connect_timeout : link_idle_timeout;
        if (now - entry.last_received > limit)
        {
            silent.push_back(address);
        }
    }
    for (auto const& address : silent)
    {
        this->disconnect(address, "silent");
    }
}

void entry_connections::release_surplus(base::steady_time now)
{
    auto const surplus = this->selection.surplus(now);
    std::set<std::string_view> const releasing(surplus.begin(), surplus.end());
    std::vector<std::string> unused;
    for (auto& [address, entry] : this->links)
    {
        bool const is_releasing = releasing.contains(address);
        if (is_releasing != entry.released_at.has_value())
        {
            entry.released_at = is_releasing ? std::optional(now) : std::nullopt;
            this->callbacks.on_release_changed(entry);
        }
        else if (is_releasing && now - *entry.released_at >= release_time &&
                 !this->callbacks.is_in_use(entry.name))
        {
            unused.push_back(address);
        }
    }
    for (auto const& address : unused)
    {
        auto const node = this->links.extract(address);
        node.mapped().link->close();
        ++this->link_changes;
        this->selection.released(address);
        this->callbacks.on_lost(node.mapped().name);
        this->log.write(events::entry_released, {{"entry", node.mapped().name}});
    }
}

void entry_connections::disconnect(std::string const& address, std::string_view reason)
{
    auto const node = this->links.extract(address);
    auto const& entry = node.mapped();
    entry.link->close();
    if (!entry.name.empty())
    {
        ++this->link_changes;
        this->callbacks.on_lost(entry.name);
        this->log.write(events::entry_lost,
                        {{"entry", entry.name}, {"reason", std::string(reason)}});
    }
    this->selection.failed(address, this->clock.steady_now());
}

} // namespace filbertroad::node::internal

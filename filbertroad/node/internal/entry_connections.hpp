#ifndef FILBERTROAD_NODE_INTERNAL_ENTRY_CONNECTIONS_HPP
#define FILBERTROAD_NODE_INTERNAL_ENTRY_CONNECTIONS_HPP

/// Links of an agent to entries. Opens the links that dispatch::entry_selection chooses, closes
/// silent ones, and closes surplus ones once they carry no run. Not thread-safe; handlers run on
/// the io_context.
///
///     internal::entry_connections connections(io, clock, log, identity, max_links, handlers);
///     connections.add({"entry-1", "10.0.0.1:7720"});
///     connections.tick(true);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/entry_selection.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/node/frame.hpp"
#include "filbertroad/telemetry/event_log.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::node::internal
{

/// Link to one entry, from the attempt to connect until it is closed.
struct entry_link
{
    std::shared_ptr<net::link> link;
    /// Name of the entry; empty until its hello has arrived on this link.
    std::string name;
    base::steady_time last_received{};
    base::steady_time last_status_sent{};
    /// Version of the link protocol of the entry.
    std::uint32_t protocol = 0;
    std::uint64_t sent_snapshot_offset = 0;
    /// Version of the load in the last status.
    std::uint64_t sent_load = 0;
    /// Version and time of the details in the last status that had them.
    std::uint64_t sent_details = 0;
    base::steady_time last_details_sent{};
    /// Version of the names of linked entries in the last status that had them.
    std::uint64_t sent_names = 0;
    std::vector<dispatch::run_report> reports;
    /// Addresses of entries to send with the next status.
    std::vector<dispatch::entry_address> new_entries;
    /// When the agent stopped to accept runs on this link, because it is a surplus one.
    std::optional<base::steady_time> released_at;
};

class entry_connections
{
public:
    struct handlers
    {
        /// The hello of an entry has arrived.
        std::function<void(entry_link&, dispatch::process_id const&)> on_linked;
        /// A frame of a linked entry has arrived, also the one with its hello.
        std::function<void(entry_link&, frame&)> on_frame;
        /// The link to the entry of this name is down.
        std::function<void(std::string const&)> on_lost;
        /// Whether the agent has a run or an unacknowledged report for the entry of this name.
        std::function<bool(std::string const&)> is_in_use;
        /// The link stops or begins again to accept runs.
        std::function<void(entry_link&)> on_release_changed;
    };

    entry_connections(boost::asio::io_context& io, base::clock const& clock,
                      telemetry::event_log& log, dispatch::process_id identity,
                      std::size_t max_links, net::link_limits link_limits, handlers callbacks);

    /// Returns whether the entry is new.
    bool add(dispatch::entry_address const& entry);
    /// Closes silent and unused links. Opens missing ones if `can_connect`.
    void tick(bool can_connect);

    [[nodiscard]] bool has_linked_entry() const;
    [[nodiscard]] std::size_t linked_count() const;
    /// Changes whenever the linked entries change.
    [[nodiscard]] std::uint64_t linked_version() const { return this->link_changes; }
    [[nodiscard]] std::vector<std::string> linked_names() const;
    /// Link to the entry of this name; null if there is none.
    [[nodiscard]] entry_link* find(std::string const& name);

    template <class Use>
    void for_each_linked(Use use)
    {
        for (auto& [address, entry] : this->links)
        {
            if (!entry.name.empty())
            {
                use(entry);
            }
        }
    }

private:
    void connect(std::string const& address);
    void handle_open(std::string const& address, std::shared_ptr<net::link> const& link);
    void handle_message(std::string const& address, std::shared_ptr<net::link> const& link,
                        wire::link_message const& message);
    /// Null if `link` is no longer the link to `address`.
    [[nodiscard]] entry_link* current(std::string const& address,
                                      std::shared_ptr<net::link> const& link);
    void close_silent(base::steady_time now);
    void release_surplus(base::steady_time now);
    void disconnect(std::string const& address, std::string_view reason);

    boost::asio::io_context& io;
    base::clock const& clock;
    telemetry::event_log& log;
    dispatch::process_id identity;
    net::link_limits link_limits;
    handlers callbacks;
    dispatch::entry_selection selection;
    /// By address.
    std::map<std::string, entry_link> links;
    std::uint64_t link_changes = 0;
};

} // namespace filbertroad::node::internal

#endif

#ifndef FILBERTROAD_SERVER_AGENT_LINKS_HPP
#define FILBERTROAD_SERVER_AGENT_LINKS_HPP

/// The links of an agent: connects to the members of the newest view, passes their messages to the
/// agent core, and closes links that are idle or that a fence or promise excludes.
///
///     agent_links links(io, clock, core, seeds, random, callbacks);
///     links.tick();                       // every 100 ms
///     links.send(entry, message);
///
/// An owner regards a start that a hello does not list as not started. An agent must therefore
/// never accept a start on one link of an entry after it has sent the hello on another link of that
/// entry. For this reason it tries one address at a time until an entry has identified itself, and
/// then connects only to members to which it has no link.
///
/// Not thread-safe: use from the thread of the io_context only.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/net/link.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace filbertroad::server
{

struct agent_link_callbacks
{
    /// The core has changed and may have actions to perform.
    std::function<void()> core_changed;
    std::function<void(model::process_id const& entry, std::string const& address)>
        link_established;
    /// A link was lost, or the first of several attempts to connect to an address failed. Not
    /// called by stop().
    std::function<void(std::string const& address, std::string const& reason)> link_lost;
};

class agent_links
{
public:
    /// A link without traffic for this long is closed. The agent pings entries every 500 ms. The
    /// limit is half of the time after which the agent promises to refuse an entry.
    static constexpr std::chrono::milliseconds idle_timeout{1500};
    /// Time for a connection to be established.
    static constexpr std::chrono::milliseconds connect_timeout{1000};
    static constexpr std::chrono::milliseconds min_backoff{100};
    static constexpr std::chrono::milliseconds max_backoff{2000};

    /// `seeds` are the addresses (IP:PORT) to try while no member can be reached.
    agent_links(boost::asio::io_context& io, base::clock const& clock, execution::agent_core& core,
                std::vector<std::string> seeds, std::mt19937_64 random,
                agent_link_callbacks callbacks, net::link_limits limits);

    /// Closes idle and excluded links, connects and reconnects. Call every 100 ms.
    void tick();
    /// Drops the message if there is no link to the entry.
    void send(model::process_id const& entry, wire::link_message const& message);
    /// Closes all links once their queued messages were sent, and makes no new ones.
    void stop();

    /// Number of links to entries that have identified themselves.
    [[nodiscard]] std::size_t linked_entry_count() const;

private:
    using link_ptr = std::shared_ptr<net::link>;

    struct connection
    {
        link_ptr link;
        std::string address;
        /// The member expected at the address, or the member that the welcome named.
        std::optional<wire::member> member;
        bool open = false;
        bool identified = false;
        bool hello_sent = false;
        /// Number of open starts that the hello listed, if it was sent before the entry had
        /// identified itself.
        int hello_open_starts = 0;
        /// When the connection attempt began, later when the last traffic arrived.
        base::steady_time last_activity_at;
    };

    /// When the agent may connect to an address again.
    struct backoff
    {
        std::chrono::milliseconds delay{0};
        base::steady_time next_attempt_at{};
    };

    void connect_to(std::string const& address, std::optional<wire::member> member);
    void connect_to_next_candidate(base::steady_time now);
    void connect_to_members(base::steady_time now);
    void opened(std::uint64_t number);
    void received(std::uint64_t number, wire::link_message& message);
    void identify(std::uint64_t number, connection& connection, wire::member const& entry);
    void dispatch(std::uint64_t number, model::process_id const& entry,
                  wire::link_message& message);
    void drop(std::uint64_t number, std::string const& reason);
    void start_backoff(std::string const& address);
    [[nodiscard]] bool may_connect(std::string const& address, base::steady_time now) const;
    /// Why a connection has to be closed; empty if it may stay.
    [[nodiscard]] std::string drop_reason(connection const& connection,
                                          base::steady_time now) const;
    [[nodiscard]] std::vector<std::string> candidates() const;

    boost::asio::io_context& io;
    base::clock const& clock;
    execution::agent_core& core;
    std::vector<std::string> seeds;
    std::mt19937_64 random;
    agent_link_callbacks callbacks;
    net::link_limits limits;
    std::map<std::uint64_t, connection> connections;
    std::map<model::process_id, std::uint64_t> link_numbers;
    std::map<std::string, backoff> backoffs;
    std::size_t next_candidate = 0;
    bool stopped = false;
};

} // namespace filbertroad::server

#endif

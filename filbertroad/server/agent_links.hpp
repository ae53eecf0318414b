#ifndef FILBERTROAD_SERVER_AGENT_LINKS_HPP
#define FILBERTROAD_SERVER_AGENT_LINKS_HPP

/// The links of an agent: connects to the members of the newest view, passes their messages to the
/// agent core, and closes links that went silent or that a fence or promise excludes.
///
///     agent_links links(io, clock, core, seeds, random, [&] { perform_actions(); });
///     links.tick();                       // every 100 ms
///     links.send(entry, message);
///
/// An owner takes starts that a hello does not name as not started, so at no time may a start be
/// accepted on one link of an entry after the hello went out on another. While no entry is known,
/// one address is therefore tried at a time; otherwise only members without a link are called.
///
/// Use from the thread of the io_context only.

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
    /// The core may have actions to perform.
    std::function<void()> core_changed;
    std::function<void(model::process_id const& entry, std::string const& address)>
        link_established;
    /// A link was lost, or the first of several calls of an address failed. Not called by stop().
    std::function<void(std::string const& address, std::string const& reason)> link_lost;
};

class agent_links
{
public:
    /// A link without traffic for this long is closed. Entries answer a ping every 500 ms. It is
    /// half of the time after which the agent promises to refuse an entry.
    static constexpr std::chrono::milliseconds idle_timeout{1500};
    /// Time for a connection to be made.
    static constexpr std::chrono::milliseconds connect_timeout{1000};
    static constexpr std::chrono::milliseconds min_backoff{100};
    static constexpr std::chrono::milliseconds max_backoff{2000};

    /// `seeds` are the addresses (IP:PORT) to call while no member can be reached.
    agent_links(boost::asio::io_context& io, base::clock const& clock, execution::agent_core& core,
                std::vector<std::string> seeds, std::mt19937_64 random,
                agent_link_callbacks callbacks);

    /// Closes, calls and calls again. Call every 100 ms.
    void tick();
    /// Messages to entries without a link are dropped.
    void send(model::process_id const& entry, wire::link_message const& message);
    /// Closes all links after what is queued was sent, and makes no more.
    void stop();

    /// Links to entries that have identified themselves.
    [[nodiscard]] std::size_t linked_entry_count() const;

private:
    using link_ptr = std::shared_ptr<net::link>;

    struct connection
    {
        link_ptr link;
        std::string address;
        /// The member expected at the address, or the one that the welcome named.
        std::optional<wire::member> member;
        bool open = false;
        bool identified = false;
        bool hello_sent = false;
        /// Open starts that a hello to an unknown entry named.
        int hello_open_starts = 0;
        /// Time of the call, then of the last traffic.
        base::steady_time last_activity_at;
    };

    /// When an address may be called again.
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
    [[nodiscard]] std::string drop_reason(connection const& connection,
                                          base::steady_time now) const;
    [[nodiscard]] std::vector<std::string> candidates() const;

    boost::asio::io_context& io;
    base::clock const& clock;
    execution::agent_core& core;
    std::vector<std::string> seeds;
    std::mt19937_64 random;
    agent_link_callbacks callbacks;
    std::map<std::uint64_t, connection> connections;
    std::map<model::process_id, std::uint64_t> link_numbers;
    std::map<std::string, backoff> backoffs;
    std::size_t next_candidate = 0;
    bool stopped = false;
};

} // namespace filbertroad::server

#endif

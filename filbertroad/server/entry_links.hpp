#ifndef FILBERTROAD_SERVER_ENTRY_LINKS_HPP
#define FILBERTROAD_SERVER_ENTRY_LINKS_HPP

/// The links of an entry: accepts links from agents and entries, connects to the other members,
/// answers pings, and closes links that have gone silent.
///
///     entry_links links(io, clock, self, events);
///     links.listen("127.0.0.1:7101");
///     links.connect_members(state.members());
///     links.send_to_agent(agent, message);
///
/// Safe for several threads. Event handlers are called on the link's strand, without a lock held.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/net/link.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertroad::server
{

/// An agent and the link that its hello came on.
struct linked_agent
{
    wire::agent_hello hello;
    std::uint64_t link = 0;
};

/// What the links tell their owner. Link numbers let the receiver ignore news of an older link,
/// since two links are served by different threads.
struct entry_link_callbacks
{
    /// A new link of an agent, or the first description of its target.
    std::function<void(linked_agent const&)> agent_linked;
    std::function<void(model::process_id const&, std::uint64_t link)> agent_unlinked;
    std::function<void(model::process_id const&, std::uint64_t link, wire::link_message&)>
        agent_message_received;
    std::function<void(wire::member const&)> entry_linked;
    std::function<void(model::process_id const&)> entry_unlinked;
    /// Any traffic of another entry.
    std::function<void(model::process_id const&)> entry_traffic_received;
    std::function<void(model::process_id const&, wire::pong const&)> entry_pong_received;
    std::function<void(model::process_id const&, wire::request const&)> entry_request_received;
    std::function<void(model::process_id const&, wire::response&)> entry_response_received;
    /// The state and its age, for the answer to a ping.
    std::function<wire::pong()> make_pong;
    /// The same for agents, with control_state::agent_offset().
    std::function<wire::pong()> make_agent_pong;
    /// The state that a new agent needs.
    std::function<wire::agent_state()> make_agent_state;
    /// A peer broke the protocol or a connection failed.
    std::function<void(std::string const& detail)> link_error;
};

class entry_links
{
public:
    /// A link without traffic for this long is closed; its peer connects again with a new hello.
    static constexpr std::chrono::milliseconds idle_timeout{2000};
    static constexpr std::chrono::milliseconds ping_interval{400};
    static constexpr std::chrono::milliseconds reconnect_interval{300};

    entry_links(boost::asio::io_context& io, base::clock const& clock, wire::member self,
                entry_link_callbacks callbacks);

    /// Accepts links on `address` (IP:PORT).
    base::result<void, base::error<net::net_error>> listen(std::string_view address);
    /// Keeps links to the members that this entry has to connect to: of two entries, the one with
    /// the smaller name connects.
    void connect_members(std::span<wire::member const> members);
    /// Also connects to these addresses while no member is known, for a start without the log.
    void connect_seeds(std::vector<std::string> const& addresses);
    /// Sends pings, connects again, closes silent links. Call every 100 ms.
    void tick();
    /// Closes all links after what is queued was sent.
    void stop();

    /// False if there is no link; the message is dropped then.
    bool send_to_agent(model::process_id const& agent, wire::link_message const& message);
    bool send_to_entry(model::process_id const& entry, wire::link_message const& message);
    void send_to_all_agents(wire::link_message const& message);
    void send_to_all_entries(wire::link_message const& message);

    [[nodiscard]] std::vector<model::process_id> linked_entries() const;
    [[nodiscard]] std::vector<linked_agent> linked_agents() const;
    /// Agents that were heard from within `age`.
    [[nodiscard]] std::size_t linked_agent_count(std::chrono::milliseconds age) const;
    [[nodiscard]] net::link_counters counters() const;

private:
    using link_ptr = std::shared_ptr<net::link>;

    struct connection
    {
        link_ptr link;
        base::steady_time last_activity_at;
        /// Set after the hello.
        std::optional<wire::member> entry;
        std::optional<wire::agent_hello> agent;
        /// Address that this entry connected to; empty for accepted links.
        std::string outbound_address;
    };

    struct reconnect_state
    {
        bool active = false;
        base::steady_time next_attempt_at{};
    };

    net::link_handlers handlers(std::string outbound_address);
    void opened(link_ptr const& link, std::string const& outbound_address);
    void received(link_ptr const& link, wire::link_message& message);
    void closed(link_ptr const& link, std::string const& outbound_address,
                std::string const& detail);
    void agent_hello_received(link_ptr const& link, wire::agent_hello const& hello);
    void entry_hello_received(link_ptr const& link, wire::member const& entry);
    void target_received(link_ptr const& link, model::process_id const& agent,
                         wire::link_message& message);
    void dispatch_from_agent(link_ptr const& link, model::process_id const& agent,
                             wire::link_message& message);
    void dispatch_from_entry(link_ptr const& link, model::process_id const& entry,
                             wire::link_message& message);
    static void answer_ping(link_ptr const& link, wire::ping const& ping, wire::pong pong);
    void dial_due_addresses(base::steady_time now);
    void send_to_all(std::unordered_map<model::process_id, link_ptr> const& peers,
                     wire::link_message const& message);

    boost::asio::io_context& io;
    base::clock const& clock;
    wire::member self;
    entry_link_callbacks callbacks;
    std::unique_ptr<net::link_server> server;

    mutable std::mutex lock;
    bool stopping = false;
    std::unordered_map<std::uint64_t, connection> connections;
    std::unordered_map<model::process_id, link_ptr> agents;
    std::unordered_map<model::process_id, link_ptr> entries;
    std::map<std::string, reconnect_state> addresses;
    net::link_counters closed_counters;
    base::steady_time next_ping{};
};

} // namespace filbertroad::server

#endif

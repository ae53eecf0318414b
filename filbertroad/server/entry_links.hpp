#ifndef FILBERTROAD_SERVER_ENTRY_LINKS_HPP
#define FILBERTROAD_SERVER_ENTRY_LINKS_HPP

/// The links of an entry: accepts links from agents and entries, connects to the other members,
/// answers pings, and closes idle links.
///
///     entry_links links(io, clock, self, callbacks);
///     links.listen("127.0.0.1:7101");
///     links.connect_members(state.members());
///     links.send_to_agent(agent, message);
///
/// Thread-safe. Callbacks are called on the link's strand, without a lock held.

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

/// An agent and the number of the link on which its hello arrived.
struct linked_agent
{
    wire::agent_hello hello;
    std::uint64_t link = 0;
};

/// The callbacks of entry_links. Two links of one agent may be served by different threads, so
/// callbacks pass the link's number, and the receiver ignores events of an older link.
struct entry_link_callbacks
{
    /// An agent has a new link, or has described its target for the first time.
    std::function<void(linked_agent const&)> agent_linked;
    std::function<void(model::process_id const&, std::uint64_t link)> agent_unlinked;
    std::function<void(model::process_id const&, std::uint64_t link, wire::link_message&)>
        agent_message_received;
    std::function<void(wire::member const&)> entry_linked;
    std::function<void(model::process_id const&)> entry_unlinked;
    /// Another entry has sent any message.
    std::function<void(model::process_id const&)> entry_traffic_received;
    std::function<void(model::process_id const&, wire::pong const&)> entry_pong_received;
    std::function<void(model::process_id const&, wire::request const&)> entry_request_received;
    std::function<void(model::process_id const&, wire::response&)> entry_response_received;
    /// The offset and the confirmation age of the control state, for the reply to an entry's ping.
    std::function<wire::pong()> make_pong;
    /// The same for an agent's ping, with control_state::agent_offset() as the offset.
    std::function<wire::pong()> make_agent_pong;
    /// The part of the control state that an agent gets when it connects.
    std::function<wire::agent_state()> make_agent_state;
    /// A peer violated the protocol, or an identified link was lost.
    std::function<void(std::string const& detail)> link_error;
};

class entry_links
{
public:
    /// A link without traffic for this long is closed; its peer reconnects with a new hello.
    static constexpr std::chrono::milliseconds idle_timeout{2000};
    static constexpr std::chrono::milliseconds ping_interval{400};
    static constexpr std::chrono::milliseconds reconnect_interval{300};

    entry_links(boost::asio::io_context& io, base::clock const& clock, wire::member self,
                entry_link_callbacks callbacks);

    /// Sets the limits of the links that are opened or accepted later.
    void set_limits(net::link_limits value) { this->limits = std::move(value); }

    /// Accepts links on `address` (IP:PORT).
    base::result<void, base::error<net::net_error>> listen(std::string_view address);
    /// Keeps links to the members that this entry has to connect to: of two entries, the one with
    /// the smaller name connects.
    void connect_members(std::span<wire::member const> members);
    /// Also connects to these addresses until the first call of connect_members(), so that an entry
    /// can start while the control log is unavailable.
    void connect_seeds(std::vector<std::string> const& addresses);
    /// Sends pings, reconnects, closes idle links. Call every 100 ms.
    void tick();
    /// Closes all links once their queued messages were sent, and makes no new ones.
    void stop();

    /// These return false, and drop the message, if there is no link. For an agent this also holds
    /// if `link_number` is not the number of its newest link: a sender that has not read the hello
    /// of the newest link would take a start that it sends there as not received.
    bool send_to_agent(model::process_id const& agent, std::uint64_t link_number,
                       wire::link_message const& message);
    bool send_to_entry(model::process_id const& entry, wire::link_message const& message);
    void send_to_all_agents(wire::link_message const& message);
    void send_to_all_entries(wire::link_message const& message);

    [[nodiscard]] std::vector<model::process_id> linked_entries() const;
    [[nodiscard]] std::vector<linked_agent> linked_agents() const;
    /// The agents that have sent any message within the last `age`.
    [[nodiscard]] std::vector<model::process_id> active_agents(std::chrono::milliseconds age) const;
    /// Sums over all links, including closed ones.
    [[nodiscard]] net::link_counters counters() const;

private:
    using link_ptr = std::shared_ptr<net::link>;

    struct connection
    {
        link_ptr link;
        base::steady_time last_activity_at;
        /// The peer, after its hello; exactly one of the two is set then.
        std::optional<wire::member> entry;
        std::optional<wire::agent_hello> agent;
        /// Address to which this entry connected; empty for accepted links.
        std::string outbound_address;
    };

    struct reconnect_state
    {
        /// A link to the address is open or being opened.
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
    net::link_limits limits;
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

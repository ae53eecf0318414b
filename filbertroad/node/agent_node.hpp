#ifndef FILBERTROAD_NODE_AGENT_NODE_HPP
#define FILBERTROAD_NODE_AGENT_NODE_HPP

/// The agent process without its HTTP servers. Connects the decision logic (dispatch::run_agent) to
/// the links to entries and to the target on the same machine; makes no decisions of its own.
///
///     auto agent = agent_node::builder().name("agent-1").zone("khi-b").seeds({"10.0.0.1:7720"})
///                      .build(io, clock, target, log, metrics);
///     agent->open();
///     agent->target_announced(announcement);
///
/// Not thread-safe: all calls and callbacks are made on the one thread that runs the io_context.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/run_agent.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::node
{

/// Response to a renewal of the lease.
struct renewal_response
{
    /// Empty if no valid response came.
    std::optional<dispatch::run_list> list;
    /// The target has seen a higher fencing token.
    bool is_fenced = false;
};

/// Client of the target. Each handler is called exactly once, also if no response comes in time.
class target_client
{
public:
    virtual ~target_client() = default;
    virtual void start(dispatch::start_run const& order,
                       std::function<void(dispatch::start_answer)> handler) = 0;
    /// `handler` gets whether the target confirmed the order.
    virtual void stop(dispatch::stop_run const& order, std::function<void(bool)> handler) = 0;
    /// Renews the lease. The target responds when a run ends, or after `wait` at the latest.
    virtual void renew(dispatch::renewal const& order, dispatch::milliseconds wait,
                       std::function<void(renewal_response)> handler) = 0;
};

class agent_node
{
public:
    class builder;

    virtual ~agent_node() = default;

    /// Starts the timers, the renewals of the lease and the connections to entries.
    virtual void open() = 0;
    virtual void target_announced(dispatch::target_announcement const& announcement) = 0;
    virtual void target_removed(std::string const& name) = 0;
    /// Adds an entry that the agent may link to, as found in the platform's records.
    virtual void add_entry(dispatch::entry_address const& entry) = 0;
    /// Begins a graceful shutdown; `handler` is called once no run is queued or in progress.
    virtual void stop(std::function<void()> handler) = 0;
    [[nodiscard]] virtual bool has_connected_entry() const = 0;
};

class agent_node::builder
{
public:
    builder& name(std::string value)
    {
        this->own_name = std::move(value);
        return *this;
    }

    builder& zone(std::string value)
    {
        this->own_zone = std::move(value);
        return *this;
    }

    /// Link addresses (IP:PORT) of the first entries to connect to; these send the addresses of
    /// the others.
    builder& seeds(std::vector<std::string> value)
    {
        this->seed_links = std::move(value);
        return *this;
    }

    builder& limits(dispatch::agent_limits value)
    {
        this->agent_limits = value;
        return *this;
    }

    /// Number of entries to which the agent is linked at the same time.
    builder& max_entry_links(std::size_t value)
    {
        this->max_links = value;
        return *this;
    }

    builder& link_limits(net::link_limits value)
    {
        this->limits_of_links = std::move(value);
        return *this;
    }

    [[nodiscard]] std::unique_ptr<agent_node> build(boost::asio::io_context& io,
                                                    base::clock const& clock, target_client& target,
                                                    telemetry::event_log& log,
                                                    telemetry::metrics_registry& metrics) const;

private:
    std::string own_name;
    std::string own_zone;
    std::vector<std::string> seed_links;
    dispatch::agent_limits agent_limits;
    std::size_t max_links = 8;
    net::link_limits limits_of_links;
};

} // namespace filbertroad::node

#endif

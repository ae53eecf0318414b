#ifndef FILBERTROAD_NODE_ENTRY_NODE_HPP
#define FILBERTROAD_NODE_ENTRY_NODE_HPP

/// The entry process without its doors: joins the job dispatcher with the links to agents and
/// other entries. It takes no decision of its own.
///
///     auto entry = entry_node::builder().name("entry-1").listen("10.0.0.1:7720")
///                      .build(io, clock, log, metrics);
///     entry->open();
///     entry->submit(job, [](dispatch::answer_job const& answer) { ... });
///
/// All calls and callbacks on the thread of the io_context; only one thread may run it.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/dispatch/job_dispatcher.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertroad::node
{

using answer_handler = std::function<void(dispatch::answer_job const&)>;

class entry_node
{
public:
    class builder;

    virtual ~entry_node() = default;

    /// Binds the link address and starts its timers. False, with an event, if that fails.
    [[nodiscard]] virtual bool open() = 0;

    /// Port in use for links, after open().
    [[nodiscard]] virtual std::uint16_t link_port() const = 0;

    /// Takes a job; `handler` gets its answer, once. A second submission of a key that is present
    /// takes over the answer; the first handler is called with the same answer.
    virtual void submit(dispatch::job_request request, answer_handler handler) = 0;
    /// The caller left or cancels. The handler of the job is called.
    virtual bool cancel(std::string const& key) = 0;
    [[nodiscard]] virtual bool holds(std::string const& key) const = 0;
    [[nodiscard]] virtual std::size_t waiting_jobs(std::string const& route) const = 0;
    [[nodiscard]] virtual std::size_t job_count() const = 0;

    [[nodiscard]] virtual dispatch::control_snapshot_store const& control() const = 0;
    /// A snapshot read from the platform; passed on to agents and entries if it is newer.
    virtual void offer_control(dispatch::control_snapshot snapshot) = 0;
    /// An entry that the platform's records name; agents are told to link to it.
    virtual void add_entry(dispatch::entry_address const& entry) = 0;
    /// Agents that take work now.
    [[nodiscard]] virtual std::size_t open_agents() const = 0;
    /// Whether jobs can be taken: there is a configuration and an agent that takes work.
    [[nodiscard]] virtual bool is_ready() const = 0;
};

class entry_node::builder
{
public:
    builder& name(std::string value)
    {
        this->own_name = std::move(value);
        return *this;
    }

    /// IP:PORT for links of agents and other entries.
    builder& listen(std::string value)
    {
        this->link_address = std::move(value);
        return *this;
    }

    /// Link addresses of entries that are told of this one at its start.
    builder& seeds(std::vector<std::string> value)
    {
        this->seed_links = std::move(value);
        return *this;
    }

    builder& limits(dispatch::dispatch_limits value)
    {
        this->dispatch_limits = value;
        return *this;
    }

    [[nodiscard]] std::unique_ptr<entry_node> build(boost::asio::io_context& io,
                                                    base::clock const& clock,
                                                    telemetry::event_log& log,
                                                    telemetry::metrics_registry& metrics) const;

private:
    std::string own_name;
    std::string link_address;
    std::vector<std::string> seed_links;
    dispatch::dispatch_limits dispatch_limits;
};

} // namespace filbertroad::node

#endif

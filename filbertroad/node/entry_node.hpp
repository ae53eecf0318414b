#ifndef FILBERTROAD_NODE_ENTRY_NODE_HPP
#define FILBERTROAD_NODE_ENTRY_NODE_HPP

/// The entry process without its HTTP servers. Connects the decision logic
/// (dispatch::job_dispatcher) to the links to agents and other entries; makes no decisions of its
/// own.
///
///     auto entry = entry_node::builder().name("entry-1").listen("10.0.0.1:7720")
///                      .build(io, clock, log, metrics);
///     entry->open();
///     entry->submit(job, [](dispatch::answer_job const& answer) { ... });
///
/// Not thread-safe: all calls and callbacks are made on the one thread that runs the io_context.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/cancel_coordinator.hpp"
#include "filbertroad/dispatch/control_snapshot.hpp"
#include "filbertroad/dispatch/job_dispatcher.hpp"
#include "filbertroad/dispatch/waiting_callers.hpp"
#include "filbertroad/net/link.hpp"
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
using cancel_handler = std::function<void(dispatch::cancel_result)>;

class entry_node
{
public:
    class builder;

    virtual ~entry_node() = default;

    /// Binds the link address and starts the timers. Returns false and writes an event if the
    /// address cannot be bound.
    [[nodiscard]] virtual bool open() = 0;

    /// Port on which links are accepted; valid after open().
    [[nodiscard]] virtual std::uint16_t link_port() const = 0;

    /// Submits a job; `handler` is called once, with its answer. A further submission of a key
    /// whose job is still open starts nothing: the handlers of both get the answer of the open job.
    /// A submission is answered at once if too many callers wait for jobs with such a time budget.
    /// Returns a number of the submission for withdraw().
    virtual std::uint64_t submit(dispatch::job_request request, answer_handler handler) = 0;
    /// The caller of a submission has disconnected. Cancels the job if no other submission waits
    /// for its answer.
    virtual void withdraw(std::string const& key, std::uint64_t submission) = 0;
    /// Cancels a job because a caller asked for it; all handlers of the job are called. Returns
    /// false if there is no job of this key.
    virtual bool cancel(std::string const& key) = 0;
    /// Like cancel(), and asks the other entries for the job. `handler` is called once: at once if
    /// this entry holds the job, else when the entries have responded or after 1 s.
    virtual void cancel_everywhere(std::string const& key, cancel_handler handler) = 0;
    /// Ends all jobs and cancels because the process is about to exit; all handlers are called
    /// before this returns.
    virtual void give_up_jobs(std::string const& reason) = 0;
    [[nodiscard]] virtual bool has_job(std::string const& key) const = 0;
    [[nodiscard]] virtual std::size_t waiting_jobs(std::string const& route) const = 0;
    [[nodiscard]] virtual std::size_t job_count() const = 0;
    /// Number of tasks of the open jobs.
    [[nodiscard]] virtual std::size_t task_count() const = 0;
    /// Number of submissions that have not been answered.
    [[nodiscard]] virtual std::size_t waiting_callers() const = 0;

    [[nodiscard]] virtual dispatch::control_snapshot_store const& control() const = 0;
    /// Takes a snapshot read from the platform if it is newer than the current one. Agents ask for
    /// it once they have its offset from a heartbeat; other entries get it from agents or in a
    /// hello.
    virtual void offer_snapshot(dispatch::control_snapshot snapshot) = 0;
    /// Adds an entry found in the platform's records; its address is sent to all agents, which
    /// connect to it.
    virtual void add_entry(dispatch::entry_address const& entry) = 0;
    /// Number of agents that accept runs now.
    [[nodiscard]] virtual std::size_t accepting_agents() const = 0;
    /// Whether jobs can be accepted: there is a configuration, and at least one agent accepts runs.
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

    /// Address (IP:PORT) on which links of agents and other entries are accepted.
    builder& listen(std::string value)
    {
        this->link_address = std::move(value);
        return *this;
    }

    /// Link addresses (IP:PORT) of entries that get a hello from this one when it starts.
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

    /// Bounds for the callers that wait for jobs with long time budgets; none by default.
    builder& caller_bounds(std::vector<dispatch::caller_bound> value)
    {
        this->bounds_of_callers = std::move(value);
        return *this;
    }

    builder& link_limits(net::link_limits value)
    {
        this->limits_of_links = std::move(value);
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
    std::vector<dispatch::caller_bound> bounds_of_callers;
    net::link_limits limits_of_links;
};

} // namespace filbertroad::node

#endif

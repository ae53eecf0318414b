#ifndef FILBERTROAD_SERVER_AGENT_PROCESS_HPP
#define FILBERTROAD_SERVER_AGENT_PROCESS_HPP

/// The agent process: connects the agent core with its links, the HTTP API for its target and the
/// HTTP client of the target, on one thread. The decisions are made in the agent core.
///
///     auto agent = agent_process::builder().settings(settings).build(clock, log, spans);
///     auto const reason = agent.run();      // until SIGTERM or SIGINT

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/server/peer_limits.hpp"
#include "filbertroad/settings/settings.hpp"
#include "filbertroad/telemetry/event_log.hpp"
#include "filbertroad/telemetry/span_writer.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace filbertroad::server
{

enum class agent_exit_reason
{
    /// Graceful shutdown: no task was running any more and every result was acknowledged.
    drained,
    /// Graceful shutdown that was not complete after the drain timeout.
    drain_timed_out,
    /// The address could not be bound.
    failed,
};

struct agent_process_options
{
    std::string name;
    std::string zone;
    /// Address (IP:PORT) of the HTTP API to which the target announces itself.
    std::string listen;
    /// Link addresses (IP:PORT) of the entries to try first.
    std::vector<std::string> entries;
    /// Time for which a shutdown waits for running tasks and for acknowledgements of results.
    std::chrono::milliseconds drain_timeout{60'000};
    execution::agent_options core{};
    /// What peers can make the process hold; the handler of `limits` is set by the process.
    agent_limits limits = make_agent_limits({}, {});
};

class agent_process
{
public:
    class builder;

    agent_process(agent_process&&) noexcept;
    agent_process& operator=(agent_process&&) noexcept;
    ~agent_process();

    /// Binds the address of the HTTP API. Returns false, and writes an event, if that fails.
    [[nodiscard]] bool open();
    /// Port of the HTTP API; call after open().
    [[nodiscard]] std::uint16_t port() const;
    /// Runs the process and blocks until it has ended. Calls open() if that was not done before.
    [[nodiscard]] agent_exit_reason run();
    /// Begins a graceful shutdown, as SIGTERM does. Thread-safe.
    void request_stop();

private:
    class implementation;
    explicit agent_process(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl;
};

class agent_process::builder
{
public:
    /// Takes all options from the agent's settings.
    builder& settings(settings::agent_settings const& value);
    builder& options(agent_process_options value);
    /// The clock, log and span writer must outlive the process.
    [[nodiscard]] agent_process build(base::clock const& clock, telemetry::event_log& log,
                                      telemetry::span_writer& spans) const;

private:
    agent_process_options process_options;
};

} // namespace filbertroad::server

#endif

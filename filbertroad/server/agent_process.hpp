#ifndef FILBERTROAD_SERVER_AGENT_PROCESS_HPP
#define FILBERTROAD_SERVER_AGENT_PROCESS_HPP

/// The agent process: joins the agent core with its links, the HTTP door for its target and the
/// HTTP client to the target, on one thread. It takes no decision of its own.
///
///     auto agent = agent_process::builder().settings(settings).build(clock, log, spans);
///     auto const end = agent.run();      // until SIGTERM or SIGINT

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
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
    /// A planned stop: nothing ran any more and every answer was acknowledged.
    drained,
    /// A planned stop that waited for the whole drain time.
    drain_timed_out,
    /// The address could not be bound.
    failed,
};

struct agent_process_options
{
    std::string name;
    std::string zone;
    /// IP:PORT at which the target announces itself.
    std::string listen;
    /// Link addresses of entries to call first.
    std::vector<std::string> entries;
    /// Time that a planned stop may wait for running tasks and acknowledgements.
    std::chrono::milliseconds drain_timeout{60'000};
    execution::agent_options core{};
};

class agent_process
{
public:
    class builder;

    agent_process(agent_process&&) noexcept;
    agent_process& operator=(agent_process&&) noexcept;
    ~agent_process();

    /// Binds the address. Returns false, and writes an event, if that fails.
    [[nodiscard]] bool open();
    /// Port of the door, after open().
    [[nodiscard]] std::uint16_t port() const;
    /// Runs the process; returns when it has ended. Opens first if open() was not called.
    [[nodiscard]] agent_exit_reason run();
    /// Begins the planned stop that a signal begins; may be called from any thread.
    void request_stop();

private:
    class implementation;
    explicit agent_process(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl;
};

/// Builds an agent process.
class agent_process::builder
{
public:
    /// Takes all options from the settings of the role.
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

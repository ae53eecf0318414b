#include "filbertroad/standin/commands.hpp"
#include "filbertroad/standin/target_service.hpp"

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <tclap/CmdLine.h>
#include <utility>

namespace filbertroad::standin
{
namespace
{

/// Time between the end of the last task and the exit of the process, in which the response is
/// written. Hanging tasks never get a response.
constexpr std::chrono::milliseconds response_flush_time{500};

/// Adds `port_offset` to the port of `address`. Port 0 is kept. Empty if `address` is not IP:PORT
/// or the sum exceeds 65535.
std::optional<std::string> with_port_offset(std::string const& address, std::uint32_t port_offset)
{
    auto const colon = address.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos ||
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port).ptr !=
            address.data() + address.size())
    {
        return std::nullopt;
    }
    auto const offset_port = port == 0 ? 0 : port + port_offset;
    return offset_port > 65535
               ? std::nullopt
               : std::optional(address.substr(0, colon + 1) + std::to_string(offset_port));
}

/// One target of this process and its HTTP server.
struct hosted_target
{
    std::unique_ptr<target_service> service;
    std::unique_ptr<net::http_server> server;
};

/// Runs the targets of this process. After SIGTERM or SIGINT each target leaves its agent, and
/// run() returns when all have drained.
class target_host
{
public:
    explicit target_host(std::string const& journal) : journal(journal), stop_timer(this->io) {}

    /// Starts a target; prints the error and returns false if that fails.
    bool add(target_options options, target_settings settings)
    {
        if (!this->journal.is_open())
        {
            std::cerr << "cannot open the start journal\n";
            return false;
        }
        auto const address = options.address;
        hosted_target target;
        target.service = std::make_unique<target_service>(this->io, this->clock, std::move(options),
                                                          settings, this->journal);
        auto server = net::http_server::listen(this->io, address, {}, target.service->handler());
        if (!server)
        {
            std::cerr << server.error().detail << '\n';
            return false;
        }
        target.server = std::move(server.value());
        auto const port = std::to_string(target.server->port());
        target.service->set_address(address.substr(0, address.rfind(':') + 1) + port);
        std::cout << "target on port " << port << std::endl;
        this->targets.push_back(std::move(target));
        return true;
    }

    void run()
    {
        for (auto const& target : this->targets)
        {
            target.service->announce();
        }
        boost::asio::signal_set signals(this->io, SIGTERM, SIGINT);
        signals.async_wait([this](boost::system::error_code, int) { this->leave(); });
        this->io.run();
    }

private:
    void leave()
    {
        for (auto const& target : this->targets)
        {
            target.service->leave(
                [this, &target]
                {
                    target.server->stop();
                    if (++this->drained_targets == this->targets.size())
                    {
                        this->stop_timer.expires_after(response_flush_time);
                        this->stop_timer.async_wait([this](boost::system::error_code)
                                                    { this->io.stop(); });
                    }
                });
        }
    }

    base::machine_clock clock;
    boost::asio::io_context io{1};
    start_journal journal;
    boost::asio::steady_timer stop_timer;
    std::vector<hosted_target> targets;
    std::size_t drained_targets = 0;
};

} // namespace

int run_target(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Stand-in target. Runs each task for the time that its payload requests "
                        "(run_ms=N). Before each start it writes a line UNIX_MS KEY INDEX TARGET "
                        "to its journal. POST /control changes slowness, fail_all, drop_answers, "
                        "late_answers_ms, wrong_key, cut_body, refuse_all, hang and "
                        "announced_slots at run time.",
                        ' ', "0.1");
    TCLAP::ValueArg<std::string> name("", "name", "Name of the target", true, "", "N", line);
    TCLAP::ValueArg<std::string> service("", "service", "Service of the target", true, "", "S",
                                         line);
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve", true, "", "IP:PORT",
                                        line);
    TCLAP::ValueArg<std::string> agent("", "agent", "Address of the agent", true, "", "IP:PORT",
                                       line);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "Maximum concurrent tasks (8)", false, 8, "N",
                                         line);
    TCLAP::ValueArg<std::string> journal("", "journal", "Journal file of task starts", true, "",
                                         "FILE", line);
    TCLAP::ValueArg<std::uint32_t> run_ms(
        "", "run-ms", "Mean run time of tasks without run_ms in the payload, ms (100)", false, 100,
        "MEAN", line);
    TCLAP::ValueArg<double> slowness("", "slowness", "Multiplier for run times (1)", false, 1, "X",
                                     line);
    TCLAP::MultiArg<std::string> labels("", "label", "Label of the target; repeatable", false,
                                        "LABEL", line);
    TCLAP::ValueArg<std::uint32_t> count(
        "", "targets",
        "Number of targets in this process, named NAME-0, NAME-1 and so on, "
        "with consecutive ports of targets and agents (1)",
        false, 1, "N", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed of run times (1)", false, 1, "S",
                                        line);
    line.parse(arguments);

    target_host host(journal.getValue());
    for (std::uint32_t i = 0; i < count.getValue(); ++i)
    {
        auto const address = with_port_offset(listen.getValue(), i);
        auto const agent_address = with_port_offset(agent.getValue(), i);
        if (!address || !agent_address)
        {
            std::cerr << "--listen, --agent: expected IP:PORT with ports up to 65535\n";
            return exit_usage;
        }
        auto const suffix = count.getValue() > 1 ? "-" + std::to_string(i) : std::string();
        if (!host.add({.name = name.getValue() + suffix,
                       .service = service.getValue(),
                       .address = *address,
                       .agent = *agent_address,
                       .labels = labels.getValue(),
                       .slots = slots.getValue(),
                       .mean_run_time = std::chrono::milliseconds(run_ms.getValue()),
                       .seed = seed.getValue() + i},
                      {.slowness = slowness.getValue()}))
        {
            return 1;
        }
    }
    host.run();
    return 0;
}

} // namespace filbertroad::standin

#include "filbertroad/standin/commands.hpp"
#include "filbertroad/standin/log_service.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace filbertroad::standin
{

int run_log(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("In-memory stand-in for the platform's log service. POST /control changes "
                        "latency_ms, slow (latency multiplier), append_rate, retention_s, "
                        "outage and lose_answers at run time.",
                        ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve", true, "", "IP:PORT",
                                        line);
    TCLAP::ValueArg<double> latency("", "latency-ms", "Latency of each response, ms (0)", false, 0,
                                    "N", line);
    TCLAP::ValueArg<double> rate("", "rate", "Maximum appends per second; 0 means no limit (0)",
                                 false, 0, "N", line);
    TCLAP::ValueArg<double> retention("", "retention-s", "Retention time of records, s (3600)",
                                      false, 3600, "N", line);
    line.parse(arguments);

    boost::asio::io_context io(1);
    base::machine_clock const clock;
    log_service service(io, clock,
                        {.latency_ms = latency.getValue(),
                         .append_rate = rate.getValue(),
                         .retention_s = retention.getValue()});
    auto const server =
        net::http_server::listen(io, listen.getValue(), net::http_limits{}, service.handler());
    if (!server)
    {
        std::cerr << server.error().detail << '\n';
        return 1;
    }
    std::cout << "log service on port " << server.value()->port() << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace filbertroad::standin

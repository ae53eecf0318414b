#ifndef FILBERTROAD_STANDIN_LOG_SERVICE_HPP
#define FILBERTROAD_STANDIN_LOG_SERVICE_HPP

/// Stand-in for the platform's log service over HTTP, with fault injection for tests.
///
///     standin::log_service service(io, clock, settings);
///     auto server = net::http_server::listen(io, address, {}, service.handler());
///
/// `POST /control` changes the log_settings, `GET /control` returns them.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/standin/memory_log.hpp"
#include "filbertroad/standin/rate_limiter.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <string>

namespace filbertroad::standin
{

struct log_settings
{
    /// Latency of each response, in milliseconds.
    double latency_ms = 0;
    /// Latency multiplier. Above 1, the base latency is at least 1 ms; values up to 1 have no
    /// effect.
    double slow = 1;
    /// Accepted appends per second; 0 means no limit. Appends over the limit get a 429.
    double append_rate = 0;
    double retention_s = 3600;
    /// Every request except /control gets a 503 and has no effect.
    bool outage = false;
    /// Appends take effect, but their connection is closed without a response.
    bool lose_answers = false;
};

/// Serves append and read requests. Not thread-safe: `io` must run on one thread and outlive the
/// service.
class log_service
{
public:
    log_service(boost::asio::io_context& io, base::clock const& clock, log_settings settings);

    /// Handler for the HTTP server. The service must outlive the handler.
    [[nodiscard]] net::http_handler handler();

private:
    /// A long-polling read that waits for the first record from offset `from` on.
    struct pending_read
    {
        std::uint64_t number;
        std::string stream;
        std::uint64_t from;
        std::size_t limit;
        net::http_responder respond;
    };

    void handle(net::http_request const& request, net::http_responder const& respond);
    void handle_control(net::http_request const& request, net::http_responder const& respond);
    void handle_append(std::string const& stream, net::http_request const& request,
                       net::http_responder const& respond);
    void handle_read(std::string const& stream, net::http_request const& request,
                     net::http_responder const& respond);
    void complete_ready_reads(std::string const& stream);
    void complete_read(std::uint64_t number);
    [[nodiscard]] net::http_response page_response(pending_read const& read);
    [[nodiscard]] std::chrono::nanoseconds latency() const;
    void apply_settings();

    boost::asio::io_context& io;
    base::clock const& clock;
    log_settings settings;
    memory_log log;
    rate_limiter limiter;
    std::list<pending_read> pending_reads;
    std::uint64_t last_read_number = 0;
};

} // namespace filbertroad::standin

#endif

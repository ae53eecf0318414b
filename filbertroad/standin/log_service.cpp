#include "filbertroad/standin/log_service.hpp"

#include "filbertroad/net/base64.hpp"
#include "filbertroad/standin/control_body.hpp"
#include "filbertroad/standin/internal/delay.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>
#include <vector>

namespace filbertroad::standin
{
namespace json = boost::json;

namespace
{

constexpr std::size_t max_page_records = 10'000;
constexpr std::uint64_t max_wait_ms = 60'000;

std::chrono::milliseconds seconds_to_ms(double seconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::min(seconds, 1e9)));
}

/// Value of a query parameter: `fallback` if absent, empty if not a whole number.
std::optional<std::uint64_t> number_parameter(net::http_request const& request,
                                              std::string_view name, std::uint64_t fallback)
{
    auto const text = request.query_value(name);
    if (text.empty())
    {
        return fallback;
    }
    std::uint64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

/// Stream name in the path `/v1/streams/{stream}/records`; empty for other paths.
std::string parse_stream_name(std::string_view path)
{
    constexpr std::string_view prefix = "/v1/streams/";
    constexpr std::string_view suffix = "/records";
    if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
        path.size() <= prefix.size() + suffix.size())
    {
        return {};
    }
    auto const name = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    return name.find('/') == std::string_view::npos ? std::string(name) : std::string();
}

std::vector<control_field> control_fields(log_settings& settings)
{
    return {{"latency_ms", &settings.latency_ms},   {"slow", &settings.slow},
            {"append_rate", &settings.append_rate}, {"retention_s", &settings.retention_s},
            {"outage", &settings.outage},           {"lose_answers", &settings.lose_answers}};
}

net::http_response outage_response()
{
    return error_response(503, "outage", "the log service is unavailable");
}

} // namespace

log_service::log_service(boost::asio::io_context& io, base::clock const& clock,
                         log_settings settings)
    : io(io), clock(clock), settings(settings), log(seconds_to_ms(settings.retention_s)),
      limiter(settings.append_rate, clock.steady_now())
{
}

net::http_handler log_service::handler()
{
    return [this](net::http_request request, net::http_responder respond)
    {
        if (request.path == "/control")
        {
            this->handle_control(request, respond);
        }
        else
        {
            this->handle(request, respond);
        }
    };
}

void log_service::handle_control(net::http_request const& request,
                                 net::http_responder const& respond)
{
    if (request.method == "POST")
    {
        auto changed = this->settings;
        if (auto const error = apply_control(request.body, control_fields(changed)))
        {
            respond(error_response(400, "bad_control", *error));
            return;
        }
        this->settings = changed;
        this->apply_settings();
    }
    respond({.body = control_json(control_fields(this->settings))});
}

void log_service::apply_settings()
{
    this->log.set_retention(seconds_to_ms(this->settings.retention_s));
    this->limiter.set_rate(this->settings.append_rate, this->clock.steady_now());
    while (this->settings.outage && !this->pending_reads.empty())
    {
        this->complete_read(this->pending_reads.front().number);
    }
}

std::chrono::nanoseconds log_service::latency() const
{
    auto milliseconds = this->settings.latency_ms;
    if (this->settings.slow > 1)
    {
        milliseconds = std::max(1.0, milliseconds) * this->settings.slow;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, std::milli>(std::min(milliseconds, 1e9)));
}

void log_service::handle(net::http_request const& request, net::http_responder const& respond)
{
    auto const stream = parse_stream_name(request.path);
    if (this->settings.outage)
    {
        respond(outage_response());
    }
    else if (stream.empty())
    {
        respond(
            error_response(404, "not_found", "expected /v1/streams/STREAM/records or /control"));
    }
    else if (request.method == "POST")
    {
        this->handle_append(stream, request, respond);
    }
    else if (request.method == "GET")
    {
        this->handle_read(stream, request, respond);
    }
    else
    {
        respond(error_response(405, "bad_method", "expected POST or GET"));
    }
}

void log_service::handle_append(std::string const& stream, net::http_request const& request,
                                net::http_responder const& respond)
{
    auto const now = this->clock.steady_now();
    if (!this->limiter.try_take(now))
    {
        respond(error_response(429, "rate_limited", "append rate limit exceeded"));
        return;
    }
    auto const offset = this->log.append(stream, request.body, now);
    // The record is readable before the response to its append is sent, as it is at a log service
    // whose acknowledgement is slow.
    this->complete_ready_reads(stream);
    bool const drops_response = this->settings.lose_answers;
    internal::call_after(this->io, this->latency(),
                         [respond, offset, drops_response]
                         {
                             respond({.body = json::serialize(json::object{{"offset", offset}}),
                                      .fault = drops_response ? net::injected_fault::no_response
                                                              : net::injected_fault::none});
                         });
}

void log_service::handle_read(std::string const& stream, net::http_request const& request,
                              net::http_responder const& respond)
{
    auto const from = number_parameter(request, "from", 1);
    auto const limit = number_parameter(request, "limit", 1'000);
    auto const wait = number_parameter(request, "wait_ms", 0);
    if (!from || !limit || !wait)
    {
        respond(error_response(400, "bad_query", "from, limit, wait_ms: expected whole numbers"));
        return;
    }
    pending_read read{.number = ++this->last_read_number,
                      .stream = stream,
                      .from = *from,
                      .limit = std::clamp<std::size_t>(*limit, 1, max_page_records),
                      .respond = respond};
    std::chrono::milliseconds const max_wait(std::min(*wait, max_wait_ms));
    internal::call_after(this->io, this->latency(),
                         [this, read = std::move(read), max_wait]
                         {
                             this->pending_reads.push_back(read);
                             this->complete_ready_reads(read.stream);
                             internal::call_after(this->io, max_wait,
                                                  [this, number = read.number]
                                                  { this->complete_read(number); });
                         });
}

void log_service::complete_ready_reads(std::string const& stream)
{
    auto const next = this->log.read(stream, UINT64_MAX, 1, this->clock.steady_now()).next;
    std::erase_if(this->pending_reads,
                  [&](pending_read const& read)
                  {
                      bool const is_ready = read.stream == stream && read.from < next;
                      if (is_ready)
                      {
                          read.respond(this->page_response(read));
                      }
                      return is_ready;
                  });
}

void log_service::complete_read(std::uint64_t number)
{
    std::erase_if(this->pending_reads,
                  [&](pending_read const& read)
                  {
                      if (read.number == number)
                      {
                          read.respond(this->page_response(read));
                      }
                      return read.number == number;
                  });
}

net::http_response log_service::page_response(pending_read const& read)
{
    if (this->settings.outage)
    {
        return outage_response();
    }
    auto const page = this->log.read(read.stream, read.from, read.limit, this->clock.steady_now());
    json::array records;
    for (auto const& record : page.records)
    {
        records.emplace_back(
            json::object{{"offset", record.offset}, {"data", net::encode_base64(record.data)}});
    }
    return {.body = json::serialize(json::object{
                {"first", page.first}, {"next", page.next}, {"records", std::move(records)}})};
}

} // namespace filbertroad::standin

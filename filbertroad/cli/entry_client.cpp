#include "filbertroad/cli/entry_client.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <optional>
#include <thread>

namespace filbertroad::cli
{
namespace
{

bool is_transient(unsigned status)
{
    return status == 429 || status == 503;
}

std::chrono::milliseconds retry_after(net::http_response const& response)
{
    boost::json::error_code code;
    auto const body = boost::json::parse(response.body, code);
    auto const* const value =
        !code && body.is_object() ? body.get_object().if_contains("retry_after_ms") : nullptr;
    auto const* const number = value == nullptr ? nullptr : value->if_int64();
    auto const requested =
        number == nullptr ? entry_client::round_backoff : std::chrono::milliseconds(*number);
    return std::clamp(requested, std::chrono::milliseconds(0), entry_client::max_retry_after);
}

} // namespace

client_transport socket_transport(base::clock const& clock)
{
    return {.send = [](std::string const& address, net::http_request const& request,
                       std::chrono::milliseconds timeout)
            { return net::send_and_wait(address, request, timeout); },
            .sleep = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); },
            .clock = &clock};
}

entry_client::entry_client(std::vector<std::string> entries, std::string token,
                           client_transport transport)
    : entries(std::move(entries)), token(std::move(token)), transport(std::move(transport))
{
}

base::result<net::http_response, base::error<client_error>>
entry_client::send(net::http_request request, std::chrono::milliseconds timeout,
                   std::chrono::milliseconds total_timeout)
{
    request.headers.push_back({"Authorization", "Bearer " + this->token});
    auto const deadline = this->transport.clock->steady_now() + total_timeout;
    std::optional<net::http_response> last_response;
    std::string last_failure;
    for (std::size_t attempt = 1;; ++attempt)
    {
        auto result = this->transport.send(this->entries[this->current], request, timeout);
        if (result && !is_transient(result.value().status))
        {
            return std::move(result).value();
        }
        auto backoff = std::chrono::milliseconds(0);
        if (result)
        {
            last_response = std::move(result).value();
            backoff = retry_after(*last_response);
        }
        else
        {
            last_failure = this->entries[this->current] + ": " + result.error().error.detail;
            backoff = attempt % this->entries.size() == 0 ? round_backoff : backoff;
        }
        this->current = (this->current + 1) % this->entries.size();
        // Without any response, each entry is tried at least once before the client gives up.
        bool const may_end = last_response || attempt >= this->entries.size();
        if (may_end && this->transport.clock->steady_now() + backoff >= deadline)
        {
            break;
        }
        this->transport.sleep(backoff);
    }
    if (last_response)
    {
        return std::move(*last_response);
    }
    return base::error<client_error>{client_error::no_entry_responded,
                                     "no entry responded; last error: " + last_failure};
}

} // namespace filbertroad::cli

#include "filbertroad/net/log_client.hpp"

#include "filbertroad/net/internal/log_responses.hpp"

#include <utility>

namespace filbertroad::net
{
namespace
{

/// One connection for a long-polling read, the others for appends.
constexpr std::size_t max_connections = 4;

/// Page size of a read.
constexpr std::uint64_t max_records_per_read = 1'000;

} // namespace

http_log_client::http_log_client(boost::asio::io_context& io, std::string_view address,
                                 std::string stream)
    : client(io, address, max_connections), path("/v1/streams/" + std::move(stream) + "/records")
{
}

void http_log_client::append(std::string record, std::function<void(append_result)> handler)
{
    this->client.send({.method = "POST",
                       .path = this->path,
                       .headers = {{"content-type", "application/octet-stream"}},
                       .body = std::move(record)},
                      request_timeout,
                      [handler = std::move(handler)](http_result const& response)
                      { handler(internal::parse_append_response(response)); });
}

void http_log_client::read(std::uint64_t from, std::chrono::milliseconds wait,
                           std::function<void(read_result)> handler)
{
    auto query = "from=" + std::to_string(from) + "&limit=" + std::to_string(max_records_per_read) +
                 "&wait_ms=" + std::to_string(wait.count());
    this->client.send({.method = "GET", .path = this->path, .query = std::move(query)},
                      request_timeout + wait,
                      [from, handler = std::move(handler)](http_result const& response)
                      { handler(internal::parse_read_response(response, from)); });
}

} // namespace filbertroad::net

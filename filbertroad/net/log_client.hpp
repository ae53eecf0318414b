#ifndef FILBERTROAD_NET_LOG_CLIENT_HPP
#define FILBERTROAD_NET_LOG_CLIENT_HPP

/// Client of the platform's append-only log service: the interface and its implementation over
/// HTTP.
///
///     net::http_log_client log(io, "127.0.0.1:7000", "control");
///     log.append(bytes, [](net::append_result result) { ... });
///     log.read(next_offset, std::chrono::milliseconds(500), [](net::read_result result) { ... });
///
/// HTTP API: `POST /v1/streams/{stream}/records` with the record as body returns `{"offset":N}`.
/// `GET /v1/streams/{stream}/records?from=N&limit=L&wait_ms=W` returns 200 with
/// `{"first":F,"next":M,"records":[{"offset":N,"data":"BASE64"}]}`, where `first` is the oldest
/// retained offset and `next` the offset of the next append. Offsets start at 1.

#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace filbertroad::net
{

enum class log_error
{
    /// No response, or a server error. The append may have taken effect.
    unavailable,
    /// The log rejected the append because of its rate limit. The append did not take effect.
    rate_limited,
    invalid_response,
};

struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
};

struct log_page
{
    /// Oldest offset that the log retains; greater than the requested offset if records expired.
    std::uint64_t first = 0;
    /// Offset of the next append.
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

using append_result = base::result<std::uint64_t, base::error<log_error>>;
using read_result = base::result<log_page, base::error<log_error>>;

/// Appends to and reads from one stream. Handlers are called on the io_context's threads.
class log_client
{
public:
    virtual ~log_client() = default;
    /// Appends one record. The result is its offset.
    virtual void append(std::string record, std::function<void(append_result)> handler) = 0;
    /// Reads records from offset `from` on. If there are none, waits up to `wait` for the first
    /// one.
    virtual void read(std::uint64_t from, std::chrono::milliseconds wait,
                      std::function<void(read_result)> handler) = 0;
};

class http_log_client final : public log_client
{
public:
    /// Time limit of a request; a read gets its `wait` in addition.
    static constexpr std::chrono::milliseconds request_timeout{1000};

    http_log_client(boost::asio::io_context& io, std::string_view address, std::string stream);

    void append(std::string record, std::function<void(append_result)> handler) override;
    void read(std::uint64_t from, std::chrono::milliseconds wait,
              std::function<void(read_result)> handler) override;

private:
    http_client client;
    std::string path;
};

} // namespace filbertroad::net

#endif

#ifndef FILBERTROAD_NET_LOG_CLIENT_HPP
#define FILBERTROAD_NET_LOG_CLIENT_HPP

/// The platform's append-only log service, as an interface and as an HTTP adapter.
///
///     net::http_log_client log(io, "127.0.0.1:7000", "control");
///     log.append(bytes, [](net::append_result result) { ... });
///     log.read(next_offset, std::chrono::milliseconds(500), [](net::read_result result) { ... });
///
/// HTTP form: `POST /v1/streams/{stream}/records` with the record as body answers
/// `{"offset":N}`; `GET /v1/streams/{stream}/records?from=N&limit=L&wait_ms=W` answers 200 with
/// `{"first":F,"next":M,"records":[{"offset":N,"data":"BASE64"}]}`, where `first` is the oldest
/// kept offset and `next` the offset that the next append gets. Offsets start at 1.

#include "filbertroad/net/http.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace filbertroad::net
{

enum class log_error
{
    /// No answer or a server error: the append may have taken effect.
    unavailable,
    /// The log refused the append because of its rate; it did not take effect.
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
    /// Oldest offset that the log still keeps; greater than the asked one if records expired.
    std::uint64_t first = 0;
    /// Offset that the next append gets.
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

using append_result = base::result<std::uint64_t, base::error<log_error>>;
using read_result = base::result<log_page, base::error<log_error>>;

/// Handlers are called from the io_context's threads.
class log_client
{
public:
    virtual ~log_client() = default;
    /// Appends one record and tells its offset.
    virtual void append(std::string record, std::function<void(append_result)> handler) = 0;
    /// Reads records from `from` on. Waits up to `wait` for a first one.
    virtual void read(std::uint64_t from, std::chrono::milliseconds wait,
                      std::function<void(read_result)> handler) = 0;
};

class http_log_client final : public log_client
{
public:
    /// Time without an answer after which a request counts as failed, besides the wait of a read.
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

#ifndef FILBERTROAD_STANDIN_MEMORY_LOG_HPP
#define FILBERTROAD_STANDIN_MEMORY_LOG_HPP

/// Append-only streams in memory with a retention time.
///
///     standin::memory_log log(std::chrono::hours(1));
///     auto offset = log.append("control", bytes, clock.steady_now());
///     auto page = log.read("control", 1, 1000, clock.steady_now());

#include "filbertroad/base/clock.hpp"
#include "filbertroad/net/log_client.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace filbertroad::standin
{

/// Not safe for several threads.
class memory_log
{
public:
    /// Bytes of records that one stream keeps; older records expire beyond it.
    static constexpr std::size_t max_stream_bytes = 512UL * 1024 * 1024;

    /// Bytes of records after which a page ends.
    static constexpr std::size_t max_page_bytes = 8UL * 1024 * 1024;

    explicit memory_log(std::chrono::milliseconds retention) : retention(retention) {}

    /// Appends a record and returns its offset. Offsets start at 1.
    std::uint64_t append(std::string_view stream, std::string record, base::steady_time now);

    /// Up to `limit` records from `from` on; the first record of a page may exceed max_page_bytes.
    net::log_page read(std::string_view stream, std::uint64_t from, std::size_t limit,
                       base::steady_time now);

    void set_retention(std::chrono::milliseconds value) { this->retention = value; }

private:
    struct stored_record
    {
        base::steady_time appended;
        std::string data;
    };

    struct stream_state
    {
        std::uint64_t first = 1;
        std::size_t bytes = 0;
        std::deque<stored_record> records;
    };

    stream_state& find_unexpired(std::string_view stream, base::steady_time now);

    std::chrono::milliseconds retention;
    std::map<std::string, stream_state, std::less<>> streams;
};

} // namespace filbertroad::standin

#endif

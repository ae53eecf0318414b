#ifndef FILBERTROAD_STANDIN_MEMORY_LOG_HPP
#define FILBERTROAD_STANDIN_MEMORY_LOG_HPP

/// In-memory append-only streams with a retention time.
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

/// Set of append-only streams; a stream exists from its first use on. Not thread-safe.
class memory_log
{
public:
    /// Maximum bytes of records that one stream retains. Above it the oldest records expire.
    static constexpr std::size_t max_stream_bytes = 512UL * 1024 * 1024;

    /// Maximum bytes of records in one page, except for a page of a single larger record.
    static constexpr std::size_t max_page_bytes = 8UL * 1024 * 1024;

    explicit memory_log(std::chrono::milliseconds retention) : retention(retention) {}

    /// Appends a record and returns its offset. Offsets start at 1 and are never reused.
    std::uint64_t append(std::string_view stream, std::string record, base::steady_time now);

    /// Returns up to `limit` records from offset `from` on. The first record of a page may exceed
    /// max_page_bytes.
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

    /// Finds or creates a stream and drops its expired records.
    stream_state& find_unexpired(std::string_view stream, base::steady_time now);

    std::chrono::milliseconds retention;
    std::map<std::string, stream_state, std::less<>> streams;
};

} // namespace filbertroad::standin

#endif

#include "filbertroad/standin/memory_log.hpp"

#include <algorithm>

namespace filbertroad::standin
{

memory_log::stream_state& memory_log::find_unexpired(std::string_view stream, base::steady_time now)
{
    auto found = this->streams.find(stream);
    if (found == this->streams.end())
    {
        found = this->streams.emplace(stream, stream_state{}).first;
    }
    auto& content = found->second;
    while (!content.records.empty() && (now - content.records.front().appended >= this->retention ||
                                        content.bytes > max_stream_bytes))
    {
        content.bytes -= content.records.front().data.size();
        content.records.pop_front();
        ++content.first;
    }
    return content;
}

std::uint64_t memory_log::append(std::string_view stream, std::string record, base::steady_time now)
{
    auto& content = this->find_unexpired(stream, now);
    content.bytes += record.size();
    content.records.push_back({.appended = now, .data = std::move(record)});
    return content.first + content.records.size() - 1;
}

net::log_page memory_log::read(std::string_view stream, std::uint64_t from, std::size_t limit,
                               base::steady_time now)
{
    auto const& content = this->find_unexpired(stream, now);
    net::log_page page{
        .first = content.first, .next = content.first + content.records.size(), .records = {}};
    std::size_t bytes = 0;
    for (auto offset = std::max(from, page.first); offset < page.next; ++offset)
    {
        auto const& data = content.records[offset - page.first].data;
        bytes += data.size();
        if (page.records.size() == limit || (bytes > max_page_bytes && !page.records.empty()))
        {
            break;
        }
        page.records.push_back({.offset = offset, .data = data});
    }
    return page;
}

} // namespace filbertroad::standin

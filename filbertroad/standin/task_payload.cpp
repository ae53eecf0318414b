#include "filbertroad/standin/task_payload.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace filbertroad::standin
{

payload_wish parse_payload(std::string_view payload)
{
    constexpr std::string_view name = "run_ms=";
    payload_wish wish{.run_time = std::nullopt,
                      .fails = payload.find("fail") != std::string_view::npos};
    auto const at = payload.find(name);
    if (at == std::string_view::npos)
    {
        return wish;
    }
    auto const digits = payload.substr(at + name.size());
    std::uint64_t value = 0;
    auto const [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (fault == std::errc::result_out_of_range)
    {
        wish.run_time = max_run_time;
    }
    else if (fault == std::errc())
    {
        auto const bounded = std::min(value, static_cast<std::uint64_t>(max_run_time.count()));
        wish.run_time = std::chrono::milliseconds(bounded);
    }
    return wish;
}

} // namespace filbertroad::standin

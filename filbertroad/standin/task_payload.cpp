#include "filbertroad/standin/task_payload.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace filbertroad::standin
{

payload_directives parse_payload(std::string_view payload)
{
    constexpr std::string_view name = "run_ms=";
    payload_directives directives{.run_time = std::nullopt,
                                  .fails = payload.find("fail") != std::string_view::npos};
    auto const at = payload.find(name);
    if (at == std::string_view::npos)
    {
        return directives;
    }
    auto const digits = payload.substr(at + name.size());
    std::uint64_t value = 0;
    auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error == std::errc::result_out_of_range)
    {
        directives.run_time = max_run_time;
    }
    else if (error == std::errc())
    {
        auto const bounded = std::min(value, static_cast<std::uint64_t>(max_run_time.count()));
        directives.run_time = std::chrono::milliseconds(bounded);
    }
    return directives;
}

} // namespace filbertroad::standin

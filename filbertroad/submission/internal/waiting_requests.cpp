#include "filbertroad/submission/internal/waiting_requests.hpp"

namespace filbertroad::submission::internal
{

void waiting_requests::add(std::uint64_t number, waiting_request request)
{
    this->by_time.emplace(request.deadline, number);
    this->requests.insert_or_assign(number, std::move(request));
}

std::optional<waiting_request> waiting_requests::take(std::uint64_t number)
{
    auto const found = this->requests.find(number);
    if (found == this->requests.end())
    {
        return std::nullopt;
    }
    auto taken = std::move(found->second);
    this->requests.erase(found);
    this->by_time.erase({taken.deadline, number});
    return taken;
}

std::optional<std::uint64_t> waiting_requests::timed_out(base::steady_time now) const
{
    if (this->by_time.empty() || this->by_time.begin()->first > now)
    {
        return std::nullopt;
    }
    return this->by_time.begin()->second;
}

} // namespace filbertroad::submission::internal

#ifndef FILBERTROAD_API_INTERNAL_FILTER_CHAIN_HPP
#define FILBERTROAD_API_INTERNAL_FILTER_CHAIN_HPP

/// A chain of checks, joined at compile time.
///
///     filter_chain chain(size_filter{...}, parse_filter{}, authenticate_filter{...});
///     if (auto refusal = chain.check(exchange)) respond(to_response(*refusal));

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/api/internal/exchange.hpp"

#include <concepts>
#include <optional>
#include <tuple>
#include <utility>

namespace filbertroad::api::internal
{

/// Checks an exchange and completes it, or says why the request is refused. check() may be called
/// from several threads.
template <class Candidate>
concept Filter = requires(Candidate& filter, exchange& request)
{
    {
        filter.check(request)
        } -> std::same_as<std::optional<api_error>>;
};

template <Filter... Filters>
class filter_chain
{
public:
    explicit filter_chain(Filters... filters) : filters(std::move(filters)...) {}

    /// Runs the filters in order up to the first refusal.
    std::optional<api_error> check(exchange& request)
    {
        std::optional<api_error> refusal;
        std::apply([&](auto&... filter)
                   { static_cast<void>(((refusal = filter.check(request)) || ...)); },
                   this->filters);
        return refusal;
    }

private:
    std::tuple<Filters...> filters;
};

} // namespace filbertroad::api::internal

#endif

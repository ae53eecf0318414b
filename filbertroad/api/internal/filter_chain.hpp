#ifndef FILBERTROAD_API_INTERNAL_FILTER_CHAIN_HPP
#define FILBERTROAD_API_INTERNAL_FILTER_CHAIN_HPP

/// A filter chain that is composed at compile time.
///
///     filter_chain chain(size_filter{...}, parse_filter{}, authenticate_filter{...});
///     if (auto error = chain.check(context)) respond(to_response(*error));

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/api/internal/request_context.hpp"

#include <concepts>
#include <optional>
#include <tuple>
#include <utility>

namespace filbertroad::api::internal
{

/// Checks a request and fills in its context, or returns the error to reject the request with.
/// check() must be thread safe.
template <class Candidate>
concept Filter = requires(Candidate& filter, request_context& context)
{
    {
        filter.check(context)
        } -> std::same_as<std::optional<api_error>>;
};

template <Filter... Filters>
class filter_chain
{
public:
    explicit filter_chain(Filters... filters) : filters(std::move(filters)...) {}

    /// Runs the filters in order and stops at the first error.
    std::optional<api_error> check(request_context& context)
    {
        std::optional<api_error> error;
        std::apply([&](auto&... filter)
                   { static_cast<void>(((error = filter.check(context)) || ...)); },
                   this->filters);
        return error;
    }

private:
    std::tuple<Filters...> filters;
};

} // namespace filbertroad::api::internal

#endif

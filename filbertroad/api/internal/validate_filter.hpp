#ifndef FILBERTROAD_API_INTERNAL_VALIDATE_FILTER_HPP
#define FILBERTROAD_API_INTERNAL_VALIDATE_FILTER_HPP

/// Parses and validates the body of a request and builds the command for the service.

#include "filbertroad/api/internal/api_error.hpp"
#include "filbertroad/api/internal/request_context.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace filbertroad::api::internal
{

class validate_filter
{
public:
    /// `id_prefix` is the prefix of the change ids that are generated when an operator gives none.
    /// For unique ids, it must differ between processes and between their incarnations.
    explicit validate_filter(std::string id_prefix)
        : id_prefix(std::move(id_prefix)), next_id(std::make_unique<std::atomic<std::uint64_t>>(1))
    {
    }
    std::optional<api_error> check(request_context& context);

private:
    std::optional<api_error> check_submit(request_context& context) const;
    std::optional<api_error> check_table(request_context& context);
    std::optional<api_error> check_service(request_context& context);
    std::string change_id_of(request_context const& context);

    std::string id_prefix;
    std::unique_ptr<std::atomic<std::uint64_t>> next_id;
};

} // namespace filbertroad::api::internal

#endif

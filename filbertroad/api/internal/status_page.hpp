#ifndef FILBERTROAD_API_INTERNAL_STATUS_PAGE_HPP
#define FILBERTROAD_API_INTERNAL_STATUS_PAGE_HPP

/// Status of the region as a single HTML page without scripts.

#include "filbertroad/api/entry_service.hpp"

#include <string>

namespace filbertroad::api::internal
{

[[nodiscard]] std::string status_page(region_status const& status);

} // namespace filbertroad::api::internal

#endif

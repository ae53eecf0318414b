#ifndef FILBERTROAD_API_INTERNAL_STATUS_PAGE_HPP
#define FILBERTROAD_API_INTERNAL_STATUS_PAGE_HPP

/// The status of the region as one HTML page without scripts.

#include "filbertroad/api/entry_service.hpp"

#include <string>

namespace filbertroad::api::internal
{

[[nodiscard]] std::string status_page(region_status const& status);

} // namespace filbertroad::api::internal

#endif

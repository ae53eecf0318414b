#include "filbertroad/dispatch/control_snapshot.hpp"

#include <utility>

namespace filbertroad::dispatch
{

std::string_view to_string(run_end end)
{
    switch (end)
    {
    case run_end::succeeded:
        return "succeeded";
    case run_end::failed:
        return "failed";
    case run_end::not_started:
        return "not_started";
    case run_end::lost:
        break;
    }
    return "lost";
}

bool control_snapshot_store::update_if_newer(control_snapshot next)
{
    if (next.offset <= this->snapshot.offset)
    {
        return false;
    }
    if (next.version < this->snapshot.version)
    {
        next.version = this->snapshot.version;
        next.routes = std::move(this->snapshot.routes);
    }
    this->snapshot = std::move(next);
    return true;
}

route const* control_snapshot_store::find_route(std::string_view host, std::string_view path) const
{
    route const* best = nullptr;
    for (auto const& candidate : this->snapshot.routes)
    {
        bool const matches = candidate.host == host && path.starts_with(candidate.path_prefix);
        if (matches && (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size()))
        {
            best = &candidate;
        }
    }
    return best;
}

} // namespace filbertroad::dispatch

#include "filbertroad/dispatch/internal/target_announcements.hpp"

#include <algorithm>

namespace filbertroad::dispatch::internal
{
namespace
{

/// Processes whose announcements are kept.
constexpr std::size_t max_processes = 8;

} // namespace

bool target_announcements::receive(target_announcement const& announcement, base::steady_time now)
{
    auto const [position, is_first] = this->processes.try_emplace(announcement.incarnation);
    auto& process = position->second;
    process.last_received = now;
    if (!is_first)
    {
        return update(process, announcement);
    }
    process.newest = announcement;
    this->drop_surplus();
    return true;
}

bool target_announcements::update(process_record& process, target_announcement const& announcement)
{
    auto& newest = process.newest;
    if (announcement.name == newest.name && announcement.sequence <= newest.sequence)
    {
        return false;
    }
    newest = announcement;
    return true;
}

void target_announcements::remove(std::string_view name)
{
    std::erase_if(this->processes,
                  [&](auto const& item) { return item.second.newest.name == name; });
}

target_announcement const* target_announcements::find(std::uint64_t incarnation) const
{
    auto const found = this->processes.find(incarnation);
    return found == this->processes.end() ? nullptr : &found->second.newest;
}

void target_announcements::drop_surplus()
{
    if (this->processes.size() > max_processes)
    {
        this->processes.erase(
            std::min_element(this->processes.begin(), this->processes.end(),
                             [](auto const& left, auto const& right)
                             { return left.second.last_received < right.second.last_received; }));
    }
}

} // namespace filbertroad::dispatch::internal

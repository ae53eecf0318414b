#include "filbertroad/dispatch/internal/target_announcements.hpp"

#include <algorithm>
#include <chrono>

namespace filbertroad::dispatch::internal
{
namespace
{

/// Processes whose announcements are kept.
constexpr std::size_t max_processes = 8;

/// Shortest time between two announcements of a live process. Delayed announcements arrive
/// together.
constexpr std::chrono::milliseconds min_announcement_interval{300};

} // namespace

bool target_announcements::receive(target_announcement const& announcement, base::steady_time now)
{
    auto const [position, is_first] = this->processes.try_emplace(announcement.incarnation);
    auto& process = position->second;
    process.last_received = now;
    if (!is_first)
    {
        return update(process, announcement, now);
    }
    process.newest = announcement;
    apply_drain(process);
    this->drop_surplus();
    return true;
}

bool target_announcements::update(process_record& process, target_announcement const& announcement,
                                  base::steady_time now)
{
    auto& newest = process.newest;
    bool const is_same_sender = announcement.name == newest.name;
    if (is_same_sender && announcement.sequence == newest.sequence)
    {
        return false;
    }
    auto const& ignored = process.ignored;
    // A live process sends higher and higher numbers, though they are lower than the newest one.
    bool const is_confirmed = ignored && announcement.name == ignored->name &&
                              announcement.sequence > ignored->sequence &&
                              now - process.ignored_at >= min_announcement_interval;
    if (is_confirmed || (is_same_sender && announcement.sequence > newest.sequence))
    {
        newest = announcement;
        process.ignored.reset();
        apply_drain(process);
        return true;
    }
    bool const is_first_ignored = !ignored || announcement.name != ignored->name ||
                                  announcement.sequence <= ignored->sequence;
    if (is_first_ignored)
    {
        process.ignored = announcement;
        process.ignored_at = now;
    }
    // A process that drains ends, so that this holds however late the announcement is.
    if (is_same_sender && announcement.draining && !newest.draining)
    {
        process.drain = announcement;
        newest.draining = true;
        return true;
    }
    return false;
}

void target_announcements::apply_drain(process_record& process)
{
    auto& newest = process.newest;
    if (newest.draining)
    {
        process.drain = newest;
    }
    else if (process.drain && process.drain->name == newest.name)
    {
        // Announcements sent before a drain may arrive long after it, as far apart as live ones.
        newest.draining = newest.sequence < process.drain->sequence;
    }
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

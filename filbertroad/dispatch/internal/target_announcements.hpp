#ifndef FILBERTROAD_DISPATCH_INTERNAL_TARGET_ANNOUNCEMENTS_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_TARGET_ANNOUNCEMENTS_HPP

/// The newest announcement of each process that was announced at an agent. An announcement may come
/// from another program, with an incarnation or a sequence number that the target never had, so
/// neither may hide later announcements of the target itself: an announcement affects only those of
/// the same incarnation, and only until two later ones contradict its sequence number. The drain of
/// a process is not ended by an announcement with a lower sequence number. Which of the processes
/// runs is known from the target's lists. Not thread-safe.
///
///     target_announcements announcements;
///     if (announcements.receive(announcement, now)) use(*announcements.find(incarnation));

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/target_announcement.hpp"

#include <map>
#include <optional>
#include <string_view>

namespace filbertroad::dispatch::internal
{

class target_announcements
{
public:
    /// Returns false if the announcement has no effect, since it was repeated or delayed.
    bool receive(target_announcement const& announcement, base::steady_time now);
    /// Removes the announcements of all processes of this name.
    void remove(std::string_view name);
    /// Newest announcement of a process; null if there is none. Valid until the next change.
    [[nodiscard]] target_announcement const* find(std::uint64_t incarnation) const;

private:
    struct process_record
    {
        target_announcement newest;
        base::steady_time last_received{};
        /// First announcement, and its arrival, of those that were ignored since `newest` because
        /// of their sequence numbers or names.
        std::optional<target_announcement> ignored;
        base::steady_time ignored_at{};
        /// Newest announcement of a drain.
        std::optional<target_announcement> drain;
    };

    static bool update(process_record& process, target_announcement const& announcement,
                       base::steady_time now);
    /// Marks the newest announcement as draining if it was sent before the drain of its process.
    static void apply_drain(process_record& process);
    void drop_surplus();

    std::map<std::uint64_t, process_record> processes;
};

} // namespace filbertroad::dispatch::internal

#endif

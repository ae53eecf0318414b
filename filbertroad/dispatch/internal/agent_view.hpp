#ifndef FILBERTROAD_DISPATCH_INTERNAL_AGENT_VIEW_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_AGENT_VIEW_HPP

/// What an entry knows of one agent: its last status, what was sent since, and its health.
///
///     agent_view view;
///     view.take_status(status, now);
///     auto wait = view.expected_wait(room, priority);
///     view.note_sent(room, work, priority);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <deque>

namespace filbertroad::dispatch::internal
{

class agent_view
{
public:
    /// The link is up, perhaps again; the load sent before is in the next status.
    void connect(std::uint64_t incarnation, base::steady_time now);
    void disconnect() { this->connected = false; }

    void update_status(target_status const& next, base::steady_time now);
    /// A start was sent that the last status does not hold.
    void add_in_flight(model::resources const& resources, double work, std::uint32_t priority);
    /// Takes back the last note_sent().
    void remove_last_in_flight();

    void record_success() { this->failures = 0; }
    /// A failure that the target is blamed for; repeated ones suspend the target for a time.
    void record_failure(base::steady_time now);
    [[nodiscard]] bool is_suspended(base::steady_time now) const
    {
        return now < this->suspended_until;
    }

    /// Whether starts may be sent now.
    [[nodiscard]] bool accepts_starts(base::steady_time now) const;
    [[nodiscard]] bool is_connected() const { return this->connected; }
    [[nodiscard]] base::steady_time last_contact() const { return this->last_contact_time; }
    [[nodiscard]] std::uint64_t incarnation() const { return this->agent_incarnation; }
    [[nodiscard]] target_status const& status() const { return this->last_status; }

    /// Expected time from now until `room` is free for a run of `priority`.
    [[nodiscard]] milliseconds expected_wait(model::resources const& resources,
                                             std::uint32_t priority) const;
    /// Expected run time of a task on this target.
    [[nodiscard]] milliseconds expected_run(milliseconds estimate) const;

private:
    struct sent_start
    {
        model::resources resources;
        double work = 0;
        std::uint32_t priority = 0;
    };

    std::uint64_t agent_incarnation = 0;
    bool connected = false;
    base::steady_time last_contact_time{};
    target_status last_status;
    /// Starts after the `starts_seen`-th one of the link.
    std::deque<sent_start> in_flight;
    std::uint64_t starts_sent = 0;
    std::uint32_t failures = 0;
    base::steady_time suspended_until{};
};

} // namespace filbertroad::dispatch::internal

#endif

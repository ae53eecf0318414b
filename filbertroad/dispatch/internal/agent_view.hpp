#ifndef FILBERTROAD_DISPATCH_INTERNAL_AGENT_VIEW_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_AGENT_VIEW_HPP

/// State of one agent as known to an entry: its last status, the starts sent since, and the health
/// of its target. Not thread-safe.
///
///     agent_view view;
///     view.update_status(status, now);
///     auto wait = view.expected_wait(resources, priority);
///     view.add_in_flight(resources, work, priority);

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace filbertroad::dispatch::internal
{

class agent_view
{
public:
    /// The link is established or re-established. Starts sent on an earlier link are no longer
    /// counted here; the next status includes them.
    void connect(std::uint64_t incarnation, base::steady_time now);
    void disconnect() { this->connected = false; }

    void update_status(target_status const& next, base::steady_time now);
    /// Records a start that was sent and is not included in the last status. `work` is in
    /// core-milliseconds.
    void add_in_flight(model::resources const& resources, double work, std::uint32_t priority);
    /// Reverts the last `count` calls of add_in_flight().
    void remove_last_in_flight(std::size_t count);

    /// The end of a start that was sent is known, or no longer of interest.
    void remove_open_run() { --this->open_run_count; }
    /// Starts that were sent and whose ends are not known.
    [[nodiscard]] std::size_t open_runs() const { return this->open_run_count; }

    void record_success() { this->failures = 0; }
    /// Records a failure attributed to the target. Consecutive failures eject the target for a
    /// backoff time, in which it gets starts only if no other target is available.
    void record_failure(base::steady_time now);
    [[nodiscard]] bool is_ejected(base::steady_time now) const { return now < this->ejected_until; }

    /// Whether starts can be sent now: the agent is connected, its last status is recent, and the
    /// target accepts starts.
    [[nodiscard]] bool accepts_starts(base::steady_time now) const;
    [[nodiscard]] bool is_connected() const { return this->connected; }
    [[nodiscard]] base::steady_time last_contact() const { return this->last_contact_time; }
    [[nodiscard]] std::uint64_t incarnation() const { return this->agent_incarnation; }
    [[nodiscard]] target_status const& status() const { return this->last_status; }

    /// Expected time from now until `resources` are free for a run of `priority`.
    [[nodiscard]] milliseconds expected_wait(model::resources const& resources,
                                             std::uint32_t priority) const;
    /// Number of starts with `resources` for which the processor time is free now, at least 1.
    [[nodiscard]] double spare_starts(model::resources const& resources) const;
    /// Expected run time on this target of a task with the given estimate at speed 1.
    [[nodiscard]] milliseconds expected_run(milliseconds estimate) const;

private:
    struct sent_start
    {
        model::resources resources;
        double work = 0;
        std::uint32_t priority = 0;
    };

    /// Load of the last status and of the starts in flight. Kept up to date with each start, since
    /// a job may send thousands of them between two statuses.
    struct load_sums
    {
        model::resources free;
        double running_work = 0;
        /// Work that has to wait for free resources, by priority.
        std::map<std::uint32_t, double> queued_work;
        std::int64_t sent_cpu = 0;

        void add(sent_start const& start);
    };

    void recompute_load();

    std::uint64_t agent_incarnation = 0;
    bool connected = false;
    base::steady_time last_contact_time{};
    target_status last_status;
    /// Starts sent on this link that the last status does not include.
    std::deque<sent_start> in_flight;
    load_sums load;
    std::uint64_t starts_sent = 0;
    std::size_t open_run_count = 0;
    std::uint32_t failures = 0;
    base::steady_time ejected_until{};
};

} // namespace filbertroad::dispatch::internal

#endif

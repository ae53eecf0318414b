#ifndef FILBERTROAD_MEASURE_EVENT_QUEUE_HPP
#define FILBERTROAD_MEASURE_EVENT_QUEUE_HPP

/// Priority queue of the simulated events, ordered by time. Events of the same time keep the order
/// in which they were added.
///
///     event_queue<arrival> events;
///     events.add(1500, {job});
///     auto const next = events.pop(); // next.time, next.event
///
/// Not thread-safe.

#include "filbertroad/measure/trace.hpp"

#include <cstdint>
#include <queue>
#include <vector>

namespace filbertroad::measure
{

template <class Event>
class event_queue
{
public:
    struct scheduled_event
    {
        time_us time = 0;
        std::uint64_t sequence = 0;
        Event event;

        friend bool operator<(scheduled_event const& a, scheduled_event const& b)
        {
            return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
        }
    };

    void add(time_us time, Event const& event)
    {
        this->events.push({time, this->next_sequence++, event});
    }
    [[nodiscard]] bool empty() const { return this->events.empty(); }
    /// Removes and returns the next event. Precondition: not empty.
    scheduled_event pop()
    {
        auto first = this->events.top();
        this->events.pop();
        return first;
    }

private:
    std::priority_queue<scheduled_event> events;
    std::uint64_t next_sequence = 0;
};

} // namespace filbertroad::measure

#endif

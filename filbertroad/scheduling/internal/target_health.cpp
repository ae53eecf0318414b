#include "filbertroad/scheduling/internal/target_health.hpp"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace filbertroad::scheduling::internal
{
namespace
{

namespace front = boost::msm::front;

constexpr std::chrono::milliseconds initial_backoff{500};
constexpr std::chrono::milliseconds max_backoff{30'000};
/// Consecutive successes after which a probing target is in service again.
constexpr int required_probe_successes = 3;

struct failure_threshold_exceeded
{
};
struct backoff_elapsed
{
};
struct succeeded
{
};

struct front_end : front::state_machine_def<front_end>
{
    struct in_service : front::state<>
    {
    };
    struct ejected : front::state<>
    {
    };
    struct probing : front::state<>
    {
    };
    using initial_state = in_service;

    struct lengthen_backoff
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(Event const&, Machine& machine, Source&, Target&)
        {
            machine.backoff = std::min(machine.backoff * 2, max_backoff);
            machine.probe_successes = 0;
        }
    };
    struct reset_backoff
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(Event const&, Machine& machine, Source&, Target&)
        {
            machine.backoff = initial_backoff;
            machine.probe_successes = 0;
        }
    };
    struct count_probe_success
    {
        template <class Event, class Machine, class Source, class Target>
        void operator()(Event const&, Machine& machine, Source&, Target&)
        {
            ++machine.probe_successes;
        }
    };
    struct enough_probe_successes
    {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(Event const&, Machine& machine, Source&, Target&)
        {
            return machine.probe_successes + 1 >= required_probe_successes;
        }
    };

    struct transition_table
        : boost::mpl::vector<
              front::Row<in_service, failure_threshold_exceeded, ejected, reset_backoff,
                         front::none>,
              front::Row<ejected, backoff_elapsed, probing, front::none, front::none>,
              front::Row<probing, failure_threshold_exceeded, ejected, lengthen_backoff,
                         front::none>,
              front::Row<probing, succeeded, front::none, count_probe_success, front::none>,
              front::Row<probing, succeeded, in_service, reset_backoff, enough_probe_successes>>
    {
    };

    /// Late results, which arrive in a state without a transition for them, are ignored.
    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }

    std::chrono::milliseconds backoff = initial_backoff;
    int probe_successes = 0;
};

} // namespace

struct target_health::machine
{
    boost::msm::back::state_machine<front_end> back_end;

    /// Boost.MSM numbers the states in the order of their first appearance in the transition table;
    /// health_state has the same order.
    [[nodiscard]] health_state state() const
    {
        return static_cast<health_state>(this->back_end.current_state()[0]);
    }
};

std::string_view to_string(health_state state)
{
    switch (state)
    {
    case health_state::in_service:
        return "in_service";
    case health_state::ejected:
        return "ejected";
    case health_state::probing:
        return "probing";
    }
    return "unknown";
}

target_health::target_health() : impl(std::make_unique<machine>())
{
    this->impl->back_end.start();
}
target_health::target_health(target_health&&) noexcept = default;
target_health& target_health::operator=(target_health&&) noexcept = default;
target_health::~target_health() = default;

void target_health::eject(base::steady_time now, double jitter)
{
    if (this->current == health_state::ejected)
    {
        return;
    }
    this->impl->back_end.process_event(failure_threshold_exceeded{});
    this->current = this->impl->state();
    auto const backoff =
        std::chrono::duration<double, std::milli>(this->impl->back_end.backoff) * (1 + jitter);
    this->ejected_until = now + std::chrono::duration_cast<base::steady_time::duration>(backoff);
}

void target_health::advance(base::steady_time now)
{
    if (this->current == health_state::ejected && now >= this->ejected_until)
    {
        this->impl->back_end.process_event(backoff_elapsed{});
        this->current = this->impl->state();
    }
}

bool target_health::task_succeeded()
{
    if (this->current != health_state::probing)
    {
        return false;
    }
    this->impl->back_end.process_event(succeeded{});
    this->current = this->impl->state();
    return this->current == health_state::in_service;
}

} // namespace filbertroad::scheduling::internal

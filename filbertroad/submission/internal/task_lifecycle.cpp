// The default limit of 10 rows per transition table is too small.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define FUSION_MAX_VECTOR_SIZE 20

#include "filbertroad/submission/internal/task_lifecycle.hpp"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <deque>
#include <vector>

namespace filbertroad::submission::internal
{
namespace
{

namespace front = boost::msm::front;

template <task_event Event>
struct event_type
{
};

using dispatched = event_type<task_event::dispatched>;
using refused = event_type<task_event::refused>;
using not_received = event_type<task_event::not_received>;
using observed_running = event_type<task_event::observed_running>;
using succeeded = event_type<task_event::succeeded>;
using failed = event_type<task_event::failed>;
using cancelled = event_type<task_event::cancelled>;
using rejected = event_type<task_event::rejected>;
using lost = event_type<task_event::lost>;
using resumed = event_type<task_event::resumed>;
using interrupted = event_type<task_event::interrupted>;

struct lifecycle_definition : front::state_machine_def<lifecycle_definition>
{
    template <task_state State>
    struct state_type : front::state<>
    {
        static constexpr task_state value = State;
    };

    using queued_state = state_type<task_state::queued>;
    using sent_state = state_type<task_state::sent>;
    using running_state = state_type<task_state::running>;
    using succeeded_state = state_type<task_state::succeeded>;
    using failed_state = state_type<task_state::failed>;
    using cancelled_state = state_type<task_state::cancelled>;
    using rejected_state = state_type<task_state::rejected>;
    using lost_state = state_type<task_state::lost>;
    using interrupted_state = state_type<task_state::interrupted>;

    using initial_state = queued_state;

    // A running task can still be refused: the ledger holds a start as soon as the agent accepts
    // it, and the target may refuse the start after that. A late result replaces the unknown
    // outcome of a lost task.
    struct transition_table
        : boost::mpl::vector<front::Row<queued_state, dispatched, sent_state>,
                             front::Row<queued_state, cancelled, cancelled_state>,
                             front::Row<queued_state, rejected, rejected_state>,
                             front::Row<queued_state, interrupted, interrupted_state>,
                             front::Row<sent_state, refused, queued_state>,
                             front::Row<sent_state, not_received, queued_state>,
                             front::Row<sent_state, observed_running, running_state>,
                             front::Row<sent_state, succeeded, succeeded_state>,
                             front::Row<sent_state, failed, failed_state>,
                             front::Row<sent_state, lost, lost_state>,
                             front::Row<running_state, refused, queued_state>,
                             front::Row<running_state, not_received, queued_state>,
                             front::Row<running_state, succeeded, succeeded_state>,
                             front::Row<running_state, failed, failed_state>,
                             front::Row<running_state, lost, lost_state>,
                             front::Row<lost_state, succeeded, succeeded_state>,
                             front::Row<lost_state, failed, failed_state>,
                             front::Row<interrupted_state, resumed, queued_state>,
                             front::Row<interrupted_state, observed_running, running_state>,
                             front::Row<interrupted_state, succeeded, succeeded_state>,
                             front::Row<interrupted_state, failed, failed_state>,
                             front::Row<interrupted_state, cancelled, cancelled_state>,
                             front::Row<interrupted_state, rejected, rejected_state>,
                             front::Row<interrupted_state, lost, lost_state>>
    {
    };

    template <class Event, class Machine>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using machine = boost::msm::back::state_machine<lifecycle_definition>;

/// Processes `event` and returns whether a transition took place.
bool process_task_event(machine& lifecycle, task_event event)
{
    namespace back = boost::msm::back;
    auto const process = [&](auto const& typed)
    { return lifecycle.process_event(typed) == back::HANDLED_TRUE; };
    switch (event)
    {
    case task_event::dispatched:
        return process(dispatched{});
    case task_event::refused:
        return process(refused{});
    case task_event::not_received:
        return process(not_received{});
    case task_event::observed_running:
        return process(observed_running{});
    case task_event::succeeded:
        return process(succeeded{});
    case task_event::failed:
        return process(failed{});
    case task_event::cancelled:
        return process(cancelled{});
    case task_event::rejected:
        return process(rejected{});
    case task_event::lost:
        return process(lost{});
    case task_event::resumed:
        return process(resumed{});
    case task_event::interrupted:
        return process(interrupted{});
    }
    return false;
}

/// Returns the current state, found by its type because MSM numbers states in the order of its
/// table.
task_state current_task_state(machine const& lifecycle)
{
    using states = boost::msm::back::recursive_get_transition_table<machine>::type;
    using all = boost::msm::back::generate_state_set<states>::type;
    auto found = task_state::queued;
    auto const id = lifecycle.current_state()[0];
    boost::mpl::for_each<all, boost::msm::wrap<boost::mpl::placeholders::_1>>(
        [&]<class State>(boost::msm::wrap<State>)
        {
            if (boost::msm::back::get_state_id<machine::stt, State>::value == id)
            {
                found = State::value;
            }
        });
    return found;
}

using transitions =
    std::array<std::array<std::optional<task_state>, task_event_count>, task_state_count>;

/// Builds the table of all transitions by following every path of the state machine from its
/// initial state. A task then stores one byte for its state; a machine object per task would take
/// several hundred bytes.
transitions enumerate_transitions()
{
    transitions found;
    std::array<bool, task_state_count> visited{};
    std::deque<std::vector<task_event>> paths{{}};
    while (!paths.empty())
    {
        auto const path = paths.front();
        paths.pop_front();
        auto const replay = [&path]
        {
            machine lifecycle;
            lifecycle.start();
            for (auto const event : path)
            {
                process_task_event(lifecycle, event);
            }
            return lifecycle;
        };
        auto const from = static_cast<std::size_t>(current_task_state(replay()));
        if (visited.at(from))
        {
            continue;
        }
        visited.at(from) = true;
        for (std::size_t event = 0; event < task_event_count; ++event)
        {
            auto lifecycle = replay();
            if (process_task_event(lifecycle, static_cast<task_event>(event)))
            {
                found.at(from).at(event) = current_task_state(lifecycle);
                paths.push_back(path);
                paths.back().push_back(static_cast<task_event>(event));
            }
        }
    }
    return found;
}

} // namespace

std::optional<task_state> next_state(task_state state, task_event event)
{
    static transitions const table = enumerate_transitions();
    return table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

bool is_ended(task_state state)
{
    switch (state)
    {
    case task_state::succeeded:
    case task_state::failed:
    case task_state::cancelled:
    case task_state::rejected:
    case task_state::lost:
        return true;
    default:
        return false;
    }
}

bool is_at_agent(task_state state)
{
    return state == task_state::sent || state == task_state::running;
}

} // namespace filbertroad::submission::internal

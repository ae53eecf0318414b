// The default of 10 rows per transition table is too small.
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
struct on
{
};

using dispatched = on<task_event::dispatched>;
using refused = on<task_event::refused>;
using not_received = on<task_event::not_received>;
using observed_running = on<task_event::observed_running>;
using succeeded = on<task_event::succeeded>;
using failed = on<task_event::failed>;
using cancelled = on<task_event::cancelled>;
using rejected = on<task_event::rejected>;
using lost = on<task_event::lost>;
using resumed = on<task_event::resumed>;
using interrupted = on<task_event::interrupted>;

struct lifecycle_definition : front::state_machine_def<lifecycle_definition>
{
    template <task_state State>
    struct in : front::state<>
    {
        static constexpr task_state value = State;
    };

    using is_queued = in<task_state::queued>;
    using is_sent = in<task_state::sent>;
    using is_running = in<task_state::running>;
    using is_succeeded = in<task_state::succeeded>;
    using is_failed = in<task_state::failed>;
    using is_cancelled = in<task_state::cancelled>;
    using is_rejected = in<task_state::rejected>;
    using is_lost = in<task_state::lost>;
    using is_interrupted = in<task_state::interrupted>;

    using initial_state = is_queued;

    // A running task can still be refused: the ledger holds a start from its acceptance on, and
    // the target may refuse it after that. A lost task ends better when its answer arrives late.
    struct transition_table
        : boost::mpl::vector<
              front::Row<is_queued, dispatched, is_sent>,
              front::Row<is_queued, cancelled, is_cancelled>,
              front::Row<is_queued, rejected, is_rejected>,
              front::Row<is_queued, interrupted, is_interrupted>,
              front::Row<is_sent, refused, is_queued>, front::Row<is_sent, not_received, is_queued>,
              front::Row<is_sent, observed_running, is_running>,
              front::Row<is_sent, succeeded, is_succeeded>, front::Row<is_sent, failed, is_failed>,
              front::Row<is_sent, lost, is_lost>, front::Row<is_running, refused, is_queued>,
              front::Row<is_running, not_received, is_queued>,
              front::Row<is_running, succeeded, is_succeeded>,
              front::Row<is_running, failed, is_failed>, front::Row<is_running, lost, is_lost>,
              front::Row<is_lost, succeeded, is_succeeded>, front::Row<is_lost, failed, is_failed>,
              front::Row<is_interrupted, resumed, is_queued>,
              front::Row<is_interrupted, observed_running, is_running>,
              front::Row<is_interrupted, succeeded, is_succeeded>,
              front::Row<is_interrupted, failed, is_failed>,
              front::Row<is_interrupted, cancelled, is_cancelled>,
              front::Row<is_interrupted, rejected, is_rejected>,
              front::Row<is_interrupted, lost, is_lost>>
    {
    };

    template <class Event, class Machine>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using machine = boost::msm::back::state_machine<lifecycle_definition>;

/// Runs `event` and tells whether a transition took place.
bool run(machine& lifecycle, task_event event)
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

/// The current state by its type, because MSM numbers states in the order of its table.
task_state current(machine const& lifecycle)
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

/// Reads the transitions out of the machine by following every path from the initial state. A
/// machine object per task would take several hundred bytes; a state takes one.
transitions explore()
{
    transitions found;
    std::array<bool, task_state_count> seen{};
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
                run(lifecycle, event);
            }
            return lifecycle;
        };
        auto const from = static_cast<std::size_t>(current(replay()));
        if (seen.at(from))
        {
            continue;
        }
        seen.at(from) = true;
        for (std::size_t event = 0; event < task_event_count; ++event)
        {
            auto lifecycle = replay();
            if (run(lifecycle, static_cast<task_event>(event)))
            {
                found.at(from).at(event) = current(lifecycle);
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
    static transitions const table = explore();
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

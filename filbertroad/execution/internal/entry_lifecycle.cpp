#include "filbertroad/execution/internal/entry_lifecycle.hpp"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace filbertroad::execution::internal
{
namespace
{

namespace front = boost::msm::front;
namespace back = boost::msm::back;

template <ledger_entry_event Event>
struct msm_event
{
};

struct lifecycle_definition : front::state_machine_def<lifecycle_definition>
{
    template <ledger_entry_state State>
    struct msm_state : front::state<>
    {
    };

    using is_running = msm_state<ledger_entry_state::running>;
    using is_finished = msm_state<ledger_entry_state::finished>;
    using is_acknowledged = msm_state<ledger_entry_state::acknowledged>;
    using is_removed = msm_state<ledger_entry_state::removed>;

    using initial_state = is_running;

    // A running entry never expires. Its task may still start until its outcome is known.
    struct transition_table
        : boost::mpl::vector<
              front::Row<is_running, msm_event<ledger_entry_event::execution_ended>, is_finished>,
              front::Row<is_running, msm_event<ledger_entry_event::refused>, is_removed>,
              front::Row<is_finished, msm_event<ledger_entry_event::acknowledged>, is_acknowledged>,
              front::Row<is_finished, msm_event<ledger_entry_event::duplicate_start>, is_finished>,
              front::Row<is_finished, msm_event<ledger_entry_event::expired>, is_removed>,
              front::Row<is_acknowledged, msm_event<ledger_entry_event::duplicate_start>,
                         is_finished>,
              front::Row<is_acknowledged, msm_event<ledger_entry_event::expired>, is_removed>>
    {
    };

    template <class Event, class Machine>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using machine = back::state_machine<lifecycle_definition>;

template <ledger_entry_state State>
int state_number_of()
{
    return back::get_state_id<machine::stt, lifecycle_definition::msm_state<State>>::value;
}

std::array<int, ledger_entry_state_count> const& state_numbers()
{
    static std::array<int, ledger_entry_state_count> const numbers{
        state_number_of<ledger_entry_state::running>(),
        state_number_of<ledger_entry_state::finished>(),
        state_number_of<ledger_entry_state::acknowledged>(),
        state_number_of<ledger_entry_state::removed>()};
    return numbers;
}

bool process_event_by_value(machine& lifecycle, ledger_entry_event event)
{
    auto const process = [&](auto const& typed)
    { return lifecycle.process_event(typed) == back::HANDLED_TRUE; };
    switch (event)
    {
    case ledger_entry_event::execution_ended:
        return process(msm_event<ledger_entry_event::execution_ended>{});
    case ledger_entry_event::refused:
        return process(msm_event<ledger_entry_event::refused>{});
    case ledger_entry_event::acknowledged:
        return process(msm_event<ledger_entry_event::acknowledged>{});
    case ledger_entry_event::duplicate_start:
        return process(msm_event<ledger_entry_event::duplicate_start>{});
    case ledger_entry_event::expired:
        return process(msm_event<ledger_entry_event::expired>{});
    }
    return false;
}

/// Fires the events that lead from the initial state to `state`.
void drive_to_state(machine& lifecycle, ledger_entry_state state)
{
    lifecycle.start();
    if (state == ledger_entry_state::removed)
    {
        process_event_by_value(lifecycle, ledger_entry_event::refused);
    }
    if (state == ledger_entry_state::finished || state == ledger_entry_state::acknowledged)
    {
        process_event_by_value(lifecycle, ledger_entry_event::execution_ended);
    }
    if (state == ledger_entry_state::acknowledged)
    {
        process_event_by_value(lifecycle, ledger_entry_event::acknowledged);
    }
}

using transitions =
    std::array<std::array<std::optional<ledger_entry_state>, ledger_entry_event_count>,
               ledger_entry_state_count>;

/// Derives a transition table from the state machine. A ledger has up to 200,000 entries. A machine
/// object in each would take several hundred bytes; a state takes one byte.
transitions build_transitions()
{
    transitions found;
    for (std::size_t from = 0; from < ledger_entry_state_count; ++from)
    {
        for (std::size_t event = 0; event < ledger_entry_event_count; ++event)
        {
            machine lifecycle;
            drive_to_state(lifecycle, static_cast<ledger_entry_state>(from));
            if (!process_event_by_value(lifecycle, static_cast<ledger_entry_event>(event)))
            {
                continue;
            }
            for (std::size_t to = 0; to < ledger_entry_state_count; ++to)
            {
                if (state_numbers().at(to) == lifecycle.current_state()[0])
                {
                    found.at(from).at(event) = static_cast<ledger_entry_state>(to);
                }
            }
        }
    }
    return found;
}

} // namespace

std::optional<ledger_entry_state> next_state(ledger_entry_state state, ledger_entry_event event)
{
    static transitions const table = build_transitions();
    return table.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(event));
}

} // namespace filbertroad::execution::internal

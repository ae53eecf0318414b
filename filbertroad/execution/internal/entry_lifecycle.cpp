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

template <entry_event Event>
struct on
{
};

struct lifecycle_definition : front::state_machine_def<lifecycle_definition>
{
    template <entry_state State>
    struct in : front::state<>
    {
    };

    using is_running = in<entry_state::running>;
    using is_finished = in<entry_state::finished>;
    using is_acknowledged = in<entry_state::acknowledged>;
    using is_forgotten = in<entry_state::forgotten>;

    using initial_state = is_running;

    // A running entry never expires: its task may still start, and only its answer ends that.
    struct transition_table
        : boost::mpl::vector<
              front::Row<is_running, on<entry_event::answered>, is_finished>,
              front::Row<is_running, on<entry_event::refused>, is_forgotten>,
              front::Row<is_finished, on<entry_event::acknowledged>, is_acknowledged>,
              front::Row<is_finished, on<entry_event::asked_again>, is_finished>,
              front::Row<is_finished, on<entry_event::expired>, is_forgotten>,
              front::Row<is_acknowledged, on<entry_event::asked_again>, is_finished>,
              front::Row<is_acknowledged, on<entry_event::expired>, is_forgotten>>
    {
    };

    template <class Event, class Machine>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using machine = back::state_machine<lifecycle_definition>;

template <entry_state State>
int number_of()
{
    return back::get_state_id<machine::stt, lifecycle_definition::in<State>>::value;
}

std::array<int, entry_state_count> const& state_numbers()
{
    static std::array<int, entry_state_count> const numbers{
        number_of<entry_state::running>(), number_of<entry_state::finished>(),
        number_of<entry_state::acknowledged>(), number_of<entry_state::forgotten>()};
    return numbers;
}

bool run(machine& lifecycle, entry_event event)
{
    auto const process = [&](auto const& typed)
    { return lifecycle.process_event(typed) == back::HANDLED_TRUE; };
    switch (event)
    {
    case entry_event::answered:
        return process(on<entry_event::answered>{});
    case entry_event::refused:
        return process(on<entry_event::refused>{});
    case entry_event::acknowledged:
        return process(on<entry_event::acknowledged>{});
    case entry_event::asked_again:
        return process(on<entry_event::asked_again>{});
    case entry_event::expired:
        return process(on<entry_event::expired>{});
    }
    return false;
}

/// Events that lead from the initial state to `state`.
void lead_to(machine& lifecycle, entry_state state)
{
    lifecycle.start();
    if (state == entry_state::forgotten)
    {
        run(lifecycle, entry_event::refused);
    }
    if (state == entry_state::finished || state == entry_state::acknowledged)
    {
        run(lifecycle, entry_event::answered);
    }
    if (state == entry_state::acknowledged)
    {
        run(lifecycle, entry_event::acknowledged);
    }
}

using transitions =
    std::array<std::array<std::optional<entry_state>, entry_event_count>, entry_state_count>;

/// Reads the transitions out of the machine. A machine object per entry would take several hundred
/// bytes in a ledger of up to 200,000 entries; a state takes one.
transitions explore()
{
    transitions found;
    for (std::size_t from = 0; from < entry_state_count; ++from)
    {
        for (std::size_t event = 0; event < entry_event_count; ++event)
        {
            machine lifecycle;
            lead_to(lifecycle, static_cast<entry_state>(from));
            if (!run(lifecycle, static_cast<entry_event>(event)))
            {
                continue;
            }
            for (std::size_t to = 0; to < entry_state_count; ++to)
            {
                if (state_numbers().at(to) == lifecycle.current_state()[0])
                {
                    found.at(from).at(event) = static_cast<entry_state>(to);
                }
            }
        }
    }
    return found;
}

} // namespace

std::optional<entry_state> next_state(entry_state state, entry_event event)
{
    static transitions const table = explore();
    return table.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(event));
}

} // namespace filbertroad::execution::internal

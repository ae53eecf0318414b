#include "filbertroad/net/internal/link_lifecycle.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace filbertroad::net::internal
{
namespace
{

namespace msm = boost::msm;

struct connected
{
};
struct opened
{
};
struct close_requested
{
};
struct ended
{
};

struct connecting : msm::front::state<>
{
};
struct handshaking : msm::front::state<>
{
};
struct open : msm::front::state<>
{
};
struct draining : msm::front::state<>
{
};
struct closed : msm::front::state<>
{
};

struct definition : msm::front::state_machine_def<definition>
{
    using initial_state = connecting;

    template <class Start, class Event, class Target>
    using transition = msm::front::Row<Start, Event, Target>;

    // Boost.MSM numbers the states in the order of their first use in this table, which must match
    // the order of link_state.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        transition<connecting,  connected,       handshaking>,
        transition<handshaking, opened,          open>,
        transition<open,        close_requested, draining>,
        transition<draining,    ended,           closed>,
        transition<connecting,  close_requested, draining>,
        transition<handshaking, close_requested, draining>,
        transition<connecting,  ended,           closed>,
        transition<handshaking, ended,           closed>,
        transition<open,        ended,           closed>>
    {
    };
    // clang-format on

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

} // namespace

class link_lifecycle::machine : public msm::back::state_machine<definition>
{
};

link_lifecycle::link_lifecycle() : impl(std::make_unique<machine>())
{
    this->impl->start();
}

link_lifecycle::~link_lifecycle() = default;

bool link_lifecycle::apply(link_event event)
{
    switch (event)
    {
    case link_event::connected:
        this->impl->process_event(connected{});
        break;
    case link_event::opened:
        this->impl->process_event(opened{});
        break;
    case link_event::close_requested:
        this->impl->process_event(close_requested{});
        break;
    case link_event::ended:
        this->impl->process_event(ended{});
        break;
    }
    auto const before = this->current;
    this->current = static_cast<link_state>(this->impl->current_state()[0]);
    return this->current != before;
}

} // namespace filbertroad::net::internal

#ifndef FILBERTROAD_NET_INTERNAL_LINK_LIFECYCLE_HPP
#define FILBERTROAD_NET_INTERNAL_LINK_LIFECYCLE_HPP

/// States of a link and the transitions between them.
///
///     internal::link_lifecycle lifecycle;
///     lifecycle.apply(internal::link_event::connected);
///     lifecycle.state() == internal::link_state::handshaking;

#include <memory>

namespace filbertroad::net::internal
{

enum class link_state
{
    connecting,
    /// TCP is connected, but the peer has not opened its direction of the stream yet.
    handshaking,
    open,
    /// New messages are not accepted; the queued messages are sent.
    draining,
    closed,
};

enum class link_event
{
    connected,
    opened,
    close_requested,
    ended,
};

/// State machine of one link. Not thread safe.
class link_lifecycle
{
public:
    link_lifecycle();
    ~link_lifecycle();
    link_lifecycle(link_lifecycle const&) = delete;
    link_lifecycle& operator=(link_lifecycle const&) = delete;

    /// Applies an event and returns whether the state changed. Events without a transition from the
    /// current state are ignored.
    bool apply(link_event event);
    [[nodiscard]] link_state state() const { return this->current; }

private:
    class machine;
    std::unique_ptr<machine> impl;
    link_state current = link_state::connecting;
};

} // namespace filbertroad::net::internal

#endif

#ifndef FILBERTROAD_NODE_INTERNAL_RENEWAL_LOOP_HPP
#define FILBERTROAD_NODE_INTERNAL_RENEWAL_LOOP_HPP

/// Renews the lease of a target continuously, with several renewals in flight at the same time.
/// Not thread-safe; handlers run on the io_context.
///
///     internal::renewal_loop renewals(io, agent, target, [&] { flush(); });
///     renewals.start();

#include "filbertroad/dispatch/run_agent.hpp"
#include "filbertroad/node/agent_node.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace filbertroad::node::internal
{

class renewal_loop
{
public:
    /// `on_response` is called after each renewal: when the agent has processed the response, or
    /// when none came in time.
    renewal_loop(boost::asio::io_context& io, dispatch::run_agent& agent, target_client& target,
                 std::function<void()> on_response);

    void start();
    /// Sends one further renewal that the target answers at once.
    void renew_now();

private:
    void renew();
    void renew_later();
    void handle_response(dispatch::renewal const& renewal, renewal_response const& response);
    void process_response(dispatch::renewal const& renewal, renewal_response const& response);

    boost::asio::io_context& io;
    dispatch::run_agent& agent;
    target_client& target;
    std::function<void()> on_response;
};

} // namespace filbertroad::node::internal

#endif

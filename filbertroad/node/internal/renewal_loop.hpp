#ifndef FILBERTROAD_NODE_INTERNAL_RENEWAL_LOOP_HPP
#define FILBERTROAD_NODE_INTERNAL_RENEWAL_LOOP_HPP

/// Renews the lease of a target without end, with several renewals under way at the same time.
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
    /// `after_answer` is called when the agent has taken an answer, or none came.
    renewal_loop(boost::asio::io_context& io, dispatch::run_agent& agent, target_client& target,
                 std::function<void()> on_response);

    void start();
    /// One renewal more, answered at once.
    void renew_now();

private:
    void renew();
    void handle_response(dispatch::renewal const& renewal, renewal_response const& answer);

    boost::asio::io_context& io;
    dispatch::run_agent& agent;
    target_client& target;
    std::function<void()> on_response;
};

} // namespace filbertroad::node::internal

#endif

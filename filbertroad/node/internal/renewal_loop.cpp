#include "filbertroad/node/internal/renewal_loop.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace filbertroad::node::internal
{
namespace asio = boost::asio;
using dispatch::milliseconds;

namespace
{

/// Longest time for which the target may hold back the response to a renewal. It is a quarter of
/// the lease, so that the loss of two renewals does not end the lease.
constexpr milliseconds renewal_poll_timeout{150};

/// Renewals in flight at the same time. With more than one, a lost response does not delay the
/// report of a finished run.
constexpr int concurrent_renewals = 2;

/// Delay of the next renewal after one that got no response.
constexpr milliseconds renewal_retry_delay{10};

} // namespace

renewal_loop::renewal_loop(asio::io_context& io, dispatch::run_agent& agent, target_client& target,
                           std::function<void()> on_response)
    : io(io), agent(agent), target(target), on_response(std::move(on_response))
{
}

void renewal_loop::start()
{
    for (int renewal_index = 0; renewal_index < concurrent_renewals; ++renewal_index)
    {
        this->renew();
    }
}

void renewal_loop::renew_now()
{
    auto const renewal = this->agent.make_renewal();
    this->target.renew(renewal, milliseconds(0),
                       [this, renewal](renewal_response const& response)
                       {
                           if (response.list)
                           {
                               this->agent.renewal_answered(renewal, *response.list);
                               this->on_response();
                           }
                       });
}

void renewal_loop::renew()
{
    auto const renewal = this->agent.make_renewal();
    this->target.renew(renewal, renewal_poll_timeout,
                       [this, renewal](renewal_response const& response)
                       { this->handle_response(renewal, response); });
}

void renewal_loop::handle_response(dispatch::renewal const& renewal,
                                   renewal_response const& response)
{
    try
    {
        this->process_response(renewal, response);
    }
    catch (...)
    {
        // The loop goes on: without renewals the target would end all runs.
        this->renew_later();
        throw;
    }
    if (response.list || response.is_fenced)
    {
        this->renew();
        return;
    }
    this->renew_later();
}

void renewal_loop::process_response(dispatch::renewal const& renewal,
                                    renewal_response const& response)
{
    if (response.is_fenced)
    {
        this->agent.renewal_fenced(renewal);
    }
    if (response.list)
    {
        this->agent.renewal_answered(renewal, *response.list);
    }
    this->on_response();
}

void renewal_loop::renew_later()
{
    auto const timer = std::make_shared<asio::steady_timer>(this->io, renewal_retry_delay);
    timer->async_wait(
        [this, timer](boost::system::error_code code)
        {
            if (!code)
            {
                this->renew();
            }
        });
}

} // namespace filbertroad::node::internal

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

/// Longest answer time asked of the target in a renewal: a quarter of the lease, so that two lost
/// renewals do not end it.
constexpr milliseconds renewal_poll_timeout{150};

/// Renewals under way at the same time. An answer that is lost then delays no end.
constexpr int concurrent_renewals = 2;

/// Pause before the next renewal when one was not answered.
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
                       [this, renewal](renewal_response const& answer)
                       {
                           if (answer.list)
                           {
                               this->agent.renewal_answered(renewal, *answer.list);
                               this->on_response();
                           }
                       });
}

void renewal_loop::renew()
{
    auto const renewal = this->agent.make_renewal();
    this->target.renew(renewal, renewal_poll_timeout,
                       [this, renewal](renewal_response const& answer)
                       { this->handle_response(renewal, answer); });
}

void renewal_loop::handle_response(dispatch::renewal const& renewal, renewal_response const& answer)
{
    if (answer.is_fenced)
    {
        this->agent.renewal_fenced(renewal);
    }
    if (answer.list)
    {
        this->agent.renewal_answered(renewal, *answer.list);
    }
    this->on_response();
    if (answer.list || answer.is_fenced)
    {
        this->renew();
        return;
    }
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

#include "filbertroad/server/peer_requests.hpp"

#include <utility>
#include <vector>

namespace filbertroad::server
{

peer_requests::peer_requests(base::clock const& clock, sender send)
    : clock(clock), send_message(std::move(send))
{
}

void peer_requests::send(model::process_id const& peer, wire::request request,
                         std::chrono::milliseconds timeout, peer_handler handler)
{
    {
        std::lock_guard const guard(this->lock);
        request.set_id(this->next_id++);
        this->pending[request.id()] = {peer, this->clock.steady_now() + timeout,
                                       std::move(handler)};
    }
    auto const id = request.id();
    wire::link_message message;
    *message.mutable_request() = std::move(request);
    if (this->send_message(peer, message))
    {
        return;
    }
    peer_handler unsent;
    {
        std::lock_guard const guard(this->lock);
        if (auto found = this->pending.extract(id); !found.empty())
        {
            unsent = std::move(found.mapped().handler);
        }
    }
    if (unsent)
    {
        unsent(peer_error::not_linked);
    }
}

void peer_requests::response_received(model::process_id const& peer, wire::response& response)
{
    peer_handler handler;
    {
        std::lock_guard const guard(this->lock);
        auto const found = this->pending.find(response.id());
        if (found == this->pending.end() || found->second.peer != peer)
        {
            return;
        }
        handler = std::move(found->second.handler);
        this->pending.erase(found);
    }
    handler(std::move(response));
}

template <class Predicate>
void peer_requests::fail_if(Predicate const& predicate, peer_error error)
{
    std::vector<peer_handler> failed;
    {
        std::lock_guard const guard(this->lock);
        for (auto it = this->pending.begin(); it != this->pending.end();)
        {
            if (predicate(it->second))
            {
                failed.push_back(std::move(it->second.handler));
                it = this->pending.erase(it);
            }
            else
            {
                ++it;
            }
        }
    }
    for (auto const& handler : failed)
    {
        handler(error);
    }
}

void peer_requests::link_closed(model::process_id const& peer)
{
    this->fail_if([&](pending_request const& request) { return request.peer == peer; },
                  peer_error::link_closed);
}

void peer_requests::tick()
{
    auto const now = this->clock.steady_now();
    this->fail_if([&](pending_request const& request) { return request.deadline <= now; },
                  peer_error::timeout);
}

} // namespace filbertroad::server

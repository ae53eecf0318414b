#include "filbertroad/server/request_router.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <string_view>
#include <utility>

namespace filbertroad::server
{
namespace
{

constexpr std::string_view not_run_unknown = "unknown";
constexpr std::string_view not_run_yes = "yes";

/// Covers the clock skew of callers plus the time for which an owner may still act on older tables.
constexpr std::chrono::seconds table_change_margin{10};

wire::request_error make_error(std::string_view code, std::string_view detail,
                               std::string_view not_run, std::chrono::milliseconds retry_after)
{
    wire::request_error error;
    error.set_code(std::string(code));
    error.set_detail(std::string(detail));
    error.set_not_run(std::string(not_run));
    error.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    return error;
}

wire::response error_response(wire::request_error error)
{
    wire::response response;
    *response.mutable_error() = std::move(error);
    return response;
}

std::string const& route_of(wire::request const& request)
{
    switch (request.body_case())
    {
    case wire::request::kSubmit:
        return request.submit().job().route();
    case wire::request::kQuery:
        return request.query().route();
    case wire::request::kCancel:
        return request.cancel().route();
    default:
        return request.acknowledge().route();
    }
}

std::string const& key_of(wire::request const& request)
{
    switch (request.body_case())
    {
    case wire::request::kSubmit:
        return request.submit().job().key();
    case wire::request::kQuery:
        return request.query().key();
    case wire::request::kCancel:
        return request.cancel().key();
    default:
        return request.acknowledge().key();
    }
}

std::chrono::milliseconds wait_of(wire::request const& request)
{
    return std::chrono::milliseconds(request.has_submit()  ? request.submit().wait_ms()
                                     : request.has_query() ? request.query().wait_ms()
                                                           : 0);
}

void set_wait(wire::request& request, std::chrono::milliseconds wait)
{
    auto const wait_ms =
        static_cast<std::uint32_t>(std::max(wait, std::chrono::milliseconds(0)).count());
    if (request.has_submit())
    {
        request.mutable_submit()->set_wait_ms(wait_ms);
    }
    else if (request.has_query())
    {
        request.mutable_query()->set_wait_ms(wait_ms);
    }
}

} // namespace

request_router::request_router(boost::asio::io_context& io, base::clock const& clock,
                               control_state_controller& control, shard_registry& shards,
                               peer_requests& peers, model::process_id self)
    : io(io), clock(clock), control(control), shards(shards), peers(peers), self(std::move(self)),
      random(this->self.incarnation)
{
}

std::chrono::milliseconds request_router::jittered(std::chrono::milliseconds base)
{
    std::lock_guard const guard(this->random_lock);
    std::uniform_int_distribution<std::int64_t> spread(base.count() / 2, base.count() * 3 / 2);
    return std::chrono::milliseconds(spread(this->random));
}

void request_router::handle(wire::request request, response_handler respond)
{
    auto const now = this->clock.steady_now();
    auto const wait = wait_of(request);
    this->try_once(std::make_shared<routed_request>(
        routed_request{std::move(request), std::move(respond), now + retry_timeout, now + wait}));
}

void request_router::try_once(routed_request_ptr const& routed)
{
    auto const state = this->control.state();
    auto const& request = routed->request;
    auto const resolved = resolve_route(*state, route_of(request), key_of(request));
    if (!resolved)
    {
        this->respond_unknown_route(routed);
        return;
    }
    auto const owner = state->owner_of(resolved->id.service, resolved->id.shard);
    if (!owner)
    {
        this->retry_or_respond(
            routed, make_error("no_owner", "the route's shard has no owner at the moment",
                               not_run_unknown, this->jittered(retry_interval * 2)));
    }
    else if (auto const id = wire::to_model(owner->id()); id == this->self)
    {
        auto const holder = this->find_previous_holder(route_of(request), key_of(request));
        this->try_local(holder.value_or(resolved->id), resolved->limits, routed);
    }
    else
    {
        this->try_peer(id, routed);
    }
}

void request_router::respond_unknown_route(routed_request_ptr const& routed)
{
    // The route may have existed earlier and run the key. "yes" therefore needs a key that is
    // younger than the tables and a state that is confirmed as the newest.
    auto const key = model::parse_key(key_of(routed->request));
    bool const is_certain =
        this->control.is_confirmed() && key &&
        key.value().created > this->control.tables_changed_at() + table_change_margin;
    routed->respond(error_response(make_error(
        "unknown_route", "route \"" + route_of(routed->request) + "\" or its pool does not exist",
        is_certain ? not_run_yes : not_run_unknown, std::chrono::milliseconds(0))));
}

std::optional<shard_id> request_router::find_previous_holder(std::string const& route,
                                                             std::string const& text) const
{
    auto const key = model::parse_key(text);
    if (key && key.value().created > this->control.tables_changed_at() + table_change_margin)
    {
        return std::nullopt;
    }
    return this->shards.find_holder(route, text);
}

bool request_router::dispatch_to_shard(shard_id const& id, submission::job_limits const& limits,
                                       wire::request const& request, shard_response_handler handler)
{
    switch (request.body_case())
    {
    case wire::request::kSubmit:
        return this->shards.submit(id, request.submit(), limits, std::move(handler));
    case wire::request::kQuery:
        return this->shards.query(id, request.query(), std::move(handler));
    case wire::request::kCancel:
        return this->shards.cancel(id, request.cancel(), std::move(handler));
    default:
        return this->shards.acknowledge(id, request.acknowledge(), std::move(handler));
    }
}

void request_router::try_local(shard_id const& id, submission::job_limits const& limits,
                               routed_request_ptr const& routed)
{
    set_wait(routed->request, std::chrono::duration_cast<std::chrono::milliseconds>(
                                  routed->wait_deadline - this->clock.steady_now()));
    bool const found = this->dispatch_to_shard(
        id, limits, routed->request,
        [this, routed](shard_response result)
        {
            if (auto* const report = std::get_if<wire::job_report>(&result))
            {
                wire::response response;
                *response.mutable_job() = std::move(*report);
                routed->respond(std::move(response));
            }
            else if (auto* const error = std::get_if<wire::request_error>(&result))
            {
                this->retry_or_respond(routed, std::move(*error));
            }
            else
            {
                this->try_peer(std::get<model::process_id>(result), routed);
            }
        });
    if (!found)
    {
        this->retry_or_respond(
            routed, make_error("no_owner", "the route's shard is not initialized on this entry yet",
                               not_run_unknown, this->jittered(retry_interval * 2)));
    }
}

void request_router::try_peer(model::process_id const& peer, routed_request_ptr const& routed)
{
    auto const wait = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
                                   routed->wait_deadline - this->clock.steady_now()),
                               std::chrono::milliseconds(0));
    set_wait(routed->request, wait);
    this->peers.send(peer, routed->request, wait + peer_timeout,
                     [this, routed](peer_result result)
                     { this->peer_responded(routed, std::move(result)); });
}

void request_router::peer_responded(routed_request_ptr const& routed, peer_result result)
{
    if (!result)
    {
        this->retry_or_respond(routed,
                               make_error("owner_unreachable",
                                          "the owner of the route's shard did not respond",
                                          not_run_unknown, this->jittered(retry_interval * 4)));
    }
    else if (result.value().has_error())
    {
        this->retry_or_respond(routed, std::move(*result.value().mutable_error()));
    }
    else
    {
        routed->respond(std::move(result).value());
    }
}

void request_router::retry_or_respond(routed_request_ptr const& routed, wire::request_error error)
{
    // Only requests with an uncertain outcome are retried here; the caller gets a definite refusal
    // at once.
    bool const is_uncertain = error.not_run() == not_run_unknown && error.retry_after_ms() > 0;
    auto const retry_delay = this->jittered(retry_interval);
    if (!is_uncertain || this->clock.steady_now() + retry_delay >= routed->retry_deadline)
    {
        routed->respond(error_response(std::move(error)));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io, retry_delay);
    timer->async_wait([this, routed, timer](boost::system::error_code const&)
                      { this->try_once(routed); });
}

void request_router::handle_peer(wire::request const& request, response_handler respond)
{
    auto const state = this->control.state();
    auto const& route = route_of(request);
    auto const& key = key_of(request);
    auto resolved = resolve_route(*state, route, key);
    bool const is_owner = resolved && [&]
    {
        auto const owner = state->owner_of(resolved->id.service, resolved->id.shard);
        return owner && wire::to_model(owner->id()) == this->self;
    }();
    // An entry forwards a request here because this entry owns the shard, or because it holds the
    // key from an earlier view or table.
    auto const holder =
        is_owner ? this->find_previous_holder(route, key) : this->shards.find_holder(route, key);
    if (holder)
    {
        resolved = resolved_route{*holder, resolved ? resolved->limits : submission::job_limits{}};
    }
    if (!resolved)
    {
        respond(error_response(make_error("unknown_route", "route \"" + route + "\" does not exist",
                                          not_run_unknown, retry_interval)));
        return;
    }
    auto const routed = std::make_shared<routed_request>(
        routed_request{request, std::move(respond), this->clock.steady_now(),
                       this->clock.steady_now() + wait_of(request)});
    this->try_local(resolved->id, resolved->limits, routed);
}

} // namespace filbertroad::server

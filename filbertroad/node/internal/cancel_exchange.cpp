#include "filbertroad/node/internal/cancel_exchange.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace filbertroad::node::internal
{
namespace asio = boost::asio;
namespace events = telemetry::events;
using dispatch::milliseconds;

namespace
{

/// A link that another entry has opened is closed when nothing was received on it for this long.
/// The other entry closes it much earlier, unless its machine has gone.
constexpr milliseconds incoming_idle_timeout{60'000};

constexpr std::size_t max_lines_per_second = 10;

std::string join(std::vector<std::string> const& names)
{
    std::string text;
    for (auto const& name : names)
    {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

} // namespace

cancel_exchange::cancel_exchange(asio::io_context& io, base::clock const& clock,
                                 telemetry::event_log& log, telemetry::metrics_registry& metrics,
                                 std::string own_name, net::link_limits link_limits,
                                 handlers callbacks)
    : io(io), clock(clock), log(log), metrics(metrics), link_limits(std::move(link_limits)),
      callbacks(std::move(callbacks)), decision(clock, std::move(own_name), {}),
      latency(metrics.add_histogram("filbertroad_cancel_seconds",
                                    "Time to the answer of a cancel for which other entries were "
                                    "asked."))
{
    for (auto const result : {dispatch::cancel_result::cancelled, dispatch::cancel_result::not_held,
                              dispatch::cancel_result::unconfirmed})
    {
        this->counter_for(result);
    }
}

telemetry::counter& cancel_exchange::counter_for(dispatch::cancel_result result)
{
    return this->metrics.add_counter("filbertroad_cancels_total",
                                     "Cancels of jobs that this entry did not hold.",
                                     {{"result", std::string(to_string(result))}});
}

void cancel_exchange::add_entry(dispatch::entry_address const& entry)
{
    this->decision.add_entry(entry);
    this->schedule_run();
}

void cancel_exchange::add_seed(std::string const& address)
{
    this->decision.add_seed(address);
}

void cancel_exchange::agent_lists(std::string const& agent, std::vector<std::string> const& entries)
{
    this->decision.agent_lists(agent, entries);
}

void cancel_exchange::agent_lost(std::string const& agent)
{
    this->decision.agent_lost(agent);
}

void cancel_exchange::cancel(std::string const& key, cancel_handler handler)
{
    auto const caller = ++this->last_caller;
    this->cancel_handlers.emplace(caller, std::move(handler));
    this->decision.cancel(key, caller);
    this->schedule_run();
}

void cancel_exchange::notify(std::string const& key)
{
    this->decision.notify(key);
    this->schedule_run();
}

void cancel_exchange::abandon_all()
{
    this->decision.abandon_all();
    this->run();
}

void cancel_exchange::answer_queries(std::shared_ptr<net::link> const& link, frame const& content)
{
    if (!content.for_cancels && content.cancel_queries.empty())
    {
        return;
    }
    this->incoming[link->number()] = {link, this->clock.steady_now()};
    if (content.cancel_queries.empty())
    {
        return;
    }
    frame out;
    for (auto const& query : content.cancel_queries)
    {
        out.cancel_replies.push_back({query.number, this->callbacks.cancel_here(query.key)});
    }
    link->send(encode_frame(out));
}

void cancel_exchange::tick()
{
    this->decision.tick();
    auto const now = this->clock.steady_now();
    for (auto item = this->incoming.begin(); item != this->incoming.end();)
    {
        if (now - item->second.last_received > incoming_idle_timeout)
        {
            item->second.link->close();
            item = this->incoming.erase(item);
        }
        else
        {
            ++item;
        }
    }
    this->run();
}

/// Runs the actions after the current handler, so that questions of one moment share a message.
void cancel_exchange::schedule_run()
{
    if (!std::exchange(this->is_run_scheduled, true))
    {
        asio::post(this->io,
                   [this]
                   {
                       this->is_run_scheduled = false;
                       this->run();
                   });
    }
}

void cancel_exchange::run()
{
    for (auto const& action : this->decision.take_actions())
    {
        std::visit([this](auto const& item) { this->execute(item); }, action);
    }
    this->send_frames();
}

void cancel_exchange::send_frames()
{
    for (auto const& [address, content] : std::exchange(this->outgoing, {}))
    {
        if (auto const found = this->links.find(address); found != this->links.end())
        {
            found->second->send(encode_frame(content));
        }
    }
}

void cancel_exchange::execute(dispatch::open_peer_link const& action)
{
    this->links[action.address] = net::link::connect(
        this->io, action.address,
        {.on_open =
             [this](std::shared_ptr<net::link> const& link)
         {
             auto hello = this->callbacks.make_hello();
             hello.snapshot.reset();
             hello.for_cancels = true;
             link->send(encode_frame(hello));
         },
         .on_message = [this, address = action.address](std::shared_ptr<net::link> const& link,
                                                        wire::link_message const& message)
         { this->handle_message(address, *link, message); },
         .on_closed =
             [this, address = action.address](std::shared_ptr<net::link> const& link,
                                              base::error<net::net_error> const& error)
         {
             if (this->is_current(address, *link))
             {
                 this->links.erase(address);
                 this->decision.link_closed(address, error.code == net::net_error::refused);
                 this->schedule_run();
             }
         }},
        nullptr, this->link_limits);
}

void cancel_exchange::execute(dispatch::close_peer_link const& action)
{
    if (auto const node = this->links.extract(action.address))
    {
        node.mapped()->close();
    }
}

void cancel_exchange::execute(dispatch::send_cancel_query const& action)
{
    this->outgoing[action.address].cancel_queries.push_back({action.number, action.key});
}

void cancel_exchange::execute(dispatch::answer_cancel const& action)
{
    this->counter_for(action.result).increment();
    this->latency.observe(std::chrono::duration<double>(action.latency).count());
    this->log_answer(action);
    if (auto const node = this->cancel_handlers.extract(action.caller))
    {
        node.mapped()(action.result);
    }
}

void cancel_exchange::log_answer(dispatch::answer_cancel const& action)
{
    auto const now = this->clock.steady_now();
    if (now - this->log_window_started >= milliseconds(1'000))
    {
        this->log_window_started = now;
        this->lines_in_window = 0;
    }
    if (this->lines_in_window >= max_lines_per_second)
    {
        ++this->left_out;
        return;
    }
    ++this->lines_in_window;
    this->log.write(events::cancel_decided,
                    {{"key", action.key},
                     {"result", std::string(to_string(action.result))},
                     {"missing", join(action.missing)},
                     {"held_ms", std::to_string(action.latency.count())},
                     {"left_out", std::to_string(std::exchange(this->left_out, 0))}});
}

bool cancel_exchange::is_current(std::string const& address, net::link const& link) const
{
    auto const found = this->links.find(address);
    return found != this->links.end() && found->second.get() == &link;
}

void cancel_exchange::handle_message(std::string const& address, net::link const& link,
                                     wire::link_message const& message)
{
    if (!this->is_current(address, link))
    {
        return;
    }
    auto content = decode_frame(message, frame_receiver::entry);
    if (!content)
    {
        this->log.write(events::bad_input, {{"reason", "link message without a dispatch frame"}});
        return;
    }
    if (content->sender_entry)
    {
        auto const name = content->sender_entry->name;
        this->callbacks.on_hello(*content);
        this->decision.peer_identified(address, name);
    }
    this->decision.message_received(address);
    for (auto const& reply : content->cancel_replies)
    {
        this->decision.answer_received(address, reply.number, reply.held);
    }
    this->schedule_run();
}

} // namespace filbertroad::node::internal

#include "filbertroad/server/entry_core.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace filbertroad::server
{
namespace
{

constexpr std::chrono::milliseconds status_timeout{500};

std::string_view to_string(control::confirmation_source source)
{
    switch (source)
    {
    case control::confirmation_source::log:
        return "log";
    case control::confirmation_source::peer:
        return "peer";
    case control::confirmation_source::outage:
        return "outage";
    case control::confirmation_source::none:
        break;
    }
    return "none";
}

/// Collects the status replies of several members; thread-safe.
struct status_collection
{
    std::mutex lock;
    std::vector<wire::status_reply> replies;
    /// Members that have neither replied nor failed.
    std::size_t outstanding = 0;
    std::function<void(std::vector<wire::status_reply>)> handler;

    /// Adds a member's reply, or null if the member did not reply.
    void add(wire::status_reply const* reply)
    {
        std::unique_lock guard(this->lock);
        if (reply != nullptr)
        {
            this->replies.push_back(*reply);
        }
        if (--this->outstanding == 0)
        {
            auto all_replies = std::move(this->replies);
            guard.unlock();
            this->handler(std::move(all_replies));
        }
    }
};

} // namespace

wire::status_reply entry_core::status() const
{
    wire::status_reply reply;
    *reply.mutable_entry() = this->self_member;
    this->local_shards.add_status(reply);
    reply.set_state_offset(this->state_controller.state()->version());
    reply.set_confirmation_age_ms(this->state_controller.pong().confirmation_age_ms());
    reply.set_confirmation(std::string(to_string(this->state_controller.source())));
    return reply;
}

void entry_core::collect_status(std::function<void(std::vector<wire::status_reply>)> handler)
{
    auto const collection = std::make_shared<status_collection>();
    auto const entries = this->links.linked_entries();
    collection->outstanding = entries.size() + 1;
    collection->handler = std::move(handler);
    auto const own = this->status();
    collection->add(&own);
    wire::request request;
    request.mutable_status();
    for (auto const& entry : entries)
    {
        this->peers.send(entry, request, status_timeout,
                         [collection](peer_result const& result)
                         {
                             bool const has_status = result && result.value().has_status();
                             collection->add(has_status ? &result.value().status() : nullptr);
                         });
    }
}

void entry_core::update_metrics()
{
    auto& metrics = this->metric_registry;
    auto const counters = this->links.counters();
    metrics.add_gauge("filbertroad_link_messages_sent", "Messages sent on links.")
        .set(static_cast<double>(counters.messages_sent));
    metrics.add_gauge("filbertroad_link_messages_received", "Messages received on links.")
        .set(static_cast<double>(counters.messages_received));
    metrics.add_gauge("filbertroad_link_bytes_sent", "Bytes sent on links.")
        .set(static_cast<double>(counters.bytes_sent));
    metrics.add_gauge("filbertroad_link_bytes_received", "Bytes received on links.")
        .set(static_cast<double>(counters.bytes_received));
    metrics.add_gauge("filbertroad_state_version", "Offset of the last accepted control record.")
        .set(static_cast<double>(this->state_controller.state()->version()));
    metrics.add_gauge("filbertroad_confirmed", "1 while the control state is confirmed.")
        .set(this->state_controller.is_confirmed() ? 1 : 0);
    metrics.add_gauge("filbertroad_linked_agents", "Agents with a link to this entry.")
        .set(static_cast<double>(this->links.active_agents(control::agent_link_max_age).size()));
    wire::status_reply status;
    this->local_shards.add_status(status);
    for (auto const& queue : status.queues())
    {
        telemetry::metric_labels const labels{{"service", queue.service()},
                                              {"shard", std::to_string(queue.shard())}};
        metrics.add_gauge("filbertroad_queued_tasks", "Tasks that wait for a target.", labels)
            .set(queue.queued());
        metrics.add_gauge("filbertroad_running_tasks", "Tasks sent to targets.", labels)
            .set(queue.running());
        metrics
            .add_gauge("filbertroad_oldest_queued_seconds", "Age of the oldest queued task.",
                       labels)
            .set(queue.oldest_ms() / 1000.0);
    }
}

void entry_core::log_confirmation_change(control::confirmation_source source)
{
    using control::confirmation_source;
    telemetry::event_field const source_field{"source", std::string(to_string(source))};
    if (source == confirmation_source::none)
    {
        this->log.write(telemetry::events::confirmation_lost);
    }
    else if (source == confirmation_source::outage)
    {
        this->log.write(telemetry::events::outage_mode);
    }
    else
    {
        this->log.write(telemetry::events::confirmed, {source_field});
    }
}

void entry_core::log_record(wire::control_record const& record, std::uint64_t offset,
                            control::apply_result const& apply_result)
{
    namespace events = telemetry::events;
    telemetry::event_field const offset_field{"offset", std::to_string(offset)};
    bool const accepted = apply_result.outcome == control::apply_outcome::accepted;
    if (apply_result.outcome == control::apply_outcome::conflict)
    {
        this->log.write(events::configuration_conflict,
                        {offset_field, {"reason", apply_result.detail}});
    }
    else if (accepted && record.has_table())
    {
        this->log.write(events::configuration_accepted,
                        {offset_field, {"author", record.table().author()}});
    }
    else if (accepted && record.has_zone())
    {
        this->log.write(events::zone_changed,
                        {offset_field,
                         {"zone", record.zone().name()},
                         {"in_service", record.zone().in_service() ? "true" : "false"}});
    }
    else if (accepted && record.has_target())
    {
        this->log.write(events::target_changed,
                        {offset_field,
                         {"target", record.target().name()},
                         {"in_service", record.target().in_service() ? "true" : "false"}});
    }
    else if (accepted && record.has_joined())
    {
        this->log.write(events::member_joined,
                        {offset_field, {"entry", record.joined().entry().id().name()}});
    }
    else if (accepted && record.has_left())
    {
        this->log.write(events::member_left,
                        {offset_field, {"entry", record.left().entry().name()}});
    }
    else if (accepted && record.has_vote() && apply_result.view_changed)
    {
        this->log.write(events::member_removed,
                        {offset_field, {"entry", record.vote().subject().name()}});
    }
    else if (accepted && record.has_replaced())
    {
        this->log.write(events::view_replaced, {offset_field});
    }
}

} // namespace filbertroad::server

#include "filbertroad/node/frame.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace filbertroad::node
{
namespace
{

/// Longest text of a status, and most routes that it names.
constexpr std::size_t max_status_text_bytes = 1'024;
constexpr int max_crash_routes = 64;

using dispatch::milliseconds;

void write(dispatch::run_id const& id, wire::run_ref& out)
{
    out.set_task(id.task);
    out.set_run(id.run);
}

dispatch::run_id read(wire::run_ref const& in)
{
    return {in.task(), in.run()};
}

void write(model::resources const& resources, wire::task_room& out)
{
    out.set_cpu_milli(resources.cpu);
    out.set_memory_mb(resources.memory_mb);
    out.set_accelerators(resources.accelerators);
}

model::resources read(wire::task_room const& in)
{
    return {in.cpu_milli(), in.memory_mb(), in.accelerators()};
}

std::uint32_t to_wire(milliseconds time)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(time.count(), 0));
}

void write(dispatch::start_order const& order, wire::run_order& out)
{
    write(order.id, *out.mutable_id());
    out.set_payload(order.payload.str());
    write(order.resources, *out.mutable_room());
    out.set_estimate_ms(to_wire(order.estimate));
    out.set_priority(order.priority);
    out.set_useful_for_ms(to_wire(order.queue_timeout));
    out.set_route(order.route);
    for (auto const& label : order.required_labels)
    {
        out.add_required_labels(label);
    }
    out.set_max_per_target(order.max_per_target);
}

dispatch::start_order read(wire::run_order const& in)
{
    return {.id = read(in.id()),
            .payload = in.payload(),
            .resources = read(in.room()),
            .estimate = milliseconds(in.estimate_ms()),
            .priority = in.priority(),
            .queue_timeout = milliseconds(in.useful_for_ms()),
            .route = in.route(),
            .required_labels = {in.required_labels().begin(), in.required_labels().end()},
            .max_per_target = in.max_per_target()};
}

wire::run_outcome to_wire(dispatch::run_end end)
{
    switch (end)
    {
    case dispatch::run_end::succeeded:
        return wire::run_outcome_succeeded;
    case dispatch::run_end::failed:
        return wire::run_outcome_failed;
    case dispatch::run_end::not_started:
        return wire::run_outcome_not_started;
    case dispatch::run_end::lost:
        break;
    }
    return wire::run_outcome_lost;
}

/// An outcome that this version does not define is read as lost: the run may have started, and its
/// result is not known.
dispatch::run_end read(wire::run_outcome in)
{
    switch (in)
    {
    case wire::run_outcome_succeeded:
        return dispatch::run_end::succeeded;
    case wire::run_outcome_failed:
        return dispatch::run_end::failed;
    case wire::run_outcome_not_started:
        return dispatch::run_end::not_started;
    default:
        return dispatch::run_end::lost;
    }
}

void write(dispatch::run_report const& report, wire::run_outcome_report& out)
{
    write(report.id, *out.mutable_id());
    out.set_outcome(to_wire(report.end));
    out.set_reason(report.reason);
    out.set_elapsed_ms(to_wire(report.elapsed));
    out.set_target_lost(report.target_lost);
}

dispatch::run_report read(wire::run_outcome_report const& in)
{
    return {.id = read(in.id()),
            .end = read(in.outcome()),
            .reason = in.reason(),
            .elapsed = milliseconds(in.elapsed_ms()),
            .target_lost = in.target_lost()};
}

wire::target_progress to_wire(dispatch::target_progress_state progress)
{
    switch (progress)
    {
    case dispatch::target_progress_state::normal:
        return wire::target_progress_normal;
    case dispatch::target_progress_state::delayed:
        return wire::target_progress_delayed;
    case dispatch::target_progress_state::unknown:
        break;
    }
    return wire::target_progress_unset;
}

dispatch::target_progress_state read(wire::target_progress progress)
{
    switch (progress)
    {
    case wire::target_progress_normal:
        return dispatch::target_progress_state::normal;
    case wire::target_progress_delayed:
        return dispatch::target_progress_state::delayed;
    default:
        return dispatch::target_progress_state::unknown;
    }
}

void write_details(dispatch::target_status const& status, wire::agent_load& out)
{
    out.set_service(status.service);
    out.set_zone(status.zone);
    write(status.capacity, *out.mutable_capacity());
    for (double const share : status.class_load)
    {
        out.add_class_load(share);
    }
    out.set_crash_count(status.crash_count);
    for (auto const& route : status.crash_routes)
    {
        out.add_crash_routes(route);
    }
    out.set_progress(to_wire(status.progress));
    out.set_target_kind(status.labels.kind);
    out.set_target_rack(status.labels.rack);
}

void write(dispatch::target_status const& status, wire::agent_load& out)
{
    out.set_stamp_ms(status.stamp_ms);
    out.set_snapshot_offset(status.snapshot_offset);
    out.set_starts_seen(status.starts_seen);
    out.set_accepting(status.accepting);
    write(status.free, *out.mutable_free());
    out.set_running_work(status.running_work);
    bool const has_queue = std::any_of(status.queued_work.begin(), status.queued_work.end(),
                                       [](double work) { return work != 0; });
    if (has_queue)
    {
        out.mutable_queued_work()->Add(status.queued_work.begin(), status.queued_work.end());
    }
    out.set_speed(status.speed);
}

dispatch::target_status read(wire::agent_load const& in)
{
    dispatch::target_status status;
    status.stamp_ms = in.stamp_ms();
    status.snapshot_offset = in.snapshot_offset();
    status.starts_seen = in.starts_seen();
    status.accepting = in.accepting();
    status.service = in.service();
    status.zone = in.zone();
    status.capacity = read(in.capacity());
    status.free = read(in.free());
    status.running_work = in.running_work();
    auto const classes = std::min<std::size_t>(static_cast<std::size_t>(in.queued_work_size()),
                                               dispatch::priority_classes);
    std::copy_n(in.queued_work().begin(), classes, status.queued_work.begin());
    status.speed = in.speed() > 0 ? in.speed() : 1;
    auto const shares = std::min<std::size_t>(static_cast<std::size_t>(in.class_load_size()),
                                              dispatch::priority_classes);
    std::copy_n(in.class_load().begin(), shares, status.class_load.begin());
    status.crash_count = in.crash_count();
    status.crash_routes.assign(in.crash_routes().begin(), in.crash_routes().end());
    status.progress = read(in.progress());
    status.labels = {in.target_kind(), in.target_rack()};
    return status;
}

void write(dispatch::control_snapshot const& snapshot, wire::dispatch_snapshot& out)
{
    out.set_offset(snapshot.offset);
    out.set_version(snapshot.version);
    for (auto const& route : snapshot.routes)
    {
        auto& added = *out.add_routes();
        added.set_name(route.name);
        added.set_host(route.host);
        added.set_path_prefix(route.path_prefix);
        added.set_service(route.service);
        added.set_priority(route.priority);
        added.set_max_attempts(route.max_attempts);
        added.set_stretch(route.stretch);
        added.set_target_latency_ms(to_wire(route.target_latency));
    }
    for (auto const& zone : snapshot.zones_out)
    {
        out.add_zones_out(zone);
    }
}

/// Whether the texts of a status are not too long to be kept for each agent.
bool is_bounded(wire::agent_load const& in)
{
    auto const is_short = [](std::string const& text)
    { return text.size() <= max_status_text_bytes; };
    return is_short(in.service()) && is_short(in.zone()) && is_short(in.target_kind()) &&
           is_short(in.target_rack()) && in.crash_routes_size() <= max_crash_routes &&
           std::all_of(in.crash_routes().begin(), in.crash_routes().end(), is_short);
}

dispatch::control_snapshot read(wire::dispatch_snapshot const& in)
{
    dispatch::control_snapshot snapshot;
    snapshot.offset = in.offset();
    snapshot.version = in.version();
    for (auto const& route : in.routes())
    {
        snapshot.routes.push_back({.name = route.name(),
                                   .host = route.host(),
                                   .path_prefix = route.path_prefix(),
                                   .service = route.service(),
                                   .priority = route.priority(),
                                   .max_attempts = route.max_attempts(),
                                   .stretch = route.stretch(),
                                   .target_latency = milliseconds(route.target_latency_ms())});
    }
    snapshot.zones_out.insert(in.zones_out().begin(), in.zones_out().end());
    return snapshot;
}

void write(dispatch::process_id const& process, wire::process_greeting& out)
{
    out.set_name(process.name);
    out.set_incarnation(process.incarnation);
}

dispatch::process_id read(wire::process_greeting const& in)
{
    return {in.name(), in.incarnation()};
}

/// Writes orders to the messages that `add` returns. Tasks of a job share their payload, so that it
/// is sent once for those in the same list if `shares_payloads`.
template <class Add>
void write_sharing(std::span<dispatch::start_order const> orders, bool shares_payloads, Add add)
{
    dispatch::start_order const* previous = nullptr;
    for (auto const& order : orders)
    {
        wire::run_order& added = add();
        write(order, added);
        if (shares_payloads && previous != nullptr && previous->payload == order.payload)
        {
            added.clear_payload();
            added.set_payload_of_previous(true);
        }
        previous = &order;
    }
}

void write_starts(frame const& content, std::uint32_t receiver_protocol, wire::dispatch_frame& out)
{
    write_sharing(
        content.starts, receiver_protocol >= 1, [&]() -> auto& { return *out.add_starts(); });
}

void write_orders(frame const& content, std::uint32_t receiver_protocol, wire::dispatch_frame& out)
{
    if (content.resume)
    {
        auto& resumed = *out.mutable_resume();
        write_sharing(
            *content.resume,
            receiver_protocol >= 2, [&]() -> auto& { return *resumed.add_orders(); });
    }
    for (auto const& id : content.cancels)
    {
        write(id, *out.add_cancels());
    }
    for (auto const& id : content.acknowledged)
    {
        write(id, *out.add_acknowledged());
    }
}

/// Returns false if an order refers to the payload of a previous one and there is none.
template <class Orders>
[[nodiscard]] bool read_sharing(Orders const& in, std::vector<dispatch::start_order>& out)
{
    for (auto const& order : in)
    {
        auto added = read(order);
        if (order.payload_of_previous())
        {
            if (out.empty())
            {
                return false;
            }
            added.payload = out.back().payload;
        }
        out.push_back(std::move(added));
    }
    return true;
}

/// Returns false if an order refers to a payload that the frame does not have.
[[nodiscard]] bool read_orders(wire::dispatch_frame const& in, frame& out)
{
    if (!read_sharing(in.starts(), out.starts))
    {
        return false;
    }
    if (in.has_resume())
    {
        out.resume.emplace();
        if (!read_sharing(in.resume().orders(), *out.resume))
        {
            return false;
        }
    }
    for (auto const& id : in.cancels())
    {
        out.cancels.push_back(read(id));
    }
    for (auto const& id : in.acknowledged())
    {
        out.acknowledged.push_back(read(id));
    }
    return true;
}

void write_cancels(frame const& content, wire::dispatch_frame& out)
{
    for (auto const& query : content.cancel_queries)
    {
        auto& added = *out.add_cancel_queries();
        added.set_number(query.number);
        added.set_key(query.key);
    }
    for (auto const& reply : content.cancel_replies)
    {
        auto& added = *out.add_cancel_replies();
        added.set_number(reply.number);
        added.set_held(reply.held);
    }
    if (content.linked_entries)
    {
        out.mutable_linked_entries()->mutable_names()->Add(content.linked_entries->begin(),
                                                           content.linked_entries->end());
    }
    out.set_for_cancels(content.for_cancels);
}

void read_cancels(wire::dispatch_frame const& in, frame& out)
{
    for (auto const& query : in.cancel_queries())
    {
        out.cancel_queries.push_back({query.number(), query.key()});
    }
    for (auto const& reply : in.cancel_replies())
    {
        out.cancel_replies.push_back({reply.number(), reply.held()});
    }
    if (in.has_linked_entries())
    {
        auto const& names = in.linked_entries().names();
        out.linked_entries.emplace(names.begin(), names.end());
    }
    out.for_cancels = in.for_cancels();
}

} // namespace

wire::link_message encode_frame(frame const& content, std::uint32_t receiver_protocol)
{
    wire::link_message message;
    auto& out = *message.mutable_dispatch();
    if (content.sender_agent)
    {
        write(*content.sender_agent, *out.mutable_agent());
        out.mutable_agent()->set_protocol_version(protocol_version);
    }
    if (content.sender_entry)
    {
        write(*content.sender_entry, *out.mutable_entry());
        out.mutable_entry()->set_protocol_version(protocol_version);
    }
    write_starts(content, receiver_protocol, out);
    write_orders(content, receiver_protocol, out);
    if (content.status)
    {
        write(*content.status, *out.mutable_load());
        if (content.has_status_details || receiver_protocol == 0)
        {
            write_details(*content.status, *out.mutable_load());
        }
    }
    if (content.heartbeat)
    {
        out.mutable_echo()->set_echoed_stamp_ms(content.heartbeat->echoed_stamp_ms);
        out.mutable_echo()->set_snapshot_offset(content.heartbeat->snapshot_offset);
    }
    for (auto const& report : content.reports)
    {
        write(report, *out.add_reports());
    }
    if (content.snapshot)
    {
        write(*content.snapshot, *out.mutable_snapshot());
    }
    out.set_wants_snapshot(content.wants_snapshot);
    for (auto const& entry : content.entries)
    {
        auto& added = *out.add_entries();
        added.set_name(entry.name);
        added.set_link(entry.link);
    }
    write_cancels(content, out);
    return message;
}

std::optional<frame> decode_frame(wire::link_message const& message, frame_receiver receiver)
{
    if (!message.has_dispatch())
    {
        return std::nullopt;
    }
    auto const& in = message.dispatch();
    if (in.has_load() && !is_bounded(in.load()))
    {
        return std::nullopt;
    }
    frame out;
    if (in.has_agent())
    {
        out.sender_agent = read(in.agent());
        out.sender_protocol = in.agent().protocol_version();
    }
    if (in.has_entry())
    {
        out.sender_entry = read(in.entry());
        out.sender_protocol = in.entry().protocol_version();
    }
    if (receiver == frame_receiver::agent && !read_orders(in, out))
    {
        return std::nullopt;
    }
    if (in.has_load())
    {
        out.status = read(in.load());
        out.has_status_details = in.load().has_capacity();
    }
    if (in.has_echo())
    {
        out.heartbeat =
            dispatch::entry_heartbeat{in.echo().echoed_stamp_ms(), in.echo().snapshot_offset()};
    }
    for (auto const& report : in.reports())
    {
        out.reports.push_back(read(report));
    }
    if (in.has_snapshot())
    {
        out.snapshot = read(in.snapshot());
    }
    out.wants_snapshot = in.wants_snapshot();
    for (auto const& entry : in.entries())
    {
        out.entries.push_back({entry.name(), entry.link()});
    }
    read_cancels(in, out);
    return out;
}

} // namespace filbertroad::node

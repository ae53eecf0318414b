#include "filbertroad/dispatch/run_agent.hpp"

#include "filbertroad/dispatch/internal/elapsed.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace filbertroad::dispatch
{

using internal::agent_run;
using internal::run_state;

namespace
{

/// Remaining time assumed for a run that has exceeded its estimate, so that it still counts as
/// load.
constexpr double min_remaining_ms = 20;

std::uint64_t to_ms(base::steady_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

double core_count(model::resources const& resources)
{
    return static_cast<double>(resources.cpu) / 1000;
}

/// Time for which a run that was lost with its target was known to run. The time until the loss was
/// certain says nothing about the speed of the target.
milliseconds time_until_target_lost(agent_run const& run)
{
    if (!run.is_start_confirmed)
    {
        return milliseconds(0);
    }
    auto const end = std::max(run.started, run.target_last_heard);
    return std::max(internal::elapsed(run.started, end), milliseconds(1));
}

std::size_t class_of(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, priority_classes - 1);
}

} // namespace

run_agent::run_agent(base::clock const& clock, std::string zone, agent_limits limits,
                     std::uint64_t fencing_token)
    : clock(clock), zone(std::move(zone)), limits(limits), fencing_token(fencing_token),
      token_after_restart(fencing_token)
{
}

void run_agent::target_announced(target_announcement const& announcement)
{
    if (!this->announcements.receive(announcement, this->clock.steady_now()))
    {
        return;
    }
    bool const has_answered = this->listed_incarnation != 0;
    this->use_announcement(has_answered ? this->listed_incarnation : announcement.incarnation);
    this->start_queued();
    this->mark_status_changed();
}

void run_agent::use_announcement(std::uint64_t incarnation)
{
    auto const* const announcement = this->announcements.find(incarnation);
    if (announcement == nullptr)
    {
        return;
    }
    this->target = *announcement;
    if (announcement->draining)
    {
        this->leaving_incarnation = announcement->incarnation;
        this->return_queued_runs("target draining");
    }
}

std::string run_agent::answering_process() const
{
    bool const is_announced = this->target && this->target->incarnation == this->listed_incarnation;
    return is_announced ? this->target->name : std::string();
}

void run_agent::target_removed(std::string_view name)
{
    this->announcements.remove(name);
    if (this->target && this->target->name == name)
    {
        this->leaving_incarnation = this->target->incarnation;
        this->target.reset();
        this->return_queued_runs("target left");
        this->mark_status_changed();
    }
}

void run_agent::entry_connected(process_id const& entry)
{
    auto& session = this->sessions[entry.name];
    if (session.incarnation != entry.incarnation)
    {
        this->runs.for_each(
            [&](agent_run& run)
            {
                if (run.entry == entry.name && run.state != run_state::queued)
                {
                    this->stop(run, "entry restarted");
                }
            });
        session = {};
        session.incarnation = entry.incarnation;
        for (auto const& task : this->runs.queued())
        {
            if (this->runs.find(task)->entry == entry.name)
            {
                this->runs.erase(task);
            }
        }
    }
    session.starts_seen = 0;
    for (auto const& [task, report] : session.unacknowledged)
    {
        this->actions.emplace_back(send_report{entry.name, report});
    }
    this->mark_status_changed();
}

void run_agent::entry_heartbeat_received(std::string_view entry, std::uint64_t echoed_stamp_ms)
{
    auto const found = this->sessions.find(entry);
    if (found == this->sessions.end() || echoed_stamp_ms > to_ms(this->clock.steady_now()))
    {
        return;
    }
    auto const stamp = base::steady_time(milliseconds(echoed_stamp_ms));
    auto& until = found->second.entry_lease_until;
    until = std::max(until, stamp + this->limits.entry_lease);
    this->start_queued();
}

void run_agent::start_ordered(std::string_view entry, start_order order)
{
    auto const found = this->sessions.find(entry);
    if (found == this->sessions.end())
    {
        return;
    }
    ++found->second.starts_seen;
    auto const task = order.id.task;
    bool const must_start_now = order.queue_timeout == milliseconds(0);
    this->enqueue(entry, std::move(order));
    this->start_queued();
    auto const* const run = must_start_now ? this->runs.find(task) : nullptr;
    if (run != nullptr && run->state == run_state::queued)
    {
        this->end_run(task, run_end::not_started, "no room");
    }
}

void run_agent::runs_resumed(std::string_view entry, std::vector<start_order> orders)
{
    if (!this->sessions.contains(entry))
    {
        return;
    }
    std::set<std::string> requested_tasks;
    for (auto const& order : orders)
    {
        requested_tasks.insert(order.id.task);
    }
    std::vector<std::string> obsolete_tasks;
    this->runs.for_each(
        [&](agent_run const& run)
        {
            if (run.entry == entry && !requested_tasks.contains(run.order.id.task))
            {
                obsolete_tasks.push_back(run.order.id.task);
            }
        });
    for (auto const& task : obsolete_tasks)
    {
        this->stop(*this->runs.find(task), "no longer wanted");
    }
    for (auto& order : orders)
    {
        this->enqueue(entry, std::move(order));
    }
    this->start_queued();
}

void run_agent::enqueue(std::string_view entry, start_order order)
{
    auto& session = this->sessions.find(entry)->second;
    auto const previous_report = session.unacknowledged.find(order.id.task);
    if (previous_report != session.unacknowledged.end())
    {
        if (previous_report->second.id.run >= order.id.run)
        {
            this->actions.emplace_back(send_report{std::string(entry), previous_report->second});
            return;
        }
        session.unacknowledged.erase(previous_report);
    }
    std::string_view refusal = this->unavailable_reason();
    if (auto* const existing = this->runs.find(order.id.task))
    {
        if (existing->entry == entry && existing->order.id == order.id)
        {
            return;
        }
        this->stop(*existing, "replaced by another run");
        // stop() has removed a queued run. A started run blocks the task until it has certainly
        // ended.
        if (this->runs.find(order.id.task) != nullptr)
        {
            refusal = "an earlier run of the task is not over";
        }
    }
    if (!refusal.empty())
    {
        run_report report{
            .id = order.id, .end = run_end::not_started, .reason = std::string(refusal)};
        session.unacknowledged[order.id.task] = report;
        this->actions.emplace_back(send_report{std::string(entry), std::move(report)});
        return;
    }
    this->runs.add(entry, std::move(order), this->clock.steady_now());
    this->mark_status_changed();
}

void run_agent::cancel_ordered(std::string_view entry, run_id const& id)
{
    auto* const run = this->runs.find(id.task);
    if (run == nullptr || run->entry != entry || run->order.id != id)
    {
        return;
    }
    if (this->withdraw_start(*run))
    {
        this->end_run(id.task, run_end::not_started, cancelled_reason);
    }
    else
    {
        this->stop(*run, cancelled_reason);
    }
    this->start_queued();
}

void run_agent::report_acknowledged(std::string_view entry, run_id const& id)
{
    auto const found = this->sessions.find(entry);
    if (found == this->sessions.end())
    {
        return;
    }
    auto& reports = found->second.unacknowledged;
    auto const report = reports.find(id.task);
    if (report != reports.end() && report->second.id == id)
    {
        reports.erase(report);
    }
}

void run_agent::set_zone_out_of_service(bool is_out)
{
    if (std::exchange(this->zone_out_of_service, is_out) == is_out)
    {
        return;
    }
    if (is_out)
    {
        this->return_queued_runs("zone out of service");
    }
    this->mark_status_changed();
}

void run_agent::begin_shutdown()
{
    this->shutting_down = true;
    this->return_queued_runs("agent stopping");
    this->mark_status_changed();
}

std::string_view run_agent::unavailable_reason() const
{
    if (this->shutting_down)
    {
        return "agent stopping";
    }
    if (this->zone_out_of_service)
    {
        return "zone out of service";
    }
    if (!this->target)
    {
        return "no target";
    }
    if (this->target->draining)
    {
        return "target draining";
    }
    if (!this->is_reachable() || this->target->incarnation != this->listed_incarnation)
    {
        return "target unreachable";
    }
    if (!this->recovered || this->has_unknown_runs)
    {
        return "earlier runs not over";
    }
    // A start would extend the lease of every run on the target.
    if (this->is_lease_withheld())
    {
        return "stop unconfirmed";
    }
    // A target that has not answered since it refused a start may have crashed.
    if (this->clock.steady_now() < this->backoff_until ||
        this->target_clock_at < this->last_unhealthy)
    {
        return "target unhealthy";
    }
    return {};
}

bool run_agent::has_work_for(std::string_view entry) const
{
    auto const session = this->sessions.find(entry);
    bool has_work = session != this->sessions.end() && !session->second.unacknowledged.empty();
    this->runs.for_each([&](agent_run const& run) { has_work = has_work || run.entry == entry; });
    return has_work;
}

base::steady_time run_agent::entry_lease_end(std::string_view entry) const
{
    auto const found = this->sessions.find(entry);
    return found == this->sessions.end() ? base::steady_time{} : found->second.entry_lease_until;
}

bool run_agent::has_entry_lease(std::string_view entry) const
{
    return this->clock.steady_now() < this->entry_lease_end(entry);
}

void run_agent::start_queued()
{
    if (!this->runs.has_queued() || !this->unavailable_reason().empty())
    {
        return;
    }
    // Only the run of each turn is changed, so that the next one stays queued.
    for (auto* next = this->runs.first_queued(); next != nullptr;)
    {
        auto& run = *next;
        next = this->runs.queued_after(run);
        // The capacity may have shrunk since the run was sent here. It can still run elsewhere.
        if (!this->target->capacity.can_fit(run.order.resources))
        {
            this->end_run(run.order.id.task, run_end::not_started, "exceeds the capacity");
            continue;
        }
        // The target may be another kind of machine since.
        bool const has_labels = std::all_of(
            run.order.required_labels.begin(), run.order.required_labels.end(),
            [&](std::string const& label) { return this->target->labels.contains(label); });
        if (!has_labels)
        {
            this->end_run(run.order.id.task, run_end::not_started, "target lacks a required label");
            continue;
        }
        if (this->is_step_limit_reached(run.order))
        {
            continue;
        }
        if (!this->has_entry_lease(run.entry) || this->does_lease_outlast(run.entry))
        {
            continue;
        }
        auto free = this->target->capacity;
        free -= this->runs.allocated();
        // Starting smaller tasks first would starve the first task: the free resources would never
        // become large enough for it.
        if (!free.can_fit(run.order.resources))
        {
            return;
        }
        this->start(run);
    }
}

bool run_agent::is_step_limit_reached(start_order const& order) const
{
    return order.max_per_target != 0 && this->runs.present_of_step(order) >= order.max_per_target;
}

void run_agent::start(agent_run& run)
{
    this->runs.change(run, run_state::starting);
    run.started = this->clock.steady_now();
    run.order_number = ++this->last_order_number;
    run.fencing_token = this->fencing_token;
    this->actions.emplace_back(start_run{{run.order.id.task, run.target_run},
                                         run.order_number,
                                         this->answering_process(),
                                         run.order.payload,
                                         this->grant_lease(),
                                         this->fencing_token});
    this->mark_status_changed();
}

void run_agent::stop(agent_run& run, std::string_view reason)
{
    if (run.state == run_state::queued)
    {
        auto const task = run.order.id.task;
        this->end_run(task, run_end::not_started, reason);
        return;
    }
    if (run.state == run_state::stopping)
    {
        return;
    }
    this->runs.change(run, run_state::stopping);
    run.stop_reason = reason;
    // The entry counts from the end of its lease, which this agent may notice late.
    run.stop_due = std::min(this->clock.steady_now(), this->entry_lease_end(run.entry));
    this->send_stop(run);
}

bool run_agent::withdraw_start(agent_run const& run)
{
    run_id const id{run.order.id.task, run.target_run};
    return std::erase_if(this->actions,
                         [&](agent_action const& action)
                         {
                             auto const* const start = std::get_if<start_run>(&action);
                             return start != nullptr && start->id == id;
                         }) > 0;
}

void run_agent::send_stop(agent_run& run)
{
    run.stop_sent = this->clock.steady_now();
    run.is_stop_answered = false;
    this->actions.emplace_back(stop_run{
        {run.order.id.task, run.target_run}, this->answering_process(), this->fencing_token});
}

void run_agent::return_queued_runs(std::string_view reason)
{
    for (auto const& task : this->runs.queued())
    {
        this->end_run(task, run_end::not_started, reason);
    }
}

void run_agent::end_run(std::string const& task, run_end end, std::string_view reason)
{
    auto const* const run = this->runs.find(task);
    bool const was_started = run->state != run_state::queued;
    run_report report{.id = run->order.id, .end = end, .reason = std::string(reason)};
    report.target_lost = end == run_end::lost && run->is_target_lost;
    report.queued =
        internal::elapsed(run->arrived, was_started ? run->started : this->clock.steady_now());
    if (was_started)
    {
        report.elapsed = report.target_lost
                             ? time_until_target_lost(*run)
                             : internal::elapsed(run->started, this->clock.steady_now());
    }
    auto const expected = static_cast<double>(run->order.estimate.count()) / this->speed.value();
    bool const was_slow = static_cast<double>(report.elapsed.count()) > expected;
    if (end == run_end::lost && was_slow)
    {
        this->observe_speed(*run, report.elapsed);
    }
    auto const entry = run->entry;
    if (was_started)
    {
        auto const now = this->clock.steady_now();
        this->recently_ended_runs[task] = {run->target_run, now};
        this->load.add(
            class_of(run->order.priority),
            static_cast<double>(report.elapsed.count()) * core_count(run->order.resources), now);
    }
    this->runs.erase(std::string(task));
    if (auto const session = this->sessions.find(entry); session != this->sessions.end())
    {
        session->second.unacknowledged[report.id.task] = report;
        this->actions.emplace_back(send_report{entry, std::move(report)});
    }
    this->mark_status_changed();
}

std::vector<agent_action> run_agent::take_actions()
{
    if (std::exchange(this->status_changed, false))
    {
        this->actions.emplace_back(publish_status{});
    }
    return std::exchange(this->actions, {});
}

target_status run_agent::make_status(std::string_view entry) const
{
    auto const now = this->clock.steady_now();
    target_status status;
    status.stamp_ms = to_ms(now);
    status.accepting = this->unavailable_reason().empty();
    status.zone = this->zone;
    status.speed = this->current_speed();
    status.progress = this->progress.is_delayed() ? target_progress_state::delayed
                                                  : target_progress_state::normal;
    if (auto const found = this->sessions.find(entry); found != this->sessions.end())
    {
        status.starts_seen = found->second.starts_seen;
    }
    status.crash_count = this->crash_count;
    if (now - this->crashed_at < this->limits.crash_report_time)
    {
        status.crash_routes = this->crash_routes;
    }
    if (this->target)
    {
        status.service = this->target->service;
        status.capacity = this->target->capacity;
        status.labels = this->target->labels;
        status.free = status.capacity;
        status.free -= this->runs.allocated();
        for (std::size_t priority_class = 0; priority_class < priority_classes; ++priority_class)
        {
            status.class_load[priority_class] =
                this->load.share(priority_class, core_count(status.capacity), now);
        }
    }
    this->runs.for_each(
        [&](agent_run const& run)
        {
            auto const expected = static_cast<double>(run.order.estimate.count()) / status.speed;
            auto const cores = core_count(run.order.resources);
            if (run.state == run_state::queued)
            {
                status.queued_work[class_of(run.order.priority)] += expected * cores;
                return;
            }
            auto const elapsed = static_cast<double>(internal::elapsed(run.started, now).count());
            status.running_work += std::max(expected - elapsed, min_remaining_ms) * cores;
        });
    return status;
}

} // namespace filbertroad::dispatch

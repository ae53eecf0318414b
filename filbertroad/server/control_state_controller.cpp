#include "filbertroad/server/control_state_controller.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace filbertroad::server
{
namespace
{

std::int64_t to_ns(base::steady_time time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

std::string change_id_of(wire::control_record const& record)
{
    switch (record.body_case())
    {
    case wire::control_record::kTable:
        return record.table().change_id();
    case wire::control_record::kZone:
        return record.zone().change_id();
    case wire::control_record::kTarget:
        return record.target().change_id();
    default:
        return {};
    }
}

publish_result to_result(control::apply_result const& apply_result, std::uint64_t offset)
{
    switch (apply_result.outcome)
    {
    case control::apply_outcome::accepted:
        return offset;
    case control::apply_outcome::conflict:
        return base::error<publish_error>{publish_error::conflict, apply_result.detail};
    case control::apply_outcome::ignored:
        break;
    }
    return base::error<publish_error>{publish_error::invalid, apply_result.detail};
}

} // namespace

control_state_controller::control_state_controller(boost::asio::io_context& io,
                                                   base::clock const& clock, net::log_client& log,
                                                   wire::member self,
                                                   control::membership_options options,
                                                   control_state_callbacks callbacks)
    : strand(boost::asio::make_strand(io)), timer(io), clock(clock), log(log),
      self(std::move(self)), callbacks(std::move(callbacks)), membership(this->self, options),
      shared_state(std::make_shared<control::control_state const>()),
      shared_tables_changed(clock.system_now())
{
    this->confirmation.set_members(wire::to_model(this->self.id()), {});
    this->confirmation.require_acknowledged_views();
}

void control_state_controller::start()
{
    boost::asio::post(this->strand, [this] { this->schedule_tick(); });
}

void control_state_controller::stop()
{
    boost::asio::post(this->strand,
                      [this]
                      {
                          this->stopped = true;
                          this->timer.cancel();
                      });
}

void control_state_controller::schedule_tick()
{
    this->tick();
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(boost::asio::bind_executor(this->strand,
                                                      [this](boost::system::error_code const& code)
                                                      {
                                                          if (!code && !this->stopped)
                                                          {
                                                              this->schedule_tick();
                                                          }
                                                      }));
}

void control_state_controller::tick()
{
    auto const now = this->clock.steady_now();
    this->read_if_due(now);
    this->run_membership(now);
    this->expire_changes(now);
    if (!this->confirmation.log_readable() && now - this->last_probe_sent_at >= probe_interval)
    {
        this->last_probe_sent_at = now;
        this->callbacks.send_probes();
    }
    this->refresh_confirmation(now);
}

void control_state_controller::read_if_due(base::steady_time now)
{
    if (this->stopped || this->reads_in_flight >= max_reads_in_flight ||
        (this->reads_in_flight > 0 && now - this->last_read_sent_at < slow_read_retry_interval))
    {
        return;
    }
    ++this->reads_in_flight;
    this->last_read_sent_at = now;
    auto const from = std::max<std::uint64_t>(1, this->current.next_offset());
    this->log.read(from, long_poll_timeout,
                   [this, now](net::read_result result)
                   {
                       boost::asio::post(this->strand, [this, now, result = std::move(result)]
                                         { this->read_finished(now, result); });
                   });
}

void control_state_controller::read_finished(base::steady_time sent_at,
                                             net::read_result const& result)
{
    --this->reads_in_flight;
    auto const now = this->clock.steady_now();
    if (!result)
    {
        this->confirmation.log_read_failed(now);
        this->refresh_confirmation(now);
        return;
    }
    this->apply_page(result.value());
    if (this->current.next_offset() >= result.value().next)
    {
        this->confirmation.log_read_finished(sent_at, this->current.version());
        this->last_caught_up_read_sent_at = sent_at;
    }
    this->run_membership(now);
    this->refresh_confirmation(now);
    this->read_if_due(now);
}

void control_state_controller::apply_page(net::log_page const& page)
{
    auto const expected_offset = std::max<std::uint64_t>(1, this->current.next_offset());
    if (page.first > expected_offset && page.next > expected_offset &&
        !this->restore_from_page(page))
    {
        // The log has expired records that this state needs; only a peer can provide the state.
        this->callbacks.send_probes();
        return;
    }
    control::apply_result combined;
    std::vector<std::function<void()>> completions;
    for (auto const& log_record : page.records)
    {
        if (log_record.offset < this->current.next_offset())
        {
            continue;
        }
        wire::control_record record;
        // A record that cannot be parsed is applied as an empty one, so that every entry ignores
        // it in the same way.
        if (!record.ParseFromString(log_record.data))
        {
            record.Clear();
        }
        this->apply_record(log_record.offset, record, combined, completions);
    }
    if (combined.outcome == control::apply_outcome::accepted)
    {
        this->publish_state(combined);
    }
    // Publish handlers run last, so that the change is in effect here before an operator is
    // answered.
    for (auto const& complete : completions)
    {
        complete();
    }
}

bool control_state_controller::restore_from_page(net::log_page const& page)
{
    std::vector<control::control_log_entry> records;
    for (auto const& log_record : page.records)
    {
        control::control_log_entry record{log_record.offset, {}};
        if (record.record.ParseFromString(log_record.data) && record.record.has_snapshot())
        {
            records.push_back(std::move(record));
        }
    }
    auto start = control::restore_from_truncated_log(records, page.first);
    return start && this->replace_state(std::move(*start));
}

bool control_state_controller::replace_state(control::control_state state)
{
    if (state.next_offset() <= this->current.next_offset())
    {
        return false;
    }
    this->current = std::move(state);
    this->confirmation.state_advanced(this->current.version());
    control::apply_result apply_result;
    apply_result.outcome = control::apply_outcome::accepted;
    apply_result.view_changed = true;
    apply_result.tables_changed = true;
    apply_result.service_changed = true;
    apply_result.agents_changed = true;
    this->publish_state(apply_result);
    return true;
}

void control_state_controller::apply_record(std::uint64_t offset,
                                            wire::control_record const& record,
                                            control::apply_result& combined,
                                            std::vector<std::function<void()>>& completions)
{
    auto const apply_result = this->current.apply(offset, record, this->clock.system_now());
    this->confirmation.state_advanced(this->current.version());
    this->callbacks.record_applied(record, offset, apply_result);
    if (apply_result.outcome == control::apply_outcome::accepted)
    {
        combined.outcome = apply_result.outcome;
        combined.view_changed = combined.view_changed || apply_result.view_changed;
        combined.tables_changed = combined.tables_changed || apply_result.tables_changed;
        combined.service_changed = combined.service_changed || apply_result.service_changed;
        combined.agents_changed = combined.agents_changed || apply_result.agents_changed;
    }
    auto found = this->pending_changes.extract(change_id_of(record));
    if (!found.empty())
    {
        completions.push_back([handler = std::move(found.mapped().handler),
                               result = to_result(apply_result, offset)] { handler(result); });
    }
}

void control_state_controller::publish_state(control::apply_result const& apply_result)
{
    if (apply_result.view_changed)
    {
        this->confirmation.set_members(wire::to_model(this->self.id()), this->current.members());
        this->update_own_membership();
    }
    auto copy = std::make_shared<control::control_state const>(this->current);
    {
        std::lock_guard const guard(this->shared_lock);
        this->shared_state = copy;
        if (apply_result.tables_changed)
        {
            this->shared_tables_changed = this->clock.system_now();
        }
    }
    this->callbacks.state_changed(copy, apply_result);
}

void control_state_controller::update_own_membership()
{
    if (this->current.is_member(wire::to_model(this->self.id())))
    {
        this->joined = true;
    }
    else if (this->joined)
    {
        this->removed = true;
    }
}

void control_state_controller::run_membership(base::steady_time now)
{
    if (this->stopped || this->removed)
    {
        return;
    }
    bool const log_confirmed =
        this->last_caught_up_read_sent_at &&
        now - *this->last_caught_up_read_sent_at <= control::confirmation_max_age;
    this->membership.set_view_stable(this->confirmation.is_view_stable(now));
    for (auto const& record :
         this->membership.decide(this->current, log_confirmed, now, this->clock.system_now()))
    {
        this->append(record);
    }
    if (auto const request = this->membership.pending_promise_request())
    {
        this->callbacks.request_promises(*request);
    }
}

void control_state_controller::append(wire::control_record const& record)
{
    // The outcome of the append is ignored: it is known when the record is read back. Membership
    // decides again on a record that was lost.
    this->log.append(record.SerializeAsString(), [](net::append_result const&) {});
}

void control_state_controller::publish(wire::control_record record, std::string const& change_id,
                                       std::chrono::milliseconds timeout,
                                       std::function<void(publish_result)> handler)
{
    record.set_written_unix_ms(base::to_unix_ms(this->clock.system_now()));
    boost::asio::post(
        this->strand,
        [this, record = std::move(record), change_id, timeout, handler = std::move(handler)]
        {
            this->pending_changes[change_id] = {this->clock.steady_now() + timeout, handler};
            this->append(record);
        });
}

void control_state_controller::expire_changes(base::steady_time now)
{
    for (auto it = this->pending_changes.begin(); it != this->pending_changes.end();)
    {
        if (it->second.deadline > now)
        {
            ++it;
            continue;
        }
        auto const handler = std::move(it->second.handler);
        it = this->pending_changes.erase(it);
        handler(base::error<publish_error>{
            publish_error::outcome_unknown,
            "timed out before the change was read back from the control log; it may still take "
            "effect"});
    }
}

void control_state_controller::refresh_confirmation(base::steady_time now)
{
    auto const age = this->confirmation.age(now);
    bool const confirmed = this->confirmation.is_confirmed(now) && !this->removed;
    this->confirmed_at_ns = confirmed && age ? to_ns(now - *age) : 0;
    auto const source =
        confirmed ? this->confirmation.source(now) : control::confirmation_source::none;
    {
        std::lock_guard const guard(this->shared_lock);
        this->shared_probe_reply = this->confirmation.make_probe_reply(now);
        this->shared_probe_reply.set_zone(this->self.zone());
        this->shared_probe_reply_at = now;
        this->shared_source = source;
    }
    if (source != std::exchange(this->last_source, source))
    {
        this->callbacks.confirmation_changed(source);
    }
}

state_ptr control_state_controller::state() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_state;
}

base::system_time control_state_controller::tables_changed_at() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_tables_changed;
}

bool control_state_controller::is_confirmed() const
{
    // The age is computed at each call, so that a process that resumes from a pause does not act on
    // an expired confirmation before its first tick.
    auto const confirmed_at = this->confirmed_at_ns.load();
    auto const age = std::chrono::nanoseconds(to_ns(this->clock.steady_now()) - confirmed_at);
    return confirmed_at != 0 && age <= control::confirmation_max_age;
}

wire::pong control_state_controller::pong() const
{
    wire::pong pong;
    auto const confirmed_at = this->confirmed_at_ns.load();
    auto const age = std::chrono::nanoseconds(to_ns(this->clock.steady_now()) - confirmed_at);
    pong.set_confirmed(confirmed_at != 0 && age <= control::confirmation_max_age);
    if (pong.confirmed())
    {
        // Rounded up: an age that is too small would weaken the bound on the confirmation's age.
        pong.set_confirmation_age_ms(
            static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count()));
    }
    pong.set_state_offset(this->state()->version());
    return pong;
}

wire::probe_reply control_state_controller::probe_reply() const
{
    std::lock_guard const guard(this->shared_lock);
    auto reply = this->shared_probe_reply;
    if (!reply.confirmed())
    {
        return reply;
    }
    // The age grows until the reply is sent. Otherwise entries without the log would make the
    // evidence of each other younger with each reply, and a process that resumes from a pause would
    // pass on an expired confirmation.
    auto const age = std::chrono::milliseconds(reply.confirmation_age_ms()) +
                     std::chrono::ceil<std::chrono::milliseconds>(this->clock.steady_now() -
                                                                  this->shared_probe_reply_at);
    reply.set_confirmed(age <= control::confirmation_max_age);
    reply.set_confirmation_age_ms(reply.confirmed() ? static_cast<std::uint32_t>(age.count()) : 0);
    return reply;
}

control::confirmation_source control_state_controller::source() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_source;
}

void control_state_controller::record_traffic_from(model::process_id const& entry)
{
    boost::asio::post(this->strand, [this, entry]
                      { this->membership.heard_from(entry, this->clock.steady_now()); });
}

void control_state_controller::peer_offset_seen(model::process_id const& entry,
                                                std::uint64_t state_offset)
{
    boost::asio::post(this->strand,
                      [this, entry, state_offset]
                      {
                          this->confirmation.peer_offset_seen(entry, state_offset);
                          this->refresh_confirmation(this->clock.steady_now());
                      });
}

void control_state_controller::agent_linked(wire::agent const& agent)
{
    boost::asio::post(this->strand, [this, agent]
                      { this->membership.agent_linked(agent, this->clock.steady_now()); });
}

void control_state_controller::agent_unlinked(model::process_id const& agent)
{
    boost::asio::post(this->strand, [this, agent]
                      { this->membership.agent_unlinked(agent, this->clock.steady_now()); });
}

void control_state_controller::set_linked_agents(std::vector<model::process_id> linked)
{
    boost::asio::post(this->strand,
                      [this, linked = std::move(linked)]
                      {
                          this->confirmation.set_linked_agents(
                              this->current.count_registered(linked),
                              this->current.agents().size());
                      });
}

void control_state_controller::promise_received(wire::promise const& promise)
{
    boost::asio::post(this->strand,
                      [this, promise] { this->membership.promise_received(promise); });
}

void control_state_controller::probe_answered(model::process_id const& peer,
                                              wire::probe_reply const& reply,
                                              base::steady_time sent_at)
{
    boost::asio::post(this->strand,
                      [this, peer, reply, sent_at]
                      {
                          if (this->confirmation.probe_answered(peer, reply, sent_at) ||
                              reply.state_offset() > this->current.version())
                          {
                              this->callbacks.fetch_state(peer);
                          }
                          this->refresh_confirmation(this->clock.steady_now());
                      });
}

void control_state_controller::state_received(wire::control_snapshot const& snapshot)
{
    boost::asio::post(this->strand,
                      [this, snapshot]
                      {
                          auto restored = control::control_state::from_snapshot(snapshot);
                          if (restored)
                          {
                              this->replace_state(std::move(restored).value());
                          }
                      });
}

void control_state_controller::start_leaving()
{
    boost::asio::post(this->strand, [this] { this->membership.start_leaving(); });
}

void control_state_controller::finish_leaving()
{
    boost::asio::post(this->strand, [this] { this->membership.finish_leaving(); });
}

} // namespace filbertroad::server

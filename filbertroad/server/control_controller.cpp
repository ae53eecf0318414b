#include "filbertroad/server/control_controller.hpp"

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

publish_result to_result(control::applied const& applied, std::uint64_t offset)
{
    switch (applied.outcome)
    {
    case control::apply_outcome::accepted:
        return offset;
    case control::apply_outcome::conflict:
        return base::error<publish_error>{publish_error::conflict, applied.detail};
    case control::apply_outcome::ignored:
        break;
    }
    return base::error<publish_error>{publish_error::invalid, applied.detail};
}

} // namespace

control_controller::control_controller(boost::asio::io_context& io, base::clock const& clock,
                                       net::log_client& log, wire::member self,
                                       control::membership_options options, control_events events)
    : strand(boost::asio::make_strand(io)), timer(io), clock(clock), log(log),
      self(std::move(self)), events(std::move(events)), membership(this->self, options),
      shared_state(std::make_shared<control::control_state const>()),
      shared_tables_changed(clock.system_now())
{
    this->confirmation.set_members(wire::to_model(this->self.id()), {});
    this->confirmation.require_acknowledged_views();
}

void control_controller::start()
{
    boost::asio::post(this->strand, [this] { this->schedule_tick(); });
}

void control_controller::stop()
{
    boost::asio::post(this->strand,
                      [this]
                      {
                          this->stopped = true;
                          this->timer.cancel();
                      });
}

void control_controller::schedule_tick()
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

void control_controller::tick()
{
    auto const now = this->clock.steady_now();
    this->read_if_due(now);
    this->run_membership(now);
    this->expire_changes(now);
    if (!this->confirmation.log_readable() && now - this->last_probe >= probe_interval)
    {
        this->last_probe = now;
        this->events.probe_members();
    }
    this->refresh_confirmation(now);
}

void control_controller::read_if_due(base::steady_time now)
{
    if (this->stopped || this->reads_outstanding >= max_reads_outstanding ||
        (this->reads_outstanding > 0 && now - this->last_read < read_spacing))
    {
        return;
    }
    ++this->reads_outstanding;
    this->last_read = now;
    auto const from = std::max<std::uint64_t>(1, this->current.next_offset());
    this->log.read(from, read_wait,
                   [this, now](net::read_result result)
                   {
                       boost::asio::post(this->strand, [this, now, result = std::move(result)]
                                         { this->read_finished(now, result); });
                   });
}

void control_controller::read_finished(base::steady_time sent_at, net::read_result const& result)
{
    --this->reads_outstanding;
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
        this->last_complete_read = sent_at;
    }
    this->run_membership(now);
    this->refresh_confirmation(now);
    this->read_if_due(now);
}

void control_controller::apply_page(net::log_page const& page)
{
    auto const wanted = std::max<std::uint64_t>(1, this->current.next_offset());
    if (page.first > wanted && page.next > wanted && !this->restart_from_page(page))
    {
        // Records that this state needs have expired; only a peer can help now.
        this->events.probe_members();
        return;
    }
    control::applied sum;
    std::vector<std::function<void()>> settled;
    for (auto const& entry : page.records)
    {
        if (entry.offset < this->current.next_offset())
        {
            continue;
        }
        wire::control_record record;
        // A record that does not parse is empty, and every reader ignores it in the same way.
        if (!record.ParseFromString(entry.data))
        {
            record.Clear();
        }
        this->apply_record(entry.offset, record, sum, settled);
    }
    if (sum.outcome == control::apply_outcome::accepted)
    {
        this->publish_state(sum);
    }
    // Operators are told after the change is in force here.
    for (auto const& tell : settled)
    {
        tell();
    }
}

bool control_controller::restart_from_page(net::log_page const& page)
{
    std::vector<control::positioned_record> records;
    for (auto const& entry : page.records)
    {
        control::positioned_record record{entry.offset, {}};
        if (record.record.ParseFromString(entry.data) && record.record.has_snapshot())
        {
            records.push_back(std::move(record));
        }
    }
    auto start = control::start_from_expired_log(records, page.first);
    return start && this->replace_state(std::move(*start));
}

bool control_controller::replace_state(control::control_state state)
{
    if (state.next_offset() <= this->current.next_offset())
    {
        return false;
    }
    this->current = std::move(state);
    this->confirmation.state_advanced(this->current.version());
    control::applied applied;
    applied.outcome = control::apply_outcome::accepted;
    applied.view_changed = true;
    applied.tables_changed = true;
    applied.service_changed = true;
    applied.agents_changed = true;
    this->publish_state(applied);
    return true;
}

void control_controller::apply_record(std::uint64_t offset, wire::control_record const& record,
                                      control::applied& sum,
                                      std::vector<std::function<void()>>& settled)
{
    auto const applied = this->current.apply(offset, record, this->clock.system_now());
    this->confirmation.state_advanced(this->current.version());
    this->events.record_applied(record, offset, applied);
    if (applied.outcome == control::apply_outcome::accepted)
    {
        sum.outcome = applied.outcome;
        sum.view_changed = sum.view_changed || applied.view_changed;
        sum.tables_changed = sum.tables_changed || applied.tables_changed;
        sum.service_changed = sum.service_changed || applied.service_changed;
        sum.agents_changed = sum.agents_changed || applied.agents_changed;
    }
    auto found = this->changes.extract(change_id_of(record));
    if (!found.empty())
    {
        settled.push_back([handler = std::move(found.mapped().handler),
                           result = to_result(applied, offset)] { handler(result); });
    }
}

void control_controller::publish_state(control::applied const& applied)
{
    if (applied.view_changed)
    {
        this->confirmation.set_members(wire::to_model(this->self.id()), this->current.members());
        this->note_own_membership();
    }
    auto copy = std::make_shared<control::control_state const>(this->current);
    {
        std::lock_guard const guard(this->shared_lock);
        this->shared_state = copy;
        if (applied.tables_changed)
        {
            this->shared_tables_changed = this->clock.system_now();
        }
    }
    this->events.state_changed(copy, applied);
}

void control_controller::note_own_membership()
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

void control_controller::run_membership(base::steady_time now)
{
    if (this->stopped || this->removed)
    {
        return;
    }
    bool const log_confirmed = this->last_complete_read &&
                               now - *this->last_complete_read <= control::confirmation_max_age;
    this->membership.set_view_settled(this->confirmation.is_view_settled(now));
    for (auto const& record :
         this->membership.decide(this->current, log_confirmed, now, this->clock.system_now()))
    {
        this->append(record);
    }
    if (auto const request = this->membership.promises_wanted())
    {
        this->events.ask_promises(*request);
    }
}

void control_controller::append(wire::control_record const& record)
{
    // The outcome is seen when the record is read back; a lost one is decided again.
    this->log.append(record.SerializeAsString(), [](net::append_result const&) {});
}

void control_controller::publish(wire::control_record record, std::string const& change_id,
                                 std::chrono::milliseconds timeout,
                                 std::function<void(publish_result)> handler)
{
    record.set_written_unix_ms(base::to_unix_ms(this->clock.system_now()));
    boost::asio::post(
        this->strand,
        [this, record = std::move(record), change_id, timeout, handler = std::move(handler)]
        {
            this->changes[change_id] = {this->clock.steady_now() + timeout, handler};
            this->append(record);
        });
}

void control_controller::expire_changes(base::steady_time now)
{
    for (auto at = this->changes.begin(); at != this->changes.end();)
    {
        if (at->second.deadline > now)
        {
            ++at;
            continue;
        }
        auto const handler = std::move(at->second.handler);
        at = this->changes.erase(at);
        handler(base::error<publish_error>{
            publish_error::unknown,
            "the control log has not confirmed the change in time; it may still come into force"});
    }
}

void control_controller::refresh_confirmation(base::steady_time now)
{
    auto const age = this->confirmation.age(now);
    bool const confirmed = this->confirmation.is_confirmed(now) && !this->removed;
    this->confirmed_at_ns = confirmed && age ? to_ns(now - *age) : 0;
    auto const source =
        confirmed ? this->confirmation.source(now) : control::confirmation_source::none;
    {
        std::lock_guard const guard(this->shared_lock);
        this->shared_probe_reply = this->confirmation.answer_probe(now);
        this->shared_probe_reply.set_zone(this->self.zone());
        this->shared_source = source;
    }
    if (source != std::exchange(this->last_source, source))
    {
        this->events.confirmation_changed(source);
    }
}

state_ptr control_controller::state() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_state;
}

base::system_time control_controller::tables_changed_at() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_tables_changed;
}

bool control_controller::is_confirmed() const
{
    // Computed from the time of confirmation at each call, so that a process that was paused sees
    // its age before its first tick.
    auto const at = this->confirmed_at_ns.load();
    auto const age = std::chrono::nanoseconds(to_ns(this->clock.steady_now()) - at);
    return at != 0 && age <= control::confirmation_max_age;
}

wire::pong control_controller::pong() const
{
    wire::pong pong;
    auto const at = this->confirmed_at_ns.load();
    auto const age = std::chrono::nanoseconds(to_ns(this->clock.steady_now()) - at);
    pong.set_confirmed(at != 0 && age <= control::confirmation_max_age);
    if (pong.confirmed())
    {
        // Rounded up, since an age that is too small would weaken the bound.
        pong.set_confirmation_age_ms(
            static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count()));
    }
    pong.set_state_offset(this->state()->version());
    return pong;
}

wire::probe_reply control_controller::probe_reply() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_probe_reply;
}

control::confirmation_source control_controller::source() const
{
    std::lock_guard const guard(this->shared_lock);
    return this->shared_source;
}

void control_controller::heard_from(model::process_id const& entry)
{
    boost::asio::post(this->strand, [this, entry]
                      { this->membership.heard_from(entry, this->clock.steady_now()); });
}

void control_controller::peer_offset_seen(model::process_id const& entry,
                                          std::uint64_t state_offset)
{
    boost::asio::post(this->strand,
                      [this, entry, state_offset]
                      {
                          this->confirmation.peer_offset_seen(entry, state_offset);
                          this->refresh_confirmation(this->clock.steady_now());
                      });
}

void control_controller::agent_linked(wire::agent const& agent)
{
    boost::asio::post(this->strand, [this, agent]
                      { this->membership.agent_linked(agent, this->clock.steady_now()); });
}

void control_controller::agent_unlinked(model::process_id const& agent)
{
    boost::asio::post(this->strand, [this, agent]
                      { this->membership.agent_unlinked(agent, this->clock.steady_now()); });
}

void control_controller::set_linked_agents(std::size_t count)
{
    boost::asio::post(
        this->strand, [this, count]
        { this->confirmation.set_linked_agents(count, this->current.agents().size()); });
}

void control_controller::promise_received(wire::promise const& promise)
{
    boost::asio::post(this->strand,
                      [this, promise] { this->membership.promise_received(promise); });
}

void control_controller::probe_answered(model::process_id const& peer,
                                        wire::probe_reply const& reply, base::steady_time sent_at)
{
    boost::asio::post(this->strand,
                      [this, peer, reply, sent_at]
                      {
                          if (this->confirmation.probe_answered(peer, reply, sent_at) ||
                              reply.state_offset() > this->current.version())
                          {
                              this->events.fetch_state(peer);
                          }
                          this->refresh_confirmation(this->clock.steady_now());
                      });
}

void control_controller::state_received(wire::control_snapshot const& snapshot)
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

void control_controller::start_leaving()
{
    boost::asio::post(this->strand, [this] { this->membership.start_leaving(); });
}

void control_controller::finish_leaving()
{
    boost::asio::post(this->strand, [this] { this->membership.finish_leaving(); });
}

} // namespace filbertroad::server

#include "filbertroad/server/control_state_controller.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace filbertroad::server
{
namespace
{

using namespace std::chrono_literals;

/// A log that cannot be reached.
class unreachable_log final : public net::log_client
{
public:
    void append(std::string /*record*/,
                std::function<void(net::append_result)> /*handler*/) override
    {
    }
    void read(std::uint64_t /*from*/, std::chrono::milliseconds /*wait*/,
              std::function<void(net::read_result)> handler) override
    {
        handler(base::error<net::log_error>{net::log_error::unavailable, "not reachable"});
    }
};

/// Entries of one view that cannot read the log and confirm their state through each other.
class control_state_controller_test : public testing::Test
{
protected:
    static constexpr std::size_t entry_count = 8;

    control_state_controller_test()
    {
        control::control_state state;
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            wire::member member;
            *member.mutable_id() = wire::to_wire(id_of(i));
            member.set_zone("khi-b");
            wire::control_record joined;
            *joined.mutable_joined()->mutable_entry() = member;
            state.apply(state.next_offset(), joined, this->clock.system_now());
            control_state_callbacks callbacks;
            callbacks.state_changed = [](state_ptr const&, control::apply_result const&) {};
            callbacks.confirmation_changed = [](control::confirmation_source) {};
            callbacks.fetch_state = [](model::process_id const&) {};
            callbacks.send_probes = [] {};
            this->entries.push_back(std::make_unique<control_state_controller>(
                this->io, this->clock, this->log, member, control::membership_options(),
                callbacks));
        }
        wire::control_record agents;
        *agents.mutable_agents_in()->add_agents()->mutable_id() = wire::to_wire({"agent-1", 1});
        state.apply(state.next_offset(), agents, this->clock.system_now());
        this->offset = state.version();
        for (auto const& entry : this->entries)
        {
            entry->state_received(state.snapshot());
        }
        this->run();
        // Every member knows that the others have applied the view.
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            for (std::size_t peer = 0; peer < entry_count; ++peer)
            {
                this->refresh(i, peer);
            }
        }
    }

    static model::process_id id_of(std::size_t index)
    {
        return {"entry-" + std::to_string(index), 1};
    }

    void run()
    {
        this->io.restart();
        this->io.poll();
    }

    void refresh(std::size_t index, std::size_t peer)
    {
        this->entries[index]->peer_offset_seen(id_of(peer), this->offset);
        this->run();
    }

    /// Entry `index` probes `peer`, which answers at once.
    void probe(std::size_t index, std::size_t peer)
    {
        this->entries[index]->probe_answered(id_of(peer), this->entries[peer]->probe_reply(),
                                             this->clock.steady_now());
        this->run();
    }

    /// Confirms an entry as of now, like a probe of a member that reads the log.
    void confirm(std::size_t index)
    {
        wire::probe_reply reply;
        reply.set_confirmed(true);
        reply.set_log_readable(true);
        reply.set_state_offset(this->offset);
        this->entries[index]->probe_answered(id_of((index + 1) % entry_count), reply,
                                             this->clock.steady_now());
        this->run();
    }

    base::manual_clock clock;
    boost::asio::io_context io;
    unreachable_log log;
    std::vector<std::unique_ptr<control_state_controller>> entries;
    std::uint64_t offset = 0;
};

// Guards against an entry that resumes from a pause and confirms the state of a peer, which cannot
// read the log, by evidence from before the pause.
TEST_F(control_state_controller_test, probe_reply_after_a_pause_does_not_confirm)
{
    this->confirm(0);
    EXPECT_TRUE(this->entries[0]->probe_reply().confirmed());
    this->clock.advance(30ms);
    EXPECT_GE(this->entries[0]->probe_reply().confirmation_age_ms(), 30U);
    this->clock.advance(10s);
    EXPECT_FALSE(this->entries[0]->probe_reply().confirmed());
}

// Guards against entries without the log that confirm each other far beyond the confirmation's
// age, because each reply makes the evidence younger by the time since it was prepared.
TEST_F(control_state_controller_test, entries_without_the_log_do_not_keep_each_other_confirmed)
{
    for (std::size_t i = 0; i < entry_count; ++i)
    {
        this->confirm(i);
    }
    auto const tick = control_state_controller::tick_interval / 10;
    auto const ticks_per_probe =
        10U * (control_state_controller::probe_interval / control_state_controller::tick_interval);
    for (unsigned step = 0; step * tick < control::confirmation_max_age + 100ms; ++step)
    {
        this->clock.advance(tick);
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            if (step % 10 == i)
            {
                this->refresh(i, (i + 1) % entry_count);
            }
            for (std::size_t peer = 0; peer < entry_count && step % ticks_per_probe == 6 * i;
                 ++peer)
            {
                this->probe(i, peer);
            }
        }
    }
    for (auto const& entry : this->entries)
    {
        EXPECT_FALSE(entry->is_confirmed());
    }
}

// Guards against an outage mode that rests on a restarted agent: its earlier process may have
// promised another entry to refuse this one.
TEST_F(control_state_controller_test, restarted_agent_does_not_support_the_outage_mode)
{
    auto& entry = *this->entries[0];
    entry.start();
    this->run();
    entry.set_linked_agents({{"agent-1", 2}});
    wire::probe_reply reply;
    reply.set_state_offset(this->offset);
    for (std::size_t peer = 1; peer < entry_count; ++peer)
    {
        entry.probe_answered(id_of(peer), reply, this->clock.steady_now());
    }
    this->run();
    EXPECT_FALSE(entry.is_confirmed());
    entry.set_linked_agents({{"agent-1", 1}});
    this->refresh(0, 1);
    EXPECT_TRUE(entry.is_confirmed());
}

} // namespace
} // namespace filbertroad::server

#include "filbertroad/net/internal/run_until.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/node/agent_node.hpp"
#include "filbertroad/node/entry_node.hpp"
#include "filbertroad/node/fake_target.hpp"
#include "filbertroad/node/frame.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertroad::node
{
namespace
{

constexpr std::size_t route_count = 40;

/// Entries and agents that are all linked to each other, on loopback. The test offers the entries
/// what they would read from the store.
class control_propagation_test : public testing::Test
{
protected:
    struct entry_process
    {
        telemetry::metrics_registry metrics;
        std::unique_ptr<entry_node> node;
    };

    struct agent_process
    {
        explicit agent_process(boost::asio::io_context& io) : target(io) {}

        telemetry::metrics_registry metrics;
        fake_target target;
        std::unique_ptr<agent_node> node;
    };

    void TearDown() override { this->io.stop(); }

    void start(std::size_t entry_count, std::size_t agent_count)
    {
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            addresses.push_back(this->unused_address());
            auto& added = *this->entries.emplace_back(std::make_unique<entry_process>());
            added.node = entry_node::builder()
                             .name("entry-" + std::to_string(i))
                             .listen(addresses.back())
                             .build(this->io, this->clock, this->log, added.metrics);
            ASSERT_TRUE(added.node->open());
        }
        this->address_of_first_entry = addresses.front();
        for (std::size_t i = 0; i < agent_count; ++i)
        {
            auto& added = *this->agents.emplace_back(std::make_unique<agent_process>(this->io));
            added.node = agent_node::builder()
                             .name("agent-" + std::to_string(i))
                             .zone("z")
                             .seeds(addresses)
                             .build(this->io, this->clock, added.target, this->log, added.metrics);
            added.node->open();
            added.node->target_announced({"target", 1, "service", {9'000, 1'000, 0}, false, 1});
        }
        ASSERT_TRUE(net::internal::run_until(
            this->io,
            [&]
            {
                return std::all_of(this->entries.begin(), this->entries.end(),
                                   [&](auto const& item)
                                   { return item->node->accepting_agents() == agent_count; });
            }));
        this->offer_to_all(1);
        ASSERT_TRUE(this->wait_for_all(1));
        this->io.run_for(milliseconds(500));
        for (auto const& entry : this->entries)
        {
            this->sent_before += count(entry->metrics, "filbertroad_snapshots_sent_total");
            this->received_before += count(entry->metrics, "filbertroad_snapshots_received_total");
        }
    }

    static dispatch::control_snapshot make_snapshot(std::uint64_t offset)
    {
        dispatch::control_snapshot snapshot;
        snapshot.offset = offset;
        snapshot.version = offset;
        for (std::size_t i = 0; i < route_count; ++i)
        {
            auto const name = std::to_string(i);
            snapshot.routes.push_back({.name = "route-" + name,
                                       .host = "host-" + name + ".example",
                                       .path_prefix = "/" + name + "/",
                                       .service = "service"});
        }
        return snapshot;
    }

    void offer_to_all(std::uint64_t offset)
    {
        for (auto const& entry : this->entries)
        {
            entry->node->offer_snapshot(make_snapshot(offset));
        }
    }

    bool wait_for_all(std::uint64_t offset)
    {
        return net::internal::run_until(
            this->io,
            [&]
            {
                return std::all_of(this->entries.begin(), this->entries.end(),
                                   [&](auto const& item)
                                   { return item->node->control().current().offset == offset; }) &&
                       std::all_of(this->agents.begin(), this->agents.end(),
                                   [&](auto const& item) { return agent_offset(*item) == offset; });
            });
    }

    static std::uint64_t count(telemetry::metrics_registry& metrics, std::string_view name)
    {
        return metrics.add_counter(name, "").value();
    }

    static std::uint64_t agent_offset(agent_process& agent)
    {
        return static_cast<std::uint64_t>(
            agent.metrics.add_gauge("filbertroad_control_offset", "").value());
    }

    /// Snapshots that the entries have sent since start().
    [[nodiscard]] std::uint64_t sent_by_entries() const
    {
        std::uint64_t total = 0;
        for (auto const& entry : this->entries)
        {
            total += count(entry->metrics, "filbertroad_snapshots_sent_total");
        }
        return total - this->sent_before;
    }

    [[nodiscard]] std::uint64_t received_by_entries() const
    {
        std::uint64_t total = 0;
        for (auto const& entry : this->entries)
        {
            total += count(entry->metrics, "filbertroad_snapshots_received_total");
        }
        return total - this->received_before;
    }

    boost::asio::io_context io{1};
    base::machine_clock clock;
    telemetry::null_event_log log;
    std::vector<std::unique_ptr<entry_process>> entries;
    std::vector<std::unique_ptr<agent_process>> agents;
    std::string address_of_first_entry;

private:
    /// An address at which nothing listens now.
    std::string unused_address()
    {
        auto const server = net::link_server::listen(this->io, "127.0.0.1:0", {});
        return "127.0.0.1:" + std::to_string(server.value()->port());
    }

    std::uint64_t sent_before = 0;
    std::uint64_t received_before = 0;
};

// Guards against a change that takes the time of small VMs: every entry sent each version to every
// agent, so that each agent got it once for each of its links.
TEST_F(control_propagation_test, change_is_sent_to_each_agent_once)
{
    this->start(3, 6);
    this->offer_to_all(2);
    ASSERT_TRUE(this->wait_for_all(2));
    this->io.run_for(milliseconds(500));
    EXPECT_LE(this->sent_by_entries(), this->agents.size());
}

// Guards against the same at an entry that gets the change from its agents, since the store turns
// it away or it reads slowly: each of them sent it.
TEST_F(control_propagation_test, entry_without_the_store_gets_a_change_from_one_agent)
{
    this->start(2, 10);
    this->entries[0]->node->offer_snapshot(make_snapshot(2));
    ASSERT_TRUE(this->wait_for_all(2));
    this->io.run_for(milliseconds(500));
    EXPECT_LE(this->received_by_entries(), 1U);
}

// Guards against a configuration that is in force late. A series of changes kept the smallest
// entries busy with sending: at 19 Mbit/s and 0.09 of a core an entry with 44 agents can send each
// of them about seven configurations of 40 routes in a second beside its jobs.
TEST_F(control_propagation_test, series_of_changes_is_sent_at_a_bounded_rate)
{
    constexpr std::size_t changes = 100;
    constexpr milliseconds interval{10};
    constexpr std::size_t max_sent_per_agent_and_second = 7;
    this->start(1, 10);
    for (std::size_t i = 1; i <= changes; ++i)
    {
        this->offer_to_all(1 + i);
        this->io.restart();
        this->io.run_for(interval);
    }
    auto const last = this->clock.steady_now();
    ASSERT_TRUE(this->wait_for_all(1 + changes));
    EXPECT_LT(this->clock.steady_now() - last, milliseconds(1'000));
    EXPECT_LE(this->sent_by_entries(), max_sent_per_agent_and_second * this->agents.size());
}

// Guards against an entry that the store turns away and that keeps an old configuration during a
// series of changes.
TEST_F(control_propagation_test, entry_without_the_store_follows_a_series_of_changes)
{
    constexpr std::size_t changes = 100;
    constexpr std::uint64_t max_versions_behind = 100;
    this->start(2, 4);
    std::uint64_t most_behind = 0;
    for (std::size_t i = 1; i <= 2 * changes; ++i)
    {
        this->entries[0]->node->offer_snapshot(make_snapshot(1 + i));
        this->io.restart();
        this->io.run_for(milliseconds(10));
        most_behind =
            std::max(most_behind, 1 + i - this->entries[1]->node->control().current().offset);
    }
    EXPECT_LE(most_behind, max_versions_behind);
    ASSERT_TRUE(this->wait_for_all(1 + 2 * changes));
}

// Guards against starts in a zone that was taken out of service, by an agent that has just started:
// it has to know the zone before the first order.
TEST_F(control_propagation_test, configuration_that_a_hello_asks_for_is_in_the_first_frame)
{
    this->start(1, 1);
    std::optional<frame> first;
    auto const new_agent =
        net::link::connect(this->io, this->address_of_first_entry,
                           {.on_open =
                                [](std::shared_ptr<net::link> const& link)
                            {
                                frame hello;
                                hello.sender_agent = dispatch::process_id{"new-agent", 1};
                                hello.wants_snapshot = true;
                                link->send(encode_frame(hello));
                            },
                            .on_message = [&](std::shared_ptr<net::link> const& /*link*/,
                                              wire::link_message const& message)
                            { first = first ? first : decode_frame(message); },
                            .on_closed = [](std::shared_ptr<net::link> const&,
                                            base::error<net::net_error> const&) {}});
    ASSERT_TRUE(net::internal::run_until(this->io, [&] { return first.has_value(); }));
    ASSERT_TRUE(first->snapshot);
    EXPECT_EQ(first->snapshot->offset, 1U);
}

// Guards against agents of an earlier version that keep an old configuration while the fleet is
// upgraded: they do not ask for a newer one.
TEST_F(control_propagation_test, agent_of_an_earlier_version_gets_each_configuration_unasked)
{
    this->start(1, 1);
    std::uint64_t newest_offset = 0;
    auto const old_agent = net::link::connect(
        this->io, this->address_of_first_entry,
        {.on_open =
             [](std::shared_ptr<net::link> const& link)
         {
             frame hello;
             hello.sender_agent = dispatch::process_id{"old-agent", 1};
             auto message = encode_frame(hello);
             message.mutable_dispatch()->mutable_agent()->set_protocol_version(
                 snapshot_request_protocol - 1);
             link->send(message);
         },
         .on_message =
             [&](std::shared_ptr<net::link> const& /*link*/, wire::link_message const& message)
         {
             auto const content = decode_frame(message);
             newest_offset =
                 content && content->snapshot ? content->snapshot->offset : newest_offset;
         },
         .on_closed = [](std::shared_ptr<net::link> const&,
                         base::error<net::net_error> const&) {}});
    EXPECT_TRUE(net::internal::run_until(this->io, [&] { return newest_offset == 1; }));
    this->offer_to_all(2);
    EXPECT_TRUE(net::internal::run_until(this->io, [&] { return newest_offset == 2; }));
}

} // namespace
} // namespace filbertroad::node

#include "filbertroad/node/agent_node.hpp"

#include "filbertroad/net/internal/run_until.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/node/fake_target.hpp"
#include "filbertroad/node/frame.hpp"

#include <gtest/gtest.h>
#include <optional>

namespace filbertroad::node
{
namespace
{

/// An agent with a fake target, linked to a fake entry. The entry echoes every status at once and
/// sends what the test gives it.
class agent_node_test : public testing::Test
{
protected:
    void SetUp() override
    {
        this->agent = agent_node::builder()
                          .name("agent")
                          .zone("z")
                          .seeds({"127.0.0.1:" + std::to_string(this->listener->port())})
                          .build(this->io, this->clock, this->target, this->log, this->metrics);
        this->agent->open();
        this->agent->target_announced({"target", 1, "service", {9'000, 1'000, 0}, false, 1});
        ASSERT_TRUE(net::internal::run_until(this->io, [this] { return this->is_accepting; }));
    }

    void TearDown() override { this->io.stop(); }

    static dispatch::start_order make_order(std::string const& task)
    {
        return {.id = {task, 1},
                .payload = "payload",
                .resources = {3'000, 10, 0},
                .estimate = milliseconds(200),
                .priority = 0,
                .queue_timeout = milliseconds(1'000),
                .route = "route"};
    }

    void send(frame const& content)
    {
        this->entry_link->send(encode_frame(content, protocol_version));
    }

    bool wait_for_reports(std::size_t count)
    {
        return net::internal::run_until(this->io,
                                        [this, count] { return this->reports.size() >= count; });
    }

    boost::asio::io_context io{1};
    base::machine_clock clock;
    telemetry::null_event_log log;
    telemetry::metrics_registry metrics;
    fake_target target{this->io};
    std::shared_ptr<net::link> entry_link;
    bool is_accepting = false;
    /// Whether the entry echoes the newest timestamp, which extends its lease.
    bool echoes_stamps = true;
    std::uint64_t newest_stamp_ms = 0;
    std::vector<dispatch::run_report> reports;
    /// Version of the link protocol in the hello of the entry.
    std::uint32_t entry_protocol = protocol_version;
    /// Offset of the configuration of the entry, in its heartbeats.
    std::uint64_t announced_offset = 0;
    std::optional<dispatch::control_snapshot> snapshot;
    bool wants_snapshot = false;
    bool hello_wants_snapshot = false;
    std::unique_ptr<net::link_server> listener = std::move(
        net::link_server::listen(this->io, "127.0.0.1:0",
                                 {.on_open = [](std::shared_ptr<net::link> const&) {},
                                  .on_message = [this](std::shared_ptr<net::link> const& link,
                                                       wire::link_message const& message)
                                  { this->receive(link, message); },
                                  .on_closed = [](std::shared_ptr<net::link> const&,
                                                  base::error<net::net_error> const&) {}})
            .value());
    std::unique_ptr<agent_node> agent;

private:
    void receive(std::shared_ptr<net::link> const& link, wire::link_message const& message)
    {
        auto const content = decode_frame(message);
        ASSERT_TRUE(content);
        frame answer;
        if (content->sender_agent)
        {
            this->hello_wants_snapshot = content->wants_snapshot;
            this->entry_link = link;
            answer.sender_entry = dispatch::process_id{"entry", 1};
        }
        if (content->status)
        {
            this->is_accepting = content->status->accepting;
            this->newest_stamp_ms = content->status->stamp_ms;
            answer.heartbeat = dispatch::entry_heartbeat{
                this->echoes_stamps ? this->newest_stamp_ms : 0, this->announced_offset};
        }
        this->reports.insert(this->reports.end(), content->reports.begin(), content->reports.end());
        this->wants_snapshot =
            this->wants_snapshot || (content->wants_snapshot && !content->sender_agent);
        if (content->snapshot)
        {
            this->snapshot = content->snapshot;
        }
        auto answer_message = encode_frame(answer, protocol_version);
        if (answer.sender_entry)
        {
            answer_message.mutable_dispatch()->mutable_entry()->set_protocol_version(
                this->entry_protocol);
        }
        link->send(answer_message);
    }
};

// Guards against a run that nobody waits for. An entry that gives up a job right after it has sent
// a start sends the start and its cancellation in one frame. The caller submits the job again, and
// the task would run twice at the same time.
TEST_F(agent_node_test, start_that_is_cancelled_in_the_same_frame_does_not_keep_running)
{
    frame content;
    content.starts = {make_order("t")};
    content.cancels = {{"t", 1}};
    this->send(content);
    this->io.run_for(milliseconds(300));
    EXPECT_TRUE(this->target.running.empty());
    EXPECT_EQ(this->reports.size(), 1U);
}

// Guards against two runs of a task. A job that is submitted again to the same entry numbers its
// runs from 1 again. If the report of the earlier run 1 arrives between the start of the later one
// and the next frame, the entry takes it for the end of the later run and starts another. The
// start must then have no effect, although its frame acknowledges the report.
TEST_F(agent_node_test, start_in_the_frame_that_acknowledges_the_same_run_number_has_no_effect)
{
    frame first;
    first.starts = {make_order("t")};
    this->send(first);
    ASSERT_TRUE(
        net::internal::run_until(this->io, [this] { return !this->target.running.empty(); }));
    this->target.finish("t", dispatch::finish_reason::failed);
    ASSERT_TRUE(this->wait_for_reports(1));
    frame second;
    second.starts = {make_order("t")};
    second.acknowledged = {{"t", 1}};
    this->send(second);
    this->io.run_for(milliseconds(300));
    EXPECT_EQ(this->target.started.size(), 1U);
    EXPECT_EQ(this->reports.size(), 2U);
}

// Guards against two runs of a task. An entry that starts the task of a queued run elsewhere,
// because its agent was silent, cancels the run. The heartbeat in the same frame renews the entry's
// lease, and must not start the run before it is cancelled.
TEST_F(agent_node_test, heartbeat_does_not_start_a_run_that_its_frame_cancels)
{
    this->echoes_stamps = false;
    this->io.run_for(milliseconds(700));
    frame first;
    first.starts = {make_order("t")};
    this->send(first);
    this->io.run_for(milliseconds(100));
    ASSERT_TRUE(this->reports.empty());
    frame second;
    second.heartbeat = dispatch::entry_heartbeat{this->newest_stamp_ms, 0};
    second.cancels = {{"t", 1}};
    this->send(second);
    ASSERT_TRUE(this->wait_for_reports(1));
    EXPECT_TRUE(this->target.started.empty());
    EXPECT_EQ(this->reports[0].end, dispatch::run_end::not_started);
}

// Guards against the same when the entry lists the runs that it still needs.
TEST_F(agent_node_test, heartbeat_does_not_start_a_run_that_its_frame_no_longer_lists)
{
    this->echoes_stamps = false;
    this->io.run_for(milliseconds(700));
    frame first;
    first.starts = {make_order("t")};
    this->send(first);
    this->io.run_for(milliseconds(100));
    ASSERT_TRUE(this->reports.empty());
    frame second;
    second.heartbeat = dispatch::entry_heartbeat{this->newest_stamp_ms, 0};
    second.resume.emplace();
    this->send(second);
    ASSERT_TRUE(this->wait_for_reports(1));
    EXPECT_TRUE(this->target.started.empty());
    EXPECT_EQ(this->reports[0].end, dispatch::run_end::not_started);
}

// Guards against entries of an earlier version that keep an old configuration while the fleet is
// upgraded: they do not ask for a newer one.
TEST_F(agent_node_test, entry_of_an_earlier_version_gets_a_newer_configuration_unasked)
{
    this->entry_protocol = snapshot_request_protocol - 1;
    this->entry_link->close();
    ASSERT_TRUE(net::internal::run_until(this->io, [this, old_link = this->entry_link]
                                         { return this->entry_link != old_link; }));
    frame content;
    content.snapshot = {.offset = 5, .version = 5, .routes = {}, .zones_out = {}};
    this->send(content);
    EXPECT_TRUE(net::internal::run_until(this->io, [this] { return this->snapshot.has_value(); }));
    EXPECT_FALSE(this->wants_snapshot);
}

// Guards against starts in a zone that was taken out of service: only agents check the zone, and an
// agent that has just started, or was cut off, does not know of it. The configuration has to be in
// the first frame of the entry, before any order.
TEST_F(agent_node_test, agent_without_a_linked_entry_asks_for_the_configuration_in_its_hello)
{
    EXPECT_TRUE(this->hello_wants_snapshot);
    this->hello_wants_snapshot = false;
    this->entry_link->close();
    EXPECT_TRUE(net::internal::run_until(this->io, [this] { return this->hello_wants_snapshot; }));
}

// Guards against an agent that keeps an old configuration beside entries that wait for requests.
TEST_F(agent_node_test, agent_asks_for_a_configuration_that_an_entry_announces)
{
    EXPECT_FALSE(this->wants_snapshot);
    this->announced_offset = 5;
    EXPECT_TRUE(net::internal::run_until(this->io, [this] { return this->wants_snapshot; }));
}

} // namespace
} // namespace filbertroad::node

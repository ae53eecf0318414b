#include "filbertroad/server/agent_process.hpp"

#include "filbertroad/net/http.hpp"
#include "filbertroad/net/link.hpp"
#include "filbertroad/server/run.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <condition_variable>
#include <ctime>
#include <deque>
#include <mutex>
#include <optional>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

namespace
{

/// Seconds for which clock_gettime() shows the machine as suspended.
std::atomic<std::time_t> suspended_seconds{0};

} // namespace

/// Replaces the function of the C library in this program. A suspension moves CLOCK_BOOTTIME only;
/// CLOCK_MONOTONIC stands still.
extern "C" int clock_gettime(clockid_t id, timespec* time) noexcept
{
    auto const result = static_cast<int>(syscall(SYS_clock_gettime, id, time));
    if (result == 0 && id == CLOCK_BOOTTIME)
    {
        time->tv_sec += suspended_seconds;
    }
    return result;
}

namespace filbertroad::server
{
namespace
{

using namespace std::chrono_literals;

class null_span_writer final : public telemetry::span_writer
{
public:
    void write(telemetry::span_record const& /*span*/) override {}
};

/// An agent on loopback; the fixture acts as its entry and as its target.
class agent_process_test : public testing::Test
{
protected:
    void SetUp() override
    {
        this->entry_links =
            net::link_server::listen(this->io, "127.0.0.1:0", this->handlers()).value();
        this->target = net::http_server::listen(
                           this->io, "127.0.0.1:0", {},
                           [this](net::http_request request, net::http_responder respond)
                           { this->start_received(std::move(request), std::move(respond)); })
                           .value();
        agent_process_options options;
        options.name = "g1";
        options.zone = "khi-b";
        options.listen = "127.0.0.1:0";
        options.entries = {address_of(this->entry_links->port())};
        options.drain_timeout = 10s;
        // Long timeouts, so that the tests do not fail on a slow machine.
        options.core.announcement_timeout = 60s;
        options.core.confirmation_max_age = 60s;
        this->agent.emplace(
            agent_process::builder().options(options).build(this->clock, this->log, this->spans));
        ASSERT_TRUE(this->agent->open());
        this->io_thread = std::thread([this] { this->io.run(); });
        this->agent_thread = std::thread([this] { this->exit_reason = this->agent->run(); });
        this->announce();
    }

    void TearDown() override
    {
        this->agent->request_stop();
        if (this->agent_thread.joinable())
        {
            this->agent_thread.join();
        }
        this->guard.reset();
        this->io.stop();
        this->io_thread.join();
    }

    static std::string address_of(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    void announce()
    {
        net::http_request request{.method = "POST", .path = "/v1/announce"};
        request.body = R"({"name":"t1","service":"pricing","slots":2,"address":")" +
                       address_of(this->target->port()) + "\"}";
        auto const answer =
            net::send_and_wait(address_of(this->agent->port()), std::move(request), 5s);
        ASSERT_TRUE(answer);
        ASSERT_EQ(answer.value().status, 200U) << answer.value().body;
    }

    net::link_handlers handlers()
    {
        return {.on_open = [](std::shared_ptr<net::link> const&) {},
                .on_message =
                    [this](std::shared_ptr<net::link> const& link, wire::link_message& message)
                { this->message_received(link, message); },
                .on_closed = [](std::shared_ptr<net::link> const&,
                                base::error<net::net_error> const&) {}};
    }

    wire::member self() const
    {
        wire::member member;
        *member.mutable_id() = wire::to_wire(model::process_id{"e1", 1});
        member.set_link_address(address_of(this->entry_links->port()));
        return member;
    }

    void message_received(std::shared_ptr<net::link> const& link, wire::link_message const& message)
    {
        wire::link_message reply;
        if (message.has_agent_hello())
        {
            *reply.mutable_welcome()->mutable_entry() = this->self();
            link->send(reply);
            reply.mutable_state()->set_offset(1);
            reply.mutable_state()->set_view(1);
            *reply.mutable_state()->add_members() = this->self();
            link->send(reply);
        }
        if (message.has_ping() && this->answers_pings)
        {
            reply.mutable_pong()->set_confirmed(true);
            reply.mutable_pong()->set_state_offset(1);
            reply.mutable_pong()->set_echoed_steady_ns(message.ping().sent_steady_ns());
            link->send(reply);
        }
        std::lock_guard const guard(this->lock);
        this->link = link;
        this->pongs += message.has_ping() ? 1 : 0;
        this->messages.push_back(message);
        this->changed.notify_all();
    }

    void start_received(net::http_request request, net::http_responder respond)
    {
        std::lock_guard const guard(this->lock);
        this->starts.push_back(std::move(request));
        this->responders.push_back(std::move(respond));
        this->changed.notify_all();
    }

    template <class Condition>
    bool wait_for(Condition const& condition)
    {
        std::unique_lock guard(this->lock);
        return this->changed.wait_for(guard, 10s, condition);
    }

    /// Waits for a message of a kind, and removes it and all earlier messages from the queue.
    wire::link_message wait_for_message(wire::link_message::BodyCase kind)
    {
        wire::link_message found;
        EXPECT_TRUE(this->wait_for(
            [&]
            {
                while (!this->messages.empty())
                {
                    found = this->messages.front();
                    this->messages.pop_front();
                    if (found.body_case() == kind)
                    {
                        return true;
                    }
                }
                return false;
            }))
            << "no message of kind " << kind;
        return found;
    }

    void send(wire::link_message const& message)
    {
        std::lock_guard const guard(this->lock);
        this->link->send(message);
    }

    /// Sends a start once the agent is confirmed. The agent has handled the pong of its first ping
    /// when the second ping arrives.
    void send_start(std::uint32_t index)
    {
        EXPECT_TRUE(this->wait_for([this] { return this->pongs >= 2; }));
        wire::link_message message;
        *message.mutable_start()->mutable_task() =
            wire::make_task_ref({"stock", "1800000000000-a"}, index);
        message.mutable_start()->set_payload("payload");
        this->send(message);
    }

    void acknowledge(wire::task_ref const& task)
    {
        wire::link_message message;
        *message.mutable_finished_ack()->add_tasks() = task;
        this->send(message);
    }

    /// Responds to the oldest open start with the task's route, key and index.
    void answer_start()
    {
        ASSERT_TRUE(this->wait_for([this] { return !this->responders.empty(); }));
        std::lock_guard const guard(this->lock);
        net::http_response response{.status = 200, .body = "answer"};
        for (auto const* name : {"x-route", "x-key", "x-index"})
        {
            response.headers.push_back({name, std::string(this->starts.back().header(name))});
        }
        this->responders.front()(std::move(response));
        this->responders.pop_front();
    }

    role_clock clock;
    std::atomic<bool> answers_pings{true};
    telemetry::null_event_log log;
    null_span_writer spans;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
        io.get_executor()};
    std::unique_ptr<net::link_server> entry_links;
    std::unique_ptr<net::http_server> target;
    std::optional<agent_process> agent;
    std::thread io_thread;
    std::thread agent_thread;
    agent_exit_reason exit_reason = agent_exit_reason::failed;

    std::mutex lock;
    std::condition_variable changed;
    std::shared_ptr<net::link> link;
    int pongs = 0;
    std::deque<wire::link_message> messages;
    std::vector<net::http_request> starts;
    std::deque<net::http_responder> responders;
};

// Guards against losing a result together with the link on which it was sent.
TEST_F(agent_process_test, unacknowledged_answer_is_not_lost_with_its_link)
{
    this->send_start(0);
    this->answer_start();
    auto const first = this->wait_for_message(wire::link_message::kFinished);
    EXPECT_EQ(first.finished().body(), "answer");
    {
        std::lock_guard const guard(this->lock);
        EXPECT_EQ(this->starts.at(0).path, "/v1/start");
        EXPECT_EQ(this->starts.at(0).body, "payload");
        EXPECT_FALSE(this->starts.at(0).header("x-start-before").empty());
        this->link->close();
    }
    auto const hello = this->wait_for_message(wire::link_message::kAgentHello);
    EXPECT_EQ(hello.agent_hello().open_size(), 1);
    EXPECT_EQ(hello.agent_hello().target().name(), "t1");
    auto const second = this->wait_for_message(wire::link_message::kFinished);
    EXPECT_EQ(second.finished().body(), "answer");
    this->acknowledge(second.finished().task());
    this->agent->request_stop();
    this->agent_thread.join();
    EXPECT_EQ(this->exit_reason, agent_exit_reason::drained);
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a start that arrives at a machine that was suspended for longer than its agent's
// confirmation holds: the zone may have been taken out of service meanwhile.
TEST_F(agent_process_test, start_after_a_suspension_is_not_run)
{
    ASSERT_TRUE(this->wait_for([this] { return this->pongs >= 2; }));
    this->answers_pings = false;
    {
        std::lock_guard const guard(this->lock);
        this->messages.clear();
    }
    suspended_seconds += 61;
    this->send_start(0);
    // The agent refuses the start, or has already closed the link as silent.
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return !this->starts.empty() ||
                   std::any_of(this->messages.begin(), this->messages.end(),
                               [](wire::link_message const& message)
                               { return message.has_refused() || message.has_agent_hello(); });
        }));
    EXPECT_TRUE(this->starts.empty());
}

// Guards against a graceful shutdown that aborts a running task or accepts new tasks.
TEST_F(agent_process_test, shutdown_does_not_abort_running_tasks_or_accept_new_ones)
{
    this->send_start(0);
    ASSERT_TRUE(this->wait_for([this] { return !this->starts.empty(); }));
    this->agent->request_stop();
    wire::link_message target;
    do
    {
        target = this->wait_for_message(wire::link_message::kTarget);
    } while (target.has_target() && !target.target().leaving());
    this->send_start(1);
    EXPECT_EQ(this->wait_for_message(wire::link_message::kRefused).refused().reason(),
              wire::refusal_target_leaving);
    this->answer_start();
    auto const finished = this->wait_for_message(wire::link_message::kFinished);
    EXPECT_EQ(finished.finished().outcome(), wire::outcome_succeeded);
    this->acknowledge(finished.finished().task());
    this->agent_thread.join();
    EXPECT_EQ(this->exit_reason, agent_exit_reason::drained);
}

} // namespace
} // namespace filbertroad::server

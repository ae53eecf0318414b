#include "filbertroad/net/internal/run_until.hpp"
#include "filbertroad/standin/load_generator.hpp"
#include "filbertroad/standin/log_service.hpp"
#include "filbertroad/standin/target_service.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <optional>
#include <unistd.h>

namespace filbertroad::standin
{
namespace
{

using net::internal::run_until;
using std::chrono::milliseconds;

/// Empty until the response has arrived.
using pending_response = std::shared_ptr<std::optional<net::http_response>>;

pending_response send_to(net::http_handler const& handler, net::http_request request)
{
    auto slot = std::make_shared<std::optional<net::http_response>>();
    handler(std::move(request), [slot](net::http_response response) { *slot = response; });
    return slot;
}

struct log_service_test : testing::Test
{
    boost::asio::io_context io;
    base::manual_clock clock;
    log_service service{io, clock, {}};
    net::http_handler handler = service.handler();

    pending_response append(std::string body)
    {
        return send_to(
            this->handler,
            {.method = "POST", .path = "/v1/streams/control/records", .body = std::move(body)});
    }

    pending_response read(std::string query)
    {
        return send_to(
            this->handler,
            {.method = "GET", .path = "/v1/streams/control/records", .query = std::move(query)});
    }

    void control(std::string body)
    {
        auto const response =
            send_to(this->handler, {.method = "POST", .path = "/control", .body = std::move(body)});
        ASSERT_EQ(response->value().status, 200U);
    }
};

// Guards against a stand-in that drops the append together with its response.
TEST_F(log_service_test, append_takes_effect_when_its_response_is_lost)
{
    this->control(R"({"lose_answers":true})");
    EXPECT_EQ((*this->append("a"))->fault, net::injected_fault::no_response);
    EXPECT_EQ((*this->read("from=1"))->body,
              R"({"first":1,"next":2,"records":[{"offset":1,"data":"YQ=="}]})");
}

TEST_F(log_service_test, requests_during_an_outage_get_503_and_have_no_effect)
{
    auto const waiting = this->read("from=1&wait_ms=60000");
    EXPECT_FALSE(*waiting);
    this->control(R"({"outage":true})");
    EXPECT_EQ((*waiting)->status, 503U);
    EXPECT_EQ((*this->append("a"))->status, 503U);
    this->control(R"({"outage":false})");
    EXPECT_EQ((*this->append("b"))->body, R"({"offset":1})");
}

TEST_F(log_service_test, append_completes_only_the_reads_that_wait_for_its_offset)
{
    auto const first = this->read("from=1&wait_ms=60000");
    auto const second = this->read("from=2&wait_ms=60000");
    this->append("a");
    EXPECT_TRUE(*first);
    EXPECT_FALSE(*second);
    this->append("b");
    EXPECT_EQ((*second)->body, R"({"first":1,"next":3,"records":[{"offset":2,"data":"Yg=="}]})");
}

TEST_F(log_service_test, appends_over_the_rate_limit_get_429_and_have_no_effect)
{
    this->control(R"({"append_rate":10})");
    this->append("a");
    auto limited = this->append("b");
    EXPECT_EQ((*limited)->status, 429U);
    this->clock.advance(milliseconds(100));
    EXPECT_EQ((*this->append("c"))->body, R"({"offset":2})");
}

TEST_F(log_service_test, invalid_requests_get_400_or_404_and_name_the_field)
{
    EXPECT_EQ((*this->read("from=x"))->status, 400U);
    EXPECT_EQ((*send_to(this->handler, {.method = "GET", .path = "/v1/streams//records"}))->status,
              404U);
    auto const response = send_to(
        this->handler, {.method = "POST", .path = "/control", .body = R"({"outtage":true})"});
    EXPECT_EQ((*response)->status, 400U);
    EXPECT_NE((*response)->body.find("outtage"), std::string::npos);
}

struct target_service_test : testing::Test
{
    std::string path = testing::TempDir() + "journal." + std::to_string(getpid());
    boost::asio::io_context io;
    base::manual_clock clock;
    start_journal journal{path};
    // No process listens on port 1, so that announcements fail immediately.
    target_service service{
        io,
        clock,
        {.name = "t", .service = "s", .address = "127.0.0.1:2", .agent = "127.0.0.1:1", .slots = 1},
        {},
        journal};
    net::http_handler handler = service.handler();

    ~target_service_test() override { unlink(this->path.c_str()); }

    pending_response post(std::string path, std::string const& key, std::string body,
                          std::uint64_t start_before = UINT64_MAX)
    {
        return send_to(this->handler,
                       {.method = "POST",
                        .path = std::move(path),
                        .headers = {{"x-route", "r"},
                                    {"x-key", key},
                                    {"x-index", "0"},
                                    {"x-start-before", std::to_string(start_before)}},
                        .body = std::move(body)});
    }

    pending_response start(std::string const& key, std::string body)
    {
        return this->post("/v1/start", key, std::move(body));
    }

    void control(std::string body)
    {
        auto const response =
            send_to(this->handler, {.method = "POST", .path = "/control", .body = std::move(body)});
        ASSERT_EQ((*response)->status, 200U) << (*response)->body;
    }

    net::http_response wait_for(pending_response const& slot)
    {
        EXPECT_TRUE(run_until(this->io, [&] { return slot->has_value(); }));
        return slot->value();
    }

    std::string journal_text()
    {
        std::ifstream file(this->path);
        return {std::istreambuf_iterator<char>(file), {}};
    }
};

// Guards against a start that is refused as "not started" although it is in the journal.
TEST_F(target_service_test, refused_starts_carry_their_reason_and_are_not_in_the_journal)
{
    auto const now = base::to_unix_ms(this->clock.system_now());
    auto const late = this->post("/v1/start", "k0", "", now - 1);
    EXPECT_EQ((*late)->header("x-reason"), "late");
    auto const running = this->start("k1", "run_ms=100000");
    auto const refused = this->start("k2", "");
    EXPECT_EQ((*refused)->status, 503U);
    EXPECT_EQ((*refused)->header("x-not-started"), "true");
    EXPECT_EQ((*refused)->header("x-reason"), "no-slot");
    EXPECT_FALSE(*running);
    EXPECT_EQ(this->journal_text(), std::to_string(now) + " k1 0 t\n");
}

TEST_F(target_service_test, response_echoes_the_task_identity_and_frees_the_slot)
{
    auto const done = this->wait_for(this->start("k1", "run_ms=1"));
    EXPECT_EQ(done.status, 200U);
    EXPECT_EQ(done.body, "done k1 0");
    EXPECT_EQ(done.header("x-key"), "k1");
    EXPECT_EQ(this->wait_for(this->start("k2", "run_ms=1 fail")).status, 422U);
    EXPECT_EQ(this->service.running_count(), 0U);
}

TEST_F(target_service_test, cancelled_task_gets_409_and_frees_its_slot)
{
    auto const running = this->start("k1", "run_ms=100000");
    EXPECT_EQ((*this->post("/v1/cancel", "other", ""))->body, R"({"cancelled":false})");
    EXPECT_EQ((*this->post("/v1/cancel", "k1", ""))->body, R"({"cancelled":true})");
    EXPECT_EQ((*running)->status, 409U);
    EXPECT_EQ((*running)->header("x-reason"), "cancelled");
    EXPECT_EQ(this->service.running_count(), 0U);
}

TEST_F(target_service_test, each_injected_fault_changes_the_response)
{
    this->control(R"({"wrong_key":true})");
    EXPECT_NE(this->wait_for(this->start("k", "run_ms=1")).header("x-key"), "k");
    this->control(R"({"wrong_key":false,"drop_answers":true})");
    EXPECT_EQ(this->wait_for(this->start("k", "run_ms=1")).fault, net::injected_fault::no_response);
    this->control(R"({"drop_answers":false,"cut_body":true})");
    EXPECT_EQ(this->wait_for(this->start("k", "run_ms=1")).fault, net::injected_fault::cut_body);
    this->control(R"({"cut_body":false,"fail_all":true})");
    EXPECT_EQ((*this->start("k", "run_ms=100000"))->status, 500U);
    this->control(R"({"fail_all":false,"refuse_all":true})");
    EXPECT_EQ((*this->start("k", ""))->status, 503U);
    this->control(R"({"refuse_all":false,"hang":true})");
    auto const hanging = this->start("k", "run_ms=0");
    EXPECT_FALSE(*hanging);
    this->control(R"({"hang":false})");
    EXPECT_EQ((*hanging)->status, 200U);
}

// Guards against a graceful shutdown that aborts a running task.
TEST_F(target_service_test, leaving_target_finishes_running_tasks_and_refuses_new_ones)
{
    auto const running = this->start("k1", "run_ms=20");
    bool drained = false;
    this->service.leave([&] { drained = true; });
    EXPECT_EQ((*this->start("k2", ""))->header("x-reason"), "leaving");
    ASSERT_TRUE(run_until(this->io, [&] { return drained; }));
    EXPECT_EQ(running->value().status, 200U);
}

// Guards against a resubmission with a new key, which would run the job twice.
TEST(load_generator, lost_response_is_retried_with_the_same_key)
{
    boost::asio::io_context io;
    std::vector<net::http_request> requests;
    auto const server =
        std::move(net::http_server::listen(
                      io, "127.0.0.1:0", {},
                      [&](net::http_request request, net::http_responder const& respond)
                      {
                          requests.push_back(request);
                          auto const key = request.path.substr(request.path.rfind('/') + 1);
                          respond({.body = R"({"state":"complete","results":[{"index":0,)"
                                           R"("outcome":"succeeded","body":"done )" +
                                           key + R"( 0"}]})",
                                   .fault = requests.size() == 1 ? net::injected_fault::no_response
                                                                 : net::injected_fault::none});
                      })
                      .value());
    base::machine_clock const clock;
    std::vector<planned_job> const plan{{.submit_at = milliseconds_f(0), .run_ms = {5}}};
    load_generator tool(io, clock,
                        {.entries = {"127.0.0.1:" + std::to_string(server->port())},
                         .route = "r",
                         .token = "secret",
                         .key_suffix = "x"},
                        plan);
    tool.start();
    ASSERT_TRUE(run_until(io, [&] { return tool.records()[0].outcome.has_value(); }));
    EXPECT_EQ(tool.records()[0].outcome, submission_outcome::complete);
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[0].path, requests[1].path);
    EXPECT_EQ(requests[0].header("authorization"), "Bearer secret");
    EXPECT_EQ(requests[0].body, R"({"tasks":[{"payload":"run_ms=5"}]})");
}

} // namespace
} // namespace filbertroad::standin

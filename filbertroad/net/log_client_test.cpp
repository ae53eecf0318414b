#include "filbertroad/net/log_client.hpp"

#include "filbertroad/net/base64.hpp"
#include "filbertroad/net/internal/log_responses.hpp"
#include "filbertroad/net/internal/run_until.hpp"

#include <gtest/gtest.h>
#include <optional>

namespace filbertroad::net
{
namespace
{

using internal::parse_append_response;
using internal::parse_read_response;

http_result response(unsigned status, std::string body)
{
    return http_response{.status = status, .body = std::move(body)};
}

TEST(base64, round_trips_every_length_and_byte_value)
{
    std::string bytes;
    for (int i = 0; i < 300; ++i)
    {
        EXPECT_EQ(decode_base64(encode_base64(bytes)), bytes);
        bytes.push_back(static_cast<char>(i));
    }
    EXPECT_EQ(encode_base64("ab"), "YWI=");
}

// Guards against a corrupt record that is applied as if it were intact.
TEST(base64, rejects_text_that_is_not_base64)
{
    for (auto const* const text : {"YWI", "Y=I=", "Y===", "YW\nI", " YWI", "YWI*", "===="})
    {
        EXPECT_FALSE(decode_base64(text)) << text;
    }
}

TEST(log_responses, parses_a_page_with_records)
{
    auto const page = parse_read_response(
        response(200, R"({"first":3,"next":9,"records":[{"offset":3,"data":"YQ=="},)"
                      R"({"offset":8,"data":""}]})"),
        1);
    ASSERT_TRUE(page);
    EXPECT_EQ(page.value().first, 3U);
    EXPECT_EQ(page.value().next, 9U);
    ASSERT_EQ(page.value().records.size(), 2U);
    EXPECT_EQ(page.value().records[0].data, "a");
}

// Guards against a process that applies records twice, in the wrong order, or from another
// response.
TEST(log_responses, rejects_records_out_of_order_or_out_of_bounds)
{
    for (auto const* const body :
         {R"({"first":1,"next":9,"records":[{"offset":6,"data":""},{"offset":6,"data":""}]})",
          R"({"first":1,"next":9,"records":[{"offset":4,"data":""}]})",
          R"({"first":1,"next":9,"records":[{"offset":9,"data":""}]})",
          R"({"first":1,"next":9,"records":[{"offset":6,"data":"?"}]})",
          R"({"first":1,"next":9,"records":[{"offset":-6,"data":""}]})",
          R"({"first":9,"next":1,"records":[]})", R"({"first":1,"next":9})", "[]", "", "{"})
    {
        auto const page = parse_read_response(response(200, body), 5);
        ASSERT_FALSE(page) << body;
        EXPECT_EQ(page.error().code, log_error::invalid_response) << body;
    }
}

// Guards against an append that is reported as rejected although it may have taken effect.
TEST(log_responses, only_status_429_says_that_an_append_did_not_take_effect)
{
    EXPECT_EQ(parse_append_response(response(200, R"({"offset":7})")).value(), 7U);
    EXPECT_EQ(parse_append_response(response(429, "")).error().code, log_error::rate_limited);
    EXPECT_EQ(parse_append_response(response(503, "")).error().code, log_error::unavailable);
    EXPECT_EQ(parse_append_response(response(200, R"({"offset":0})")).error().code,
              log_error::invalid_response);
    EXPECT_EQ(parse_append_response(http_failure{{net_error::timeout, ""}, true}).error().code,
              log_error::unavailable);
}

TEST(http_log_client, sends_the_documented_requests)
{
    boost::asio::io_context io;
    std::vector<http_request> requests;
    auto const server = std::move(
        http_server::listen(io, "127.0.0.1:0", {},
                            [&](http_request request, http_responder const& respond)
                            {
                                bool const append = request.method == "POST";
                                requests.push_back(std::move(request));
                                respond({.body = append ? R"({"offset":4})"
                                                        : R"({"first":1,"next":5,"records":[]})"});
                            })
            .value());
    http_log_client log(io, "127.0.0.1:" + std::to_string(server->port()), "control");
    std::optional<append_result> appended;
    std::optional<read_result> page;
    log.append(std::string("\0\r\n", 3), [&](append_result result) { appended = result; });
    ASSERT_TRUE(internal::run_until(io, [&] { return appended.has_value(); }));
    log.read(5, std::chrono::milliseconds(250), [&](read_result result) { page = result; });
    ASSERT_TRUE(internal::run_until(io, [&] { return page.has_value(); }));
    EXPECT_EQ(appended->value(), 4U);
    EXPECT_EQ(page->value().next, 5U);
    EXPECT_EQ(requests[0].path, "/v1/streams/control/records");
    EXPECT_EQ(requests[0].body, std::string("\0\r\n", 3));
    EXPECT_EQ(requests[1].query_value("from"), "5");
    EXPECT_EQ(requests[1].query_value("wait_ms"), "250");
}

} // namespace
} // namespace filbertroad::net

#include "filbertroad/net/http.hpp"
#include "filbertroad/net/internal/http2_session.hpp"
#include "filbertroad/net/internal/log_responses.hpp"
#include "filbertroad/net/internal/mutation.hpp"
#include "filbertroad/net/internal/run_until.hpp"
#include "filbertroad/wire/framing.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>
#include <optional>
#include <sys/resource.h>

namespace filbertroad::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using internal::mutate;
using internal::run_until;

/// Memory that a node may use for control, in bytes (docs/design.md). Malformed input must not use
/// more. AddressSanitizer retains freed memory, which counts as well: run it with
/// quarantine_size_mb=16.
constexpr long max_memory_growth_bytes = 256L * 1024 * 1024;

long peak_memory_bytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss * 1024L;
}

/// Checks that a test does not increase the peak memory by more than the limit.
struct fuzz_test : testing::Test
{
    // Disables logging: protobuf writes a line to stderr for each string that is not UTF-8.
    fuzz_test() { google::protobuf::SetLogHandler(nullptr); }
    ~fuzz_test() override
    {
        EXPECT_LT(peak_memory_bytes() - this->peak_before_bytes, max_memory_growth_bytes);
    }
    fuzz_test(fuzz_test const&) = delete;
    fuzz_test& operator=(fuzz_test const&) = delete;

    long peak_before_bytes = peak_memory_bytes();
};

/// One end of a link without a socket.
class in_memory_link_end final : private internal::stream_handler
{
public:
    explicit in_memory_link_end(internal::link_side side, std::string outgoing = {})
        : outgoing(std::move(outgoing)), session(side, *this)
    {
    }

    std::string output()
    {
        std::string out;
        this->session.collect(out, 1UL << 20U);
        return out;
    }

    bool receive(std::string_view bytes) { return !this->session.receive(bytes); }

    std::size_t messages = 0;

private:
    void on_stream_opened() override {}
    std::optional<base::error<net_error>> on_stream_bytes(std::string_view bytes) override
    {
        auto const error = this->reader.feed(bytes, [&](wire::link_message&) { ++this->messages; });
        return error ? std::optional(base::error<net_error>{net_error::protocol, error->detail})
                     : std::nullopt;
    }
    void on_stream_ended() override {}
    chunk read_outgoing(std::span<char> out) override
    {
        auto const size = this->outgoing.copy(out.data(), out.size());
        this->outgoing.erase(0, size);
        return {.size = size};
    }

    std::string outgoing;
    wire::frame_reader reader{wire::default_max_frame_bytes};
    internal::http2_session session;
};

std::string sample_frames()
{
    std::string frames;
    for (std::uint32_t i = 0; i < 20; ++i)
    {
        wire::link_message message;
        auto& start = *message.mutable_start();
        start.mutable_task()->set_route("stock");
        start.mutable_task()->set_key("1790000000000-a");
        start.mutable_task()->set_index(i);
        start.set_payload("run_ms=120");
        wire::append_frame(message, frames);
    }
    return frames;
}

// Guards against a crash or unbounded replies when a faulty peer sends malformed bytes on a link.
TEST_F(fuzz_test, mutated_link_bytes_are_rejected_or_delivered)
{
    std::mt19937_64 random(11);
    auto const valid_input =
        in_memory_link_end(internal::link_side::connecting, sample_frames()).output();
    auto const response = [&]
    {
        in_memory_link_end server(internal::link_side::accepting, sample_frames());
        EXPECT_TRUE(server.receive(valid_input));
        EXPECT_EQ(server.messages, 20U);
        return server.output();
    }();
    std::size_t rejected = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        bool const to_server = i % 2 == 0;
        in_memory_link_end end(to_server ? internal::link_side::accepting
                                         : internal::link_side::connecting);
        end.output();
        rejected += end.receive(mutate(to_server ? valid_input : response, random)) ? 0 : 1;
        ASSERT_LE(end.messages, 2'000U);
        ASSERT_LT(end.output().size(), 100'000U);
    }
    EXPECT_GT(rejected, 5'000U);
}

// Guards against messages parsed from corrupt frames, and against a crash in frame_reader.
TEST_F(fuzz_test, mutated_frames_are_rejected_or_parsed)
{
    std::mt19937_64 random(12);
    auto const valid_input = sample_frames();
    for (int i = 0; i < 50'000; ++i)
    {
        wire::frame_reader reader(4'096);
        std::size_t messages = 0;
        reader.feed(mutate(valid_input, random), [&](wire::link_message&) { ++messages; });
        ASSERT_LE(messages, 1'000U);
    }
}

std::string exchange_raw(asio::io_context& io, std::uint16_t port, std::string const& bytes)
{
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), port});
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::string response;
    bool is_closed = false;
    asio::async_read(socket, asio::dynamic_buffer(response),
                     [&](boost::system::error_code, std::size_t) { is_closed = true; });
    EXPECT_TRUE(run_until(io, [&] { return is_closed; }));
    return response;
}

// Guards against a server that crashes, hangs or leaks connections after malformed requests.
TEST_F(fuzz_test, server_responds_to_or_closes_each_mutated_request_and_serves_the_next)
{
    asio::io_context io;
    std::mt19937_64 random(13);
    http_limits const limits{.max_header_bytes = 2'000, .max_body_bytes = 1'000};
    auto const server = std::move(
        http_server::listen(io, "127.0.0.1:0", limits,
                            [](http_request const& request, http_responder const& respond)
                            {
                                respond({.headers = {{"x-seen", std::string(request.header("x"))}},
                                         .body = request.query_value("a")});
                            })
            .value());
    std::string const plain = "PUT /v1/routes/r/jobs/k?wait_ms=5&a=%41 HTTP/1.1\r\nHost: a\r\n"
                              "X: y\r\nContent-Length: 11\r\n\r\n{\"tasks\":1}";
    std::string const chunked = "POST /v1/start HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    for (int i = 0; i < 3'000; ++i)
    {
        auto const bytes = mutate(i % 2 == 0 ? plain : chunked + plain, random);
        auto const response = exchange_raw(io, server->port(), bytes);
        ASSERT_TRUE(response.empty() || response.starts_with("HTTP/1.")) << i;
        ASSERT_LT(response.size(), 20'000U);
    }
    EXPECT_TRUE(exchange_raw(io, server->port(), plain).starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(run_until(io, [&] { return server->is_idle(); }));
}

// Guards against a client that never calls its handler, or calls it twice, after a malformed
// response.
TEST_F(fuzz_test, client_calls_its_handler_once_for_each_mutated_response)
{
    asio::io_context io;
    std::mt19937_64 random(14);
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    std::string const valid_input =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Key: k\r\n"
        "Content-Length: 12\r\n\r\n{\"offset\":1}";
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "5\r\nabcde\r\n0\r\n\r\n";
    for (int i = 0; i < 2'000; ++i)
    {
        http_client client(io, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), 1);
        int calls = 0;
        client.send({.method = "GET", .path = "/"}, std::chrono::seconds(20),
                    [&](http_result const&) { ++calls; });
        auto const bytes = mutate(i % 2 == 0 ? valid_input : chunked, random);
        tcp::socket socket(io);
        acceptor.async_accept(socket,
                              [&](boost::system::error_code)
                              {
                                  boost::system::error_code ignored;
                                  asio::write(socket, asio::buffer(bytes), ignored);
                                  socket.shutdown(tcp::socket::shutdown_send, ignored);
                              });
        ASSERT_TRUE(run_until(io, [&] { return calls > 0; })) << i;
        io.restart();
        io.poll();
        ASSERT_EQ(calls, 1);
    }
}

// Guards against control state that is built from a corrupt page.
TEST_F(fuzz_test, mutated_log_responses_are_rejected_or_in_order)
{
    std::mt19937_64 random(15);
    std::string const valid_input = R"({"first":3,"next":9,"records":[{"offset":4,"data":"YWJj"},)"
                                    R"({"offset":7,"data":"YQ=="}]})";
    std::size_t accepted = 0;
    for (int i = 0; i < 50'000; ++i)
    {
        http_result const response = http_response{.body = mutate(valid_input, random)};
        auto const offset = internal::parse_append_response(response);
        ASSERT_TRUE(!offset || offset.value() > 0);
        auto const page = internal::parse_read_response(response, 4);
        if (!page)
        {
            continue;
        }
        ++accepted;
        std::uint64_t last = 3;
        for (auto const& record : page.value().records)
        {
            ASSERT_TRUE(record.offset > last && record.offset < page.value().next);
            last = record.offset;
        }
    }
    EXPECT_GT(accepted, 100U);
}

} // namespace
} // namespace filbertroad::net

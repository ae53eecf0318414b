#include "filbertroad/telemetry/span_writer.hpp"
#include "filbertroad/telemetry/trace_context.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <random>
#include <unistd.h>

namespace filbertroad::telemetry
{
namespace
{

constexpr std::string_view valid_traceparent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

TEST(trace_context, header_round_trips)
{
    auto const parsed = parse_traceparent(valid_traceparent);
    ASSERT_TRUE(parsed.has_value());
    EXPECT_TRUE(parsed->sampled);
    EXPECT_EQ(to_traceparent(*parsed), valid_traceparent);
    std::mt19937_64 generator(5);
    auto const child = child_of(new_trace(generator, false), generator);
    EXPECT_EQ(parse_traceparent(to_traceparent(child)), child);
}

// Guards against forwarding malformed headers of callers to agents and targets.
TEST(trace_context, malformed_headers_are_refused)
{
    for (std::string_view const text : {
             "",
             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
             "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
             "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
             "00-0af7651916cd43dd-448eb211c80319c-b7ad6b7169203331-0x",
         })
    {
        EXPECT_FALSE(parse_traceparent(text).has_value()) << text;
    }
}

TEST(span_writer, sampled_spans_become_otlp_lines)
{
    auto const path = testing::TempDir() + "spans_test_" + std::to_string(getpid());
    auto writer = span_writer::open(path, "entry-1");
    ASSERT_TRUE(writer.has_value());
    span_record span{
        .context = *parse_traceparent(valid_traceparent), .parent = 10, .name = "submit \"x\""};
    span.start = base::from_unix_ms(1'000);
    span.end = base::from_unix_ms(1'250);
    span.attributes = {{"route", "stock"}};
    span.failed = true;
    writer.value()->write(span);
    span.context.sampled = false;
    writer.value()->write(span);
    std::ifstream file(path);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    EXPECT_EQ(text, R"({"resourceSpans":[{"resource":{"attributes":[{"key":"service.name",)"
                    R"("value":{"stringValue":"entry-1"}}]},"scopeSpans":[{"scope":{"name":)"
                    R"("filbertroad"},"spans":[{"traceId":"0af7651916cd43dd8448eb211c80319c",)"
                    R"("spanId":"b7ad6b7169203331","parentSpanId":"000000000000000a",)"
                    R"("name":"submit \"x\"","kind":1,"startTimeUnixNano":"1000000000",)"
                    R"("endTimeUnixNano":"1250000000","attributes":[{"key":"route","value":)"
                    R"({"stringValue":"stock"}}],"status":{"code":2}}]}]}]})"
                    "\n");
    std::remove(path.c_str());
}

} // namespace
} // namespace filbertroad::telemetry

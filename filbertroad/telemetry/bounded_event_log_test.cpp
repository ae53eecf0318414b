#include "filbertroad/telemetry/bounded_event_log.hpp"

#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace filbertroad::telemetry
{
namespace
{

class bounded_event_log_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(pipe(this->pipe_ends.data()), 0);
        fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
    }

    void TearDown() override
    {
        close(this->pipe_ends[0]);
        close(this->pipe_ends[1]);
    }

    std::string read_all()
    {
        std::string out;
        std::array<char, 4096> part{};
        for (auto size = read(this->pipe_ends[0], part.data(), part.size()); size > 0;
             size = read(this->pipe_ends[0], part.data(), part.size()))
        {
            out.append(part.data(), static_cast<std::size_t>(size));
        }
        return out;
    }

    std::array<int, 2> pipe_ends{};
    base::manual_clock clock;
};

TEST_F(bounded_event_log_test, flushed_line_holds_time_severity_process_and_fields)
{
    bounded_event_log log(this->clock, this->pipe_ends[1], "entry-1");
    log.write(events::job_answered, {{"key", "k"}, {"reason", ""}});
    EXPECT_EQ(this->read_all(), "");
    log.flush();
    auto const line = this->read_all();
    EXPECT_NE(line.find("Z INFO entry-1 5003 job_answered key=k reason=\"\"\n"), std::string::npos)
        << line;
    EXPECT_EQ(line.find(".000Z"), 19U);
}

// Guards against a process that blocks because its log is not read.
TEST_F(bounded_event_log_test, slow_reader_drops_lines_without_blocking)
{
    bounded_event_log log(this->clock, this->pipe_ends[1], "p");
    std::string const text(1'000, 'x');
    for (int line = 0; line < 3'000; ++line)
    {
        log.write(events::bad_input, {{"reason", text}});
        if (line % 100 == 0)
        {
            log.flush();
        }
    }
    std::string seen;
    for (int round = 0; round < 100; ++round)
    {
        log.flush();
        seen += this->read_all();
    }
    EXPECT_LT(seen.size(), bounded_event_log::max_buffered_bytes + 200'000);
    log.write(events::bad_input, {{"reason", "later"}});
    log.flush();
    EXPECT_NE(this->read_all().find("lines_dropped count="), std::string::npos);
}

// Guards against a crowd of dropped requests that takes the place of the events of others.
TEST_F(bounded_event_log_test, dropped_requests_are_counted_and_others_keep_their_events)
{
    bounded_event_log log(this->clock, this->pipe_ends[1], "p");
    log.begin_request("ordinary");
    log.write_for("ordinary", events::job_received, {{"key", "ordinary"}});
    for (int number = 0; number < 20'000; ++number)
    {
        auto const key = std::to_string(number);
        log.begin_request(key);
        log.write_for(key, events::job_received, {{"key", key}});
        log.write_for(key, events::job_answered, {{"key", key}, {"reason", "cancelled"}});
        log.end_request(key, request_end::dropped, "cancelled");
    }
    log.write_for("ordinary", events::job_answered, {{"key", "ordinary"}});
    log.end_request("ordinary", request_end::served, "");
    log.flush();
    this->clock.advance(std::chrono::seconds(1));
    log.flush();
    auto const text = this->read_all();
    EXPECT_NE(text.find("job_received key=ordinary"), std::string::npos);
    EXPECT_NE(text.find("job_answered key=ordinary"), std::string::npos);
    EXPECT_NE(text.find("requests_summarized reason=cancelled count=19900"), std::string::npos)
        << text.size();
    EXPECT_LT(text.size(), 40'000U);
}

// Guards against a request whose events are missing because it is still open when the process ends.
TEST_F(bounded_event_log_test, events_of_an_open_request_are_held_for_a_bounded_time)
{
    bounded_event_log log(this->clock, this->pipe_ends[1], "p");
    log.begin_request("k");
    log.write_for("k", events::job_received, {{"key", "k"}});
    log.flush();
    EXPECT_EQ(this->read_all(), "");
    this->clock.advance(bounded_event_log::max_hold_time);
    log.flush();
    EXPECT_NE(this->read_all().find("job_received key=k"), std::string::npos);
    log.write_for("k", events::job_answered, {{"key", "k"}});
    log.end_request("k", request_end::dropped, "cancelled");
    log.flush();
    EXPECT_NE(this->read_all().find("job_answered key=k"), std::string::npos);
}

// Guards against reasons of a client's choice that each take memory and a line.
TEST_F(bounded_event_log_test, reasons_beyond_a_bound_share_a_count)
{
    bounded_event_log log(this->clock, this->pipe_ends[1], "p");
    for (int number = 0; number < 1'000; ++number)
    {
        auto const key = std::to_string(number);
        log.begin_request(key);
        log.write_for(key, events::request_refused, {{"request", key}});
        log.end_request(key, request_end::dropped, "reason " + key);
    }
    this->clock.advance(std::chrono::seconds(1));
    log.flush();
    EXPECT_NE(this->read_all().find("requests_summarized reason=other count=868"),
              std::string::npos);
}

// Guards against header fields and labels of a client's choice that fill the log.
TEST_F(bounded_event_log_test, long_values_are_cut_and_the_volume_is_bounded)
{
    bounded_event_log log(this->clock, this->pipe_ends[1], "p");
    log.write(events::bad_input, {{"reason", std::string(100'000, 'x')}});
    log.flush();
    EXPECT_LT(this->read_all().size(), 1'200U);
    std::size_t written = 0;
    for (int number = 0; number < 10'000; ++number)
    {
        log.write(events::bad_input, {{"reason", std::string(1'000, 'x')}});
        log.flush();
        written += this->read_all().size();
    }
    EXPECT_LT(written, bounded_event_log::max_bytes_per_second + 2'000);
    this->clock.advance(std::chrono::seconds(1));
    log.write(events::bad_input, {{"reason", "after"}});
    log.flush();
    auto const text = this->read_all();
    EXPECT_NE(text.find("lines_dropped count="), std::string::npos);
    EXPECT_NE(text.find("reason=after"), std::string::npos);
}

} // namespace
} // namespace filbertroad::telemetry

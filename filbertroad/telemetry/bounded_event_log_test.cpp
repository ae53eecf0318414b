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

} // namespace
} // namespace filbertroad::telemetry

#include "filbertroad/telemetry/event_log.hpp"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace filbertroad::telemetry
{
namespace
{

std::string read_file(std::string const& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

// Guards against an event number or name that is used twice.
TEST(events, numbers_and_names_are_unique_and_in_order)
{
    auto const by_number = [](auto const& a, auto const& b) { return a.number < b.number; };
    EXPECT_TRUE(std::is_sorted(all_events.begin(), all_events.end(), by_number));
    for (std::size_t i = 1; i < all_events.size(); ++i)
    {
        EXPECT_NE(all_events[i - 1].number, all_events[i].number);
        for (std::size_t other = 0; other < i; ++other)
        {
            EXPECT_NE(all_events[other].name, all_events[i].name);
        }
    }
}

// Guards against an events page that is out of date.
TEST(events, page_in_docs_matches_the_catalogue)
{
    EXPECT_EQ(read_file(FILBERTROAD_SOURCE_DIR "/docs/events.md"), events_page())
        << "run: filbertroad check --events > docs/events.md";
}

// Guards against log injection: caller input that forges lines or fields.
TEST(event_log, values_with_spaces_or_line_breaks_are_quoted)
{
    std::vector<event_field> const fields{{"key", "a\nb c=\"d\""}, {"zone", "lhr-a"}, {"x", ""}};
    EXPECT_EQ(format_event(events::bad_input, fields),
              "7002 bad_input key=\"a\\u000ab c=\\\"d\\\"\" zone=lhr-a x=\"\"");
}

TEST(event_log, lines_hold_time_severity_process_and_event)
{
    auto const path = testing::TempDir() + "event_log_test_" + std::to_string(getpid());
    for (int run = 0; run < 2; ++run)
    {
        auto log = open_event_log(path, "entry-1");
        ASSERT_TRUE(log.has_value());
        log.value()->write(events::log_unreachable, {{"address", "127.0.0.1:7000"}});
    }
    auto const text = read_file(path);
    auto const line = text.substr(0, text.find('\n'));
    EXPECT_EQ(line.substr(24), " ERROR entry-1 2001 log_unreachable address=127.0.0.1:7000");
    EXPECT_EQ(line[10], 'T');
    EXPECT_EQ(line[23], 'Z');
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2);
    std::remove(path.c_str());
}

TEST(event_log, opening_an_unwritable_path_fails)
{
    EXPECT_FALSE(open_event_log("/no/such/folder/log", "e").has_value());
}

} // namespace
} // namespace filbertroad::telemetry

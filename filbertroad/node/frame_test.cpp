#include "filbertroad/node/frame.hpp"

#include <gtest/gtest.h>

namespace filbertroad::node
{
namespace
{

dispatch::start_order make_order(std::string const& task, std::string payload)
{
    dispatch::start_order order;
    order.id = {task, 1};
    order.payload = std::move(payload);
    return order;
}

frame make_starts()
{
    frame content;
    content.starts = {make_order("a", std::string(1'000, 'x')),
                      make_order("b", std::string(1'000, 'x')),
                      make_order("c", std::string(1'000, 'y'))};
    return content;
}

// Guards against a link filled by the payload of a wide job, which every task of the job carried.
TEST(frame_test, payload_shared_by_consecutive_starts_is_sent_once)
{
    auto const content = make_starts();
    auto const message = encode_frame(content, protocol_version);
    EXPECT_LT(message.ByteSizeLong(), 2'200U);
    auto const decoded = decode_frame(message);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->starts.size(), 3U);
    for (std::size_t index = 0; index < content.starts.size(); ++index)
    {
        EXPECT_EQ(decoded->starts[index].payload, content.starts[index].payload);
    }
}

// Guards against empty payloads at agents of the version before, during a rolling update.
TEST(frame_test, every_start_to_an_agent_of_protocol_0_has_its_payload)
{
    auto const message = encode_frame(make_starts());
    for (auto const& order : message.dispatch().starts())
    {
        EXPECT_EQ(order.payload().size(), 1'000U);
    }
}

// Guards against a run with the payload of nothing.
TEST(frame_test, frame_whose_first_start_has_no_payload_of_its_own_is_rejected)
{
    wire::link_message message;
    message.mutable_dispatch()->add_starts()->set_payload_of_previous(true);
    EXPECT_FALSE(decode_frame(message));
}

// Guards against a task that crashes its targets and is started forever, because the entry is not
// told that they were lost. A report of an earlier version says nothing about it.
TEST(frame_test, report_keeps_whether_the_target_was_lost)
{
    frame content;
    content.reports = {
        {.id = {"a", 1}, .end = dispatch::run_end::lost, .reason = "", .target_lost = true},
        {.id = {"b", 1}, .end = dispatch::run_end::lost, .reason = "", .target_lost = false}};
    auto message = encode_frame(content, protocol_version);
    message.mutable_dispatch()->add_reports()->set_outcome(wire::run_outcome_lost);
    auto const decoded = decode_frame(message);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->reports.size(), 3U);
    EXPECT_TRUE(decoded->reports[0].target_lost);
    EXPECT_FALSE(decoded->reports[1].target_lost);
    EXPECT_FALSE(decoded->reports[2].target_lost);
}

// Guards against a route that crashes targets and is started everywhere, because entries are not
// told of the crashes.
TEST(frame_test, crashes_and_the_route_of_an_order_round_trip)
{
    frame content;
    content.starts = {make_order("a", "payload")};
    content.starts[0].route = "route";
    content.status = dispatch::target_status{};
    content.status->crash_count = 2;
    content.status->crash_routes = {"route", "other"};
    content.has_status_details = true;
    auto const decoded = decode_frame(encode_frame(content, protocol_version));
    ASSERT_TRUE(decoded && decoded->status);
    EXPECT_EQ(decoded->starts[0].route, "route");
    EXPECT_EQ(decoded->status->crash_count, 2U);
    EXPECT_EQ(decoded->status->crash_routes, content.status->crash_routes);
}

// Guards against an upgrade in which entries read the status of an agent of an earlier version as
// evidence that its target makes progress, and leave their runs on a target that stands still.
TEST(frame_test, progress_round_trips_and_is_unknown_if_the_agent_does_not_report_it)
{
    frame content;
    content.status = dispatch::target_status{};
    content.has_status_details = true;
    for (auto const progress :
         {dispatch::target_progress_state::normal, dispatch::target_progress_state::delayed})
    {
        content.status->progress = progress;
        auto const decoded = decode_frame(encode_frame(content, protocol_version));
        ASSERT_TRUE(decoded && decoded->status);
        EXPECT_EQ(decoded->status->progress, progress);
    }
    auto message = encode_frame(content, protocol_version);
    message.mutable_dispatch()->mutable_load()->clear_progress();
    EXPECT_EQ(decode_frame(message)->status->progress, dispatch::target_progress_state::unknown);
}

// Guards against entries that do not know the labels of a target, or that take a target of an agent
// of the version before for one with labels.
TEST(frame_test, labels_are_details_of_a_status_and_absent_from_earlier_agents)
{
    frame content;
    content.status = dispatch::target_status{};
    content.status->labels = {"a", "r1-3"};
    auto message = encode_frame(content, protocol_version);
    EXPECT_EQ(decode_frame(message)->status->labels, content.status->labels);
    message.mutable_dispatch()->mutable_load()->clear_target_kind();
    message.mutable_dispatch()->mutable_load()->clear_target_rack();
    EXPECT_EQ(decode_frame(message)->status->labels, dispatch::target_labels{});
    content.has_status_details = false;
    message = encode_frame(content, protocol_version);
    EXPECT_FALSE(message.dispatch().load().has_capacity());
    EXPECT_TRUE(message.dispatch().load().target_rack().empty());
}

// Guards against agents that do not check the label of a target, or the limit of a step.
TEST(frame_test, constraints_of_an_order_round_trip)
{
    frame content;
    content.starts = {make_order("a", "payload")};
    content.starts[0].required_labels = {"gpu", "r1"};
    content.starts[0].max_per_target = 2;
    auto const decoded = decode_frame(encode_frame(content, protocol_version));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->starts[0].required_labels, content.starts[0].required_labels);
    EXPECT_EQ(decoded->starts[0].max_per_target, 2U);
}

TEST(frame_test, status_leaves_out_details_for_receivers_that_keep_them)
{
    frame content;
    content.status = dispatch::target_status{};
    content.status->service = "service";
    content.status->capacity = {32'000, 64'000, 0};
    content.has_status_details = false;
    auto const without = decode_frame(encode_frame(content, protocol_version));
    EXPECT_FALSE(without->has_status_details);
    EXPECT_TRUE(without->status->service.empty());
    auto const old_receiver = decode_frame(encode_frame(content));
    EXPECT_TRUE(old_receiver->has_status_details);
    EXPECT_EQ(old_receiver->status->service, "service");
}

// Guards against a cancel that is lost or answered for another job, and against a frame of an
// earlier version that counts as an answer, or as an agent without links.
TEST(frame_test, cancels_and_linked_entries_round_trip)
{
    frame content;
    content.cancel_queries = {{7, "a"}, {8, "b"}};
    content.cancel_replies = {{9, true}, {10, false}};
    content.linked_entries = std::vector<std::string>{};
    content.for_cancels = true;
    auto const decoded = decode_frame(encode_frame(content, protocol_version));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->cancel_queries, content.cancel_queries);
    EXPECT_EQ(decoded->cancel_replies, content.cancel_replies);
    EXPECT_EQ(decoded->linked_entries, content.linked_entries);
    EXPECT_TRUE(decoded->for_cancels);
    auto const earlier = decode_frame(encode_frame({}, protocol_version));
    ASSERT_TRUE(earlier);
    EXPECT_TRUE(earlier->cancel_replies.empty());
    EXPECT_FALSE(earlier->linked_entries);
    EXPECT_FALSE(earlier->for_cancels);
}

// Guards against free resources that are read as a huge number when they are negative, as on a
// target whose capacity has shrunk.
TEST(frame_test, negative_free_resources_round_trip)
{
    frame content;
    content.status = dispatch::target_status{};
    content.status->capacity = {0, 64'000, 0};
    content.status->free = {-4'000, -10, -1};
    content.has_status_details = true;
    auto const decoded = decode_frame(encode_frame(content, protocol_version));
    ASSERT_TRUE(decoded && decoded->status);
    EXPECT_EQ(decoded->status->free, content.status->free);
    EXPECT_EQ(decoded->status->capacity, content.status->capacity);
}

// Guards against a link that closes as often as it is opened, since the runs that are resumed on it
// repeat their payload and exceed the largest message.
TEST(frame_test, resumed_orders_share_their_payload_from_protocol_2_on)
{
    frame content;
    content.resume.emplace();
    for (std::uint32_t number = 0; number < 1'000; ++number)
    {
        content.resume->push_back(
            {.id = {"task." + std::to_string(number), 1}, .payload = std::string(4'000, 'p')});
    }
    auto const message = encode_frame(content, 2);
    EXPECT_LT(message.ByteSizeLong(), 100'000U);
    EXPECT_GT(encode_frame(content, 1).ByteSizeLong(), 4'000'000U);
    auto const decoded = decode_frame(message);
    ASSERT_TRUE(decoded && decoded->resume);
    ASSERT_EQ(decoded->resume->size(), 1'000U);
    EXPECT_EQ(decoded->resume->back().payload, content.resume->back().payload);
    EXPECT_EQ(decoded->resume->back().payload.str().data(),
              decoded->resume->front().payload.str().data());
}

} // namespace
} // namespace filbertroad::node

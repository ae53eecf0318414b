#include "filbertroad/dispatch/snapshot_fetcher.hpp"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace filbertroad::dispatch
{
namespace
{

class snapshot_fetcher_test : public testing::Test
{
protected:
    [[nodiscard]] std::optional<std::string> next_request(std::uint64_t own_offset)
    {
        return this->fetcher.next_request(own_offset, this->now);
    }

    base::steady_time now{std::chrono::seconds(100)};
    snapshot_fetcher fetcher{"agent", milliseconds(50)};
};

// Guards against a transfer for a change that arrives by another way right after.
TEST_F(snapshot_fetcher_test, no_peer_is_asked_within_the_grace_time)
{
    this->fetcher.peer_announced("a", 2);
    EXPECT_FALSE(this->next_request(1));
    this->now += milliseconds(49);
    EXPECT_FALSE(this->next_request(1));
    this->now += milliseconds(1);
    EXPECT_FALSE(this->next_request(2));
    EXPECT_FALSE(this->next_request(1));
    this->now += milliseconds(50);
    EXPECT_EQ(this->next_request(1), "a");
}

// Guards against requests at the rate of a series of changes.
TEST_F(snapshot_fetcher_test, series_of_changes_is_fetched_at_a_bounded_rate)
{
    std::uint64_t offset = 1;
    std::uint64_t own_offset = 1;
    int requests = 0;
    for (int ms = 0; ms < 1'000; ms += 10)
    {
        this->fetcher.peer_announced("a", ++offset);
        if (auto const peer = this->next_request(own_offset))
        {
            ++requests;
            own_offset = offset;
            this->fetcher.received(*peer);
        }
        this->now += milliseconds(10);
    }
    EXPECT_LE(requests, 5);
    EXPECT_GE(requests, 4);
}

// Guards against a process that stays behind because the peer that it asked does not answer.
TEST_F(snapshot_fetcher_test, another_peer_is_asked_when_one_does_not_answer)
{
    this->fetcher.peer_announced("a", 2);
    this->fetcher.peer_announced("b", 2);
    static_cast<void>(this->next_request(1));
    this->now += milliseconds(50);
    auto const first = this->next_request(1);
    this->now += milliseconds(299);
    EXPECT_FALSE(this->next_request(1));
    this->now += milliseconds(1);
    auto const second = this->next_request(1);
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
}

// Guards against waiting for a peer that has gone.
TEST_F(snapshot_fetcher_test, lost_peer_is_not_waited_for_and_not_asked)
{
    this->fetcher.peer_announced("a", 3);
    this->fetcher.peer_announced("b", 2);
    static_cast<void>(this->next_request(1));
    this->now += milliseconds(50);
    EXPECT_EQ(this->next_request(1), "a");
    this->fetcher.peer_lost("a");
    this->now += milliseconds(200);
    EXPECT_EQ(this->next_request(1), "b");
}

// Guards against all agents asking the same entry.
TEST_F(snapshot_fetcher_test, requests_of_many_processes_are_spread_over_equal_peers)
{
    std::map<std::string, int> requests;
    for (int number = 0; number < 90; ++number)
    {
        snapshot_fetcher other("agent-" + std::to_string(number), milliseconds(0));
        for (auto const* peer : {"a", "b", "c"})
        {
            other.peer_announced(peer, 2);
        }
        ++requests[other.next_request(1, this->now).value()];
    }
    ASSERT_EQ(requests.size(), 3U);
    for (auto const& [peer, count] : requests)
    {
        EXPECT_GT(count, 15) << peer;
    }
}

} // namespace
} // namespace filbertroad::dispatch

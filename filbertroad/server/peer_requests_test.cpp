#include "filbertroad/server/peer_requests.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace filbertroad::server
{
namespace
{

using std::chrono::seconds;

model::process_id const peer{"entry-2", 1};
model::process_id const other_peer{"entry-3", 1};

class peer_requests_fixture : public testing::Test
{
protected:
    peer_requests_fixture()
        : requests(this->clock,
                   [this](model::process_id const&, wire::link_message const& message)
                   {
                       this->ids.push_back(message.request().id());
                       return this->linked;
                   })
    {
    }

    void send()
    {
        this->requests.send(peer, {}, seconds(1),
                            [this](peer_result const& result) { this->results.push_back(result); });
    }

    base::manual_clock clock;
    bool linked = true;
    std::vector<std::uint64_t> ids;
    std::vector<peer_result> results;
    peer_requests requests;
};

// Guards against delivering a response to the wrong request, or twice.
TEST_F(peer_requests_fixture, duplicate_response_or_response_from_wrong_peer_is_ignored)
{
    this->send();
    this->send();
    wire::response response;
    response.set_id(this->ids[1]);
    this->requests.response_received(other_peer, response);
    EXPECT_TRUE(this->results.empty());
    this->requests.response_received(peer, response);
    this->requests.response_received(peer, response);
    ASSERT_EQ(this->results.size(), 1U);
    EXPECT_TRUE(this->results[0]);
}

// Guards against requests that never complete.
TEST_F(peer_requests_fixture, request_does_not_hang_after_link_loss_or_timeout)
{
    this->send();
    this->requests.link_closed(other_peer);
    EXPECT_TRUE(this->results.empty());
    this->requests.link_closed(peer);
    this->send();
    this->clock.advance(seconds(1));
    this->requests.tick();
    this->linked = false;
    this->send();
    ASSERT_EQ(this->results.size(), 3U);
    EXPECT_EQ(this->results[0].error(), peer_error::link_closed);
    EXPECT_EQ(this->results[1].error(), peer_error::timeout);
    EXPECT_EQ(this->results[2].error(), peer_error::not_linked);
}

} // namespace
} // namespace filbertroad::server

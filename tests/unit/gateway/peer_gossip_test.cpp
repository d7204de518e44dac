#include "services/gateway/peer_gossip.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

/// A node and a peer whose answers to pings may carry the id of another node.
class peer_gossip_test : public testing::Test
{
protected:
    peer_gossip_test()
    {
        EXPECT_FALSE(this->peer.bind({"127.0.0.1", 0}));
        this->entry.node = core::node_id("peer");
        this->entry.revision = {0, 7};
        this->entry.peers = {"127.0.0.1", std::uint16_t(this->peer.port())};
        EXPECT_FALSE(this->gossip.listen({"127.0.0.1", 0}));
        this->gossip.set_members({this->entry});
        this->gossip.start();
    }
    ~peer_gossip_test() override
    {
        this->gossip.close();
        close(this->sink);
    }

    auto answer(std::string_view bytes, const core::endpoint& from) -> void
    {
        const auto ping = decode_datagram(bytes);
        ASSERT_TRUE(ping);
        if (ping.value().kind != gossip_kind::ping) {
            return;
        }
        ++this->pings;
        auto ack = gossip_datagram();
        ack.kind = gossip_kind::ack;
        ack.number = ping.value().number;
        ack.sender = this->answers_as;
        EXPECT_FALSE(this->peer.send(from, encode(ack)));
    }

    auto run_until(const std::function<bool()>& ready) -> bool
    {
        const auto end = this->clock.now() + std::chrono::seconds(10);
        while (!ready() && this->clock.now() < end) {
            this->loop.run_once();
        }
        return ready();
    }

    core::runtime_clock clock;
    event::loop loop{clock};
    int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    event_log log{loop, clock, sink, "self"};
    adapter::node_entry entry;
    core::node_id answers_as{"peer"};
    int pings = 0;
    event::udp_socket peer{loop, [this](auto bytes, const auto& from) {
                               this->answer(bytes, from);
                           }};
    adapter::node_entry self{core::node_id("self"), {}, {}, "i", {}, 1, 1, 1};
    peer_gossip gossip{loop, self, log};
};

TEST_F(peer_gossip_test, a_node_that_answers_pings_is_alive)
{
    constexpr auto several = 10;
    EXPECT_TRUE(this->run_until([this]() { return this->pings >= several; }));
    EXPECT_TRUE(this->gossip.is_alive(this->entry.node));
}

// Another node has taken over the address of the peer and answers its pings.
TEST_F(peer_gossip_test, answers_of_another_node_are_ignored)
{
    this->answers_as = core::node_id("other");
    EXPECT_TRUE(this->run_until(
        [this]() { return !this->gossip.is_alive(this->entry.node); }));
    EXPECT_GT(this->pings, 0);
}

TEST_F(peer_gossip_test, a_node_that_registers_again_is_alive)
{
    this->answers_as = core::node_id("other");
    ASSERT_TRUE(this->run_until(
        [this]() { return !this->gossip.is_alive(this->entry.node); }));
    this->answers_as = this->entry.node;
    this->entry.revision = {0, 8};
    this->gossip.set_members({this->entry});
    EXPECT_TRUE(this->gossip.is_alive(this->entry.node));
}

} // namespace
} // namespace almondtiller::gateway

#include "services/gateway/ready_nodes.h"

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

class ready_nodes_test : public testing::Test
{
protected:
    ready_nodes_test()
    {
        this->peer.entry.node = core::node_id("n");
        this->peer.entry.front = {"127.0.0.1", 1};
        this->peer.entry.incarnation = "second";
        this->peer.is_alive = true;
        this->status.front = {"127.0.0.1", 2};
        this->status.incarnation = "second";
        this->status.is_ready = true;
    }

    peer_view peer;
    node_status status;
};

TEST_F(ready_nodes_test, a_node_that_has_registered_is_ready)
{
    EXPECT_EQ(as_ready(this->peer, nullptr)->front.port, 1);
    this->peer.is_alive = false;
    EXPECT_FALSE(as_ready(this->peer, nullptr));
}

TEST_F(ready_nodes_test, what_a_node_says_goes_first)
{
    EXPECT_EQ(as_ready(this->peer, &this->status)->front.port, 2);
    this->status.is_ready = false;
    EXPECT_FALSE(as_ready(this->peer, &this->status));
}

// It had said that it leaves, and hundreds of nodes have not heard it since.
TEST_F(ready_nodes_test, what_a_node_said_before_its_restart_is_void)
{
    this->status.incarnation = "first";
    this->status.is_ready = false;
    ASSERT_TRUE(as_ready(this->peer, &this->status));
    EXPECT_EQ(as_ready(this->peer, &this->status)->front.port, 1);
}

TEST_F(ready_nodes_test, earlier_versions_are_understood)
{
    this->peer.entry.front = {};
    EXPECT_FALSE(as_ready(this->peer, nullptr)) << "it says so itself";
    this->status.incarnation.clear();
    EXPECT_TRUE(as_ready(this->peer, &this->status));
}

} // namespace
} // namespace almondtiller::gateway

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
        this->heard.status.front = {"127.0.0.1", 2};
        this->heard.status.incarnation = "second";
        this->heard.status.is_ready = true;
        this->heard.entry_incarnation = "second";
    }

    peer_view peer;
    heard_status heard;
};

TEST_F(ready_nodes_test, a_node_that_has_registered_is_ready)
{
    EXPECT_EQ(as_ready(this->peer, nullptr)->front.port, 1);
    this->peer.is_alive = false;
    EXPECT_FALSE(as_ready(this->peer, nullptr));
}

TEST_F(ready_nodes_test, what_a_node_says_goes_first)
{
    EXPECT_EQ(as_ready(this->peer, &this->heard)->front.port, 2);
    this->heard.status.is_ready = false;
    EXPECT_FALSE(as_ready(this->peer, &this->heard));
}

// Before its restart the node announced that it leaves, and hundreds of nodes
// have received no status of it since.
TEST_F(ready_nodes_test, what_a_node_said_before_its_restart_is_void)
{
    this->heard.status.incarnation = "first";
    this->heard.status.is_ready = false;
    this->heard.entry_incarnation = "first";
    ASSERT_TRUE(as_ready(this->peer, &this->heard));
    EXPECT_EQ(as_ready(this->peer, &this->heard)->front.port, 1);
}

// The restarted node cannot register while the store is unavailable, and knows
// no upstreams yet.
TEST_F(ready_nodes_test, a_restarted_node_is_not_ready_by_its_old_entry)
{
    this->heard.status.incarnation = "third";
    this->heard.status.is_ready = false;
    EXPECT_FALSE(as_ready(this->peer, &this->heard));
    this->heard.status.is_ready = true;
    EXPECT_EQ(as_ready(this->peer, &this->heard)->front.port, 2);
}

TEST_F(ready_nodes_test, earlier_versions_are_understood)
{
    this->peer.entry.front = {};
    EXPECT_FALSE(as_ready(this->peer, nullptr)) << "it says so itself";
    this->heard.status.incarnation.clear();
    EXPECT_TRUE(as_ready(this->peer, &this->heard));
}

} // namespace
} // namespace almondtiller::gateway

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
        this->received.status.front = {"127.0.0.1", 2};
        this->received.status.incarnation = "second";
        this->received.status.is_ready = true;
        this->received.entry_incarnation = "second";
    }

    peer_view peer;
    reported_status received;
};

TEST_F(ready_nodes_test, a_node_that_has_registered_is_ready)
{
    EXPECT_EQ(as_ready(this->peer, nullptr)->front.port, 1);
    this->peer.is_alive = false;
    EXPECT_FALSE(as_ready(this->peer, nullptr));
}

TEST_F(ready_nodes_test, the_status_takes_precedence_over_the_entry)
{
    EXPECT_EQ(as_ready(this->peer, &this->received)->front.port, 2);
    this->received.status.is_ready = false;
    EXPECT_FALSE(as_ready(this->peer, &this->received));
}

// Before its restart the node announced that it leaves, and hundreds of nodes
// have received no status of it since.
TEST_F(ready_nodes_test, a_status_from_before_the_restart_is_ignored)
{
    this->received.status.incarnation = "first";
    this->received.status.is_ready = false;
    this->received.entry_incarnation = "first";
    ASSERT_TRUE(as_ready(this->peer, &this->received));
    EXPECT_EQ(as_ready(this->peer, &this->received)->front.port, 1);
}

// The restarted node cannot register while the store is unavailable, and has no
// list of upstreams yet.
TEST_F(ready_nodes_test, a_restarted_node_is_not_ready_by_its_old_entry)
{
    this->received.status.incarnation = "third";
    this->received.status.is_ready = false;
    EXPECT_FALSE(as_ready(this->peer, &this->received));
    this->received.status.is_ready = true;
    EXPECT_EQ(as_ready(this->peer, &this->received)->front.port, 2);
}

TEST_F(ready_nodes_test, earlier_versions_are_supported)
{
    this->peer.entry.front = {};
    EXPECT_FALSE(as_ready(this->peer, nullptr)) << "its status is missing";
    this->received.status.incarnation.clear();
    EXPECT_TRUE(as_ready(this->peer, &this->received));
}

} // namespace
} // namespace almondtiller::gateway

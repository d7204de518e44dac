#include "services/gateway/fetch_throttle.h"
#include "services/gateway/follower_limits.h"

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

using std::chrono::milliseconds;

class fetch_throttle_test : public testing::Test
{
protected:
    fetch_throttle throttle;
    core::time_point now{std::chrono::hours(1)};
};

TEST_F(fetch_throttle_test, asks_at_once_if_the_node_has_no_watch)
{
    EXPECT_TRUE(
        this->throttle.should_fetch({0, 1}, milliseconds(0), this->now));
    EXPECT_FALSE(this->throttle.should_fetch({0, 1}, milliseconds(0),
                                             this->now + milliseconds(10)));
    this->throttle.on_answer();
    EXPECT_TRUE(this->throttle.should_fetch({0, 2}, milliseconds(0),
                                            this->now + milliseconds(20)));
}

// Load pattern: the first peer that reports a change is leaving and never
// answers; the others report the change several times a second.
TEST_F(fetch_throttle_test, passes_over_a_peer_that_does_not_answer)
{
    ASSERT_TRUE(
        this->throttle.should_fetch({0, 1}, milliseconds(0), this->now));
    auto fetches = 0;
    for (auto step = 0; step < 50; ++step) {
        this->now += milliseconds(10);
        fetches +=
            this->throttle.should_fetch({0, 1}, milliseconds(0), this->now) ? 1
                                                                            : 0;
    }
    EXPECT_EQ(fetches, 2) << "one more peer every 250 ms, not all peers";
}

// Load pattern: a megabyte is sent to all nodes over slow links. Repeating
// the calls four times a second filled the links with answers to abandoned
// calls.
TEST_F(fetch_throttle_test, asks_less_often_where_answers_take_long)
{
    auto fetches = 0;
    for (auto step = 0; step < 400; ++step) {
        this->now += milliseconds(10);
        fetches +=
            this->throttle.should_fetch({0, 1}, milliseconds(0), this->now) ? 1
                                                                            : 0;
    }
    EXPECT_EQ(fetches, 5) << "after 0, 250, 500, 1000 and 2000 ms";
}

TEST_F(fetch_throttle_test, waits_for_the_nodes_own_watch_first)
{
    EXPECT_FALSE(
        this->throttle.should_fetch({0, 1}, max_watch_silence, this->now));
    EXPECT_FALSE(this->throttle.should_fetch({0, 1}, max_watch_silence,
                                             this->now + milliseconds(200)));
    EXPECT_TRUE(this->throttle.should_fetch({0, 1}, max_watch_silence,
                                            this->now + milliseconds(301)));
}

// A watch that delivers one change after the other is not silent.
TEST_F(fetch_throttle_test, waits_anew_after_a_change)
{
    EXPECT_FALSE(
        this->throttle.should_fetch({0, 1}, max_watch_silence, this->now));
    EXPECT_FALSE(this->throttle.should_fetch({0, 2}, max_watch_silence,
                                             this->now + milliseconds(250)));
    EXPECT_FALSE(this->throttle.should_fetch({0, 2}, max_watch_silence,
                                             this->now + milliseconds(400)));
    EXPECT_TRUE(this->throttle.should_fetch({0, 2}, max_watch_silence,
                                            this->now + milliseconds(551)));
}

} // namespace
} // namespace almondtiller::gateway

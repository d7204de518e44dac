#include "services/gateway/fetch_pace.h"

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

using std::chrono::milliseconds;

class fetch_pace_test : public testing::Test
{
protected:
    fetch_pace pace;
    core::time_point now{std::chrono::hours(1)};
};

TEST_F(fetch_pace_test, asks_at_once_without_an_own_watch)
{
    this->pace.on_equal(this->now);
    EXPECT_TRUE(this->pace.should_ask(false, this->now));
    EXPECT_FALSE(this->pace.should_ask(false, this->now + milliseconds(10)));
    this->pace.on_answer();
    EXPECT_TRUE(this->pace.should_ask(false, this->now + milliseconds(20)));
}

// Load pattern: the first peer that tells of a change is leaving and never
// answers; the others tell of it several times a second.
TEST_F(fetch_pace_test, passes_over_a_peer_that_does_not_answer)
{
    ASSERT_TRUE(this->pace.should_ask(false, this->now));
    auto asked = 0;
    for (auto step = 0; step < 50; ++step) {
        this->now += milliseconds(10);
        asked += this->pace.should_ask(false, this->now) ? 1 : 0;
    }
    EXPECT_EQ(asked, 2) << "another one each 250 ms, not all of them";
}

TEST_F(fetch_pace_test, gives_an_own_watch_time_to_bring_the_change)
{
    this->pace.on_equal(this->now);
    EXPECT_FALSE(this->pace.should_ask(true, this->now + milliseconds(200)));
    EXPECT_TRUE(this->pace.should_ask(true, this->now + milliseconds(301)));
}

} // namespace
} // namespace almondtiller::gateway

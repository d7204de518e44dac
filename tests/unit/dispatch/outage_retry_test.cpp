#include "dispatch/outage_retry.h"

#include <gtest/gtest.h>

namespace almondtiller::dispatch {
namespace {

using std::chrono::milliseconds;

// Load pattern: a store that is unavailable for 2.2 s after all nodes were
// restarted.
TEST(outage_retry, callers_retry_after_an_outage_of_seconds)
{
    constexpr auto outage = milliseconds(2200);
    constexpr auto time_left = milliseconds(8000);
    constexpr auto callers = 100;
    auto served = 0;
    for (auto caller = 0; caller < callers; ++caller) {
        const auto arrived = outage * caller / callers;
        const auto retried =
            arrived + outage_retry(time_left, true, caller % 10 / 10.0);
        served += retried >= outage ? 1 : 0;
    }
    EXPECT_GE(served, callers * 9 / 10) << "each caller retries once";
}

TEST(outage_retry, is_no_longer_than_callers_wait)
{
    EXPECT_EQ(outage_retry(milliseconds(600), true, 0), milliseconds(200));
    EXPECT_EQ(outage_retry(milliseconds(600), true, 0.5), milliseconds(170));
    EXPECT_EQ(outage_retry(milliseconds(60), false, 0), milliseconds(20));
}

TEST(outage_retry, a_starting_node_is_retried_soon)
{
    EXPECT_EQ(outage_retry(milliseconds(8000), false, 0), milliseconds(100));
}

} // namespace
} // namespace almondtiller::dispatch

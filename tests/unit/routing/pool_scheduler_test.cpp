#include "routing/routing.h"

#include <gtest/gtest.h>

namespace almondtiller::routing {

TEST(pool_scheduler, refuses_what_the_queue_cannot_hold)
{
    auto settings = settings::pool_settings();
    settings.queue_limit = 0;
    auto scheduler = pool_scheduler(settings, core::zone_name("a"), 1);
    auto wanted = work();
    wanted.id = core::attempt_id("1");
    const auto taken = scheduler.submit(wanted, core::time_point());
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(std::get<refusal>(taken[0]).reason, routing_errc::queue_full);
}

} // namespace almondtiller::routing

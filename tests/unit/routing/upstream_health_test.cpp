#include "routing/concurrency_limit.h"
#include "routing/latency_estimator.h"
#include "routing/outlier_detector.h"
#include "routing_builders.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::routing {

TEST(latency_estimator, follows_the_pool_and_decays)
{
    auto estimator = latency_estimator(seconds(1));
    EXPECT_EQ(estimator.quantile(0.5, start_time), core::duration::zero());
    for (auto index = 1; index <= 100; ++index) {
        estimator.record(milliseconds(index), start_time);
    }
    const auto median = estimator.quantile(0.5, start_time);
    EXPECT_GE(median, milliseconds(50));
    EXPECT_LE(median, milliseconds(56));
    const auto later = start_time + seconds(10);
    for (auto index = 0; index < 10; ++index) {
        estimator.record(milliseconds(500), later);
    }
    EXPECT_GE(estimator.quantile(0.5, later), milliseconds(500));
    EXPECT_EQ(estimator.quantile(0.5, later + seconds(30)),
              core::duration::zero());
}

RC_GTEST_PROP(concurrency_limit, stays_within_its_bounds,
              (std::vector<std::uint16_t> latencies))
{
    auto limit = concurrency_limit(2, 40);
    auto now = start_time;
    for (const auto latency : latencies) {
        now += milliseconds(latency % 50);
        if (latency % 7 == 0) {
            limit.on_overload(now);
        } else {
            limit.on_success(milliseconds(latency), limit.value(), now);
        }
        RC_ASSERT(limit.value() >= 2U);
        RC_ASSERT(limit.value() <= 40U);
    }
}

TEST(concurrency_limit, decreases_when_latency_exceeds_its_baseline)
{
    auto limit = concurrency_limit(1, 64);
    auto now = start_time;
    for (auto index = 0; index < 200; ++index) {
        now += milliseconds(10);
        limit.on_success(milliseconds(10), limit.value(), now);
    }
    EXPECT_EQ(limit.value(), 64U);
    for (auto index = 0; index < 100; ++index) {
        now += milliseconds(10);
        limit.on_success(milliseconds(100), limit.value(), now);
    }
    EXPECT_LT(limit.value(), 32U);
}

TEST(outlier_detector, ejects_longer_each_time_and_admits_after_probes)
{
    auto detector = outlier_detector();
    for (auto index = 0; index < 4; ++index) {
        EXPECT_FALSE(detector.on_failure(start_time));
    }
    EXPECT_TRUE(detector.on_failure(start_time));
    detector.eject(start_time);
    EXPECT_FALSE(detector.admits(0, start_time + milliseconds(999)));
    const auto probing = start_time + seconds(1);
    EXPECT_TRUE(detector.admits(0, probing));
    EXPECT_FALSE(detector.admits(1, probing));
    EXPECT_TRUE(detector.on_failure(probing));
    detector.eject(probing);
    EXPECT_FALSE(detector.admits(0, probing + milliseconds(1999)));
    for (auto index = 0; index < 3; ++index) {
        EXPECT_TRUE(detector.is_ejected());
        detector.on_success(milliseconds(1), milliseconds(1),
                            probing + seconds(2));
    }
    EXPECT_FALSE(detector.is_ejected());
}

TEST(outlier_detector, ejects_an_upstream_far_slower_than_its_pool)
{
    auto detector = outlier_detector();
    for (auto index = 0; index < 7; ++index) {
        EXPECT_FALSE(
            detector.on_success(seconds(1), milliseconds(10), start_time));
    }
    EXPECT_TRUE(detector.on_success(seconds(1), milliseconds(10), start_time));
}

} // namespace almondtiller::routing

#include "core/metrics.h"

#include <gtest/gtest.h>

namespace almondtiller::core {

namespace {

constexpr auto rejections =
    metric_info{"refusals_total", metric_kind::counter, "Refused requests."};
constexpr auto latencies =
    metric_info{"latency_seconds", metric_kind::histogram, "Latency."};

} // namespace

TEST(metrics_registry, exposes_a_counter_with_its_labels)
{
    auto registry = metrics_registry();
    registry.counter_for(rejections, {{"reason", "queue_full"}}).add(3);
    EXPECT_EQ(registry.expose(), "# HELP refusals_total Refused requests.\n"
                                 "# TYPE refusals_total counter\n"
                                 "refusals_total{reason=\"queue_full\"} 3\n");
}

TEST(metrics_registry, returns_the_same_series_for_the_same_labels)
{
    auto registry = metrics_registry();
    auto& first = registry.counter_for(rejections, {{"reason", "a"}});
    auto& second = registry.counter_for(rejections, {{"reason", "a"}});
    EXPECT_EQ(&first, &second);
}

TEST(latency_histogram, returns_quantiles_within_two_percent)
{
    auto histogram = latency_histogram();
    for (auto step = 1; step <= 1000; ++step) {
        histogram.record(milliseconds(step));
    }
    const auto median =
        std::chrono::duration<double>(histogram.quantile(0.5)).count();
    EXPECT_NEAR(median, 0.5, 0.5 * 0.02);
    EXPECT_EQ(histogram.count(), 1000U);
}

TEST(latency_histogram, counts_cumulatively_in_buckets)
{
    auto histogram = latency_histogram();
    histogram.record(milliseconds(2));
    histogram.record(milliseconds(200));
    const auto rows = histogram.buckets({0.01, 1.0});
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows[0].cumulative_count, 1U);
    EXPECT_EQ(rows[1].cumulative_count, 2U);
}

} // namespace almondtiller::core

#include "dispatch/prefill_speed.h"

#include "core/random.h"

#include <gtest/gtest.h>

#include <cmath>

namespace almondtiller::dispatch {
namespace {

constexpr auto prior = 40.0;

/// Records samples of prompts of all sizes.
/// \param noise Largest relative error of a time.
auto record_samples(prefill_speed& estimate, double speed, int samples,
                    double noise, std::uint64_t seed) -> void
{
    auto random = core::random_source(seed);
    for (auto number = 0; number < samples; ++number) {
        const auto tokens = 200.0 + 8000.0 * random.unit();
        const auto fixed_ms = 40.0;
        const auto factor = 1.0 + noise * (2.0 * random.unit() - 1.0);
        estimate.record(tokens, (fixed_ms + tokens / speed) * factor);
    }
}

TEST(prefill_speed, is_the_prior_before_any_sample)
{
    EXPECT_NEAR(prefill_speed(prior).tokens_per_ms(), prior, 0.01);
}

TEST(prefill_speed, estimates_half_and_three_times_the_speed)
{
    for (const auto speed : {prior / 2, prior * 1.6, prior * 3}) {
        auto estimate = prefill_speed(prior);
        constexpr auto samples = 200;
        record_samples(estimate, speed, samples, 0.2, 5);
        EXPECT_NEAR(estimate.tokens_per_ms(), speed, 0.15 * speed);
        EXPECT_EQ(estimate.samples(), 200U);
    }
}

TEST(prefill_speed, adapts_to_engines_that_become_slow)
{
    auto estimate = prefill_speed(prior);
    record_samples(estimate, 60, 500, 0.2, 1);
    EXPECT_NEAR(estimate.tokens_per_ms(), 60, 9);
    record_samples(estimate, 20, 500, 0.2, 2);
    EXPECT_NEAR(estimate.tokens_per_ms(), 20, 4);
}

TEST(prefill_speed, one_sample_changes_it_little)
{
    auto estimate = prefill_speed(prior);
    record_samples(estimate, prior, 100, 0.1, 3);
    const auto before = estimate.tokens_per_ms();
    estimate.record(4000, 60000);
    EXPECT_NEAR(estimate.tokens_per_ms(), before, 0.1 * before);
}

TEST(prefill_speed, stays_within_bounds)
{
    auto estimate = prefill_speed(prior);
    for (auto number = 0; number < 2000; ++number) {
        estimate.record(3000, number % 2 == 0 ? 0.0 : 1e9);
        EXPECT_GE(estimate.tokens_per_ms(), prior / 16);
        EXPECT_LE(estimate.tokens_per_ms(), prior * 16);
    }
}

} // namespace
} // namespace almondtiller::dispatch

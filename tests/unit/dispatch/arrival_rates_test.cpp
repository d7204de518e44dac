#include "dispatch/arrival_rates.h"

#include <gtest/gtest.h>

namespace almondtiller::dispatch {
namespace {

using std::chrono::milliseconds;

class arrival_rates_test : public testing::Test
{
protected:
    /// Records ten pieces every tenth of a second.
    auto record_for(core::duration time, int priority) -> void
    {
        for (const auto end = this->now + time; this->now < end;
             this->now += milliseconds(100)) {
            this->rates.record(priority, 10, this->now);
        }
    }

    arrival_rates rates;
    core::time_point now{std::chrono::hours(1)};
};

TEST_F(arrival_rates_test, reaches_the_rate_of_a_burst)
{
    this->record_for(std::chrono::seconds(5), 1);
    EXPECT_NEAR(this->rates.total_rate(this->now), 100.0, 10.0);
    this->now += std::chrono::seconds(5);
    EXPECT_LT(this->rates.total_rate(this->now), 2.0);
}

TEST_F(arrival_rates_test, detects_a_burst_within_two_seconds)
{
    this->record_for(std::chrono::seconds(2), 1);
    EXPECT_GT(this->rates.total_rate(this->now), 70.0);
}

TEST_F(arrival_rates_test, does_not_take_a_spike_for_a_burst)
{
    this->rates.record(1, 100, this->now);
    EXPECT_EQ(this->rates.total_rate(this->now), 0.0);
    auto most = 0.0;
    for (auto step = 0; step < 50; ++step) {
        this->now += milliseconds(100);
        most = std::max(most, this->rates.total_rate(this->now));
    }
    EXPECT_LT(most, 60.0);
}

TEST_F(arrival_rates_test, counts_only_more_urgent_arrivals)
{
    this->record_for(std::chrono::seconds(3), 1);
    EXPECT_EQ(this->rates.rate_more_urgent_than(1, this->now), 0.0);
    EXPECT_NEAR(this->rates.rate_more_urgent_than(2, this->now), 100.0, 15.0);
}

} // namespace
} // namespace almondtiller::dispatch

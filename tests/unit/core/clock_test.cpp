#include "core/clock.h"

#include <gtest/gtest.h>

namespace almondtiller::core {

TEST(runtime_clock, does_not_advance_while_paused)
{
    auto clock = runtime_clock();
    clock.pause();
    const auto before = clock.now();
    EXPECT_EQ(clock.now(), before);
    clock.advance(milliseconds(250));
    EXPECT_EQ(clock.now(), before + milliseconds(250));
}

TEST(runtime_clock, continues_from_the_paused_time)
{
    auto clock = runtime_clock();
    clock.pause();
    clock.advance(std::chrono::hours(1));
    const auto paused = clock.now();
    clock.resume();
    EXPECT_GE(clock.now(), paused);
    EXPECT_LT(clock.now(), paused + std::chrono::minutes(1));
}

TEST(runtime_clock, ends_a_wait_when_it_is_advanced_past_the_deadline)
{
    auto clock = runtime_clock();
    clock.pause();
    const auto deadline = clock.now() + milliseconds(100);
    clock.advance(milliseconds(100));
    auto mutex = std::mutex();
    auto condition = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    EXPECT_FALSE(
        clock.wait_until(lock, condition, deadline, [] { return false; }));
}

} // namespace almondtiller::core

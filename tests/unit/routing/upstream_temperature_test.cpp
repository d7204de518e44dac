#include "routing/upstream_temperature.h"
#include "routing_builders.h"

#include <gtest/gtest.h>

namespace almondtiller::routing {

namespace {

auto make_warm() -> upstream_temperature
{
    auto made = upstream_temperature({2, 3, seconds(60)});
    made.observe(make_report("u"), start_time);
    return made;
}

auto completion(const std::string& incarnation, core::duration latency)
    -> attempt_result
{
    auto made = make_result({}, latency);
    made.incarnation = incarnation;
    return made;
}

} // namespace

TEST(upstream_temperature, starts_cold_and_accepts_a_recent_warm_report)
{
    auto temperature = upstream_temperature({});
    EXPECT_TRUE(temperature.is_cold(start_time));
    auto old = make_report("u");
    old.age = seconds(6);
    temperature.observe(old, start_time);
    EXPECT_TRUE(temperature.is_cold(start_time));
    temperature.observe(make_report("u"), start_time);
    EXPECT_FALSE(temperature.is_cold(start_time));
}

TEST(upstream_temperature, turns_cold_at_the_first_indication)
{
    const auto later = start_time + seconds(1);
    auto reported = make_warm();
    reported.observe(make_report("u", true), later);
    EXPECT_TRUE(reported.is_cold(later));

    auto answered = make_warm();
    auto answer = completion("i1", milliseconds(1));
    answer.reported_cold = true;
    answered.observe(answer, later);
    EXPECT_TRUE(answered.is_cold(later));

    auto restarted = make_warm();
    restarted.observe(completion("i2", milliseconds(1)), later);
    EXPECT_TRUE(restarted.is_cold(later));

    EXPECT_TRUE(make_warm().is_cold(start_time + seconds(60)));
    EXPECT_FALSE(make_warm().is_cold(start_time + seconds(59)));
}

TEST(upstream_temperature, turns_cold_on_notification_or_failed_connect)
{
    const auto later = start_time + seconds(1);
    auto notified = make_warm();
    notified.observe(cold_notification{{}, "i1", cold_reason::reported}, later);
    EXPECT_TRUE(notified.is_cold(later));

    auto refused = make_warm();
    auto not_sent = completion("", milliseconds(1));
    not_sent.end = attempt_end::not_sent;
    refused.observe(not_sent, later);
    EXPECT_EQ(refused.reason(later), cold_reason::unreachable);

    auto restarted = make_warm();
    restarted.observe(completion("i2", milliseconds(1)), later);
    for (auto done = 0; done < 3; ++done) {
        restarted.observe(completion("i2", milliseconds(1)),
                          later + milliseconds(10));
    }
    ASSERT_FALSE(restarted.is_cold(later + milliseconds(10)));
    restarted.observe(cold_notification{{}, "i1", cold_reason::reported},
                      later + milliseconds(20));
    EXPECT_FALSE(restarted.is_cold(later + milliseconds(20)));
}

TEST(upstream_temperature, turns_cold_when_latency_exceeds_the_warm_baseline)
{
    auto temperature = make_warm();
    auto now = start_time;
    for (auto index = 0; index < 20; ++index) {
        now += milliseconds(10);
        temperature.observe(completion("i1", milliseconds(10)), now);
    }
    for (auto index = 0; index < 3; ++index) {
        EXPECT_FALSE(temperature.is_cold(now));
        temperature.observe(completion("i1", milliseconds(200)), now);
    }
    EXPECT_EQ(temperature.reason(now), cold_reason::slow_responses);
    // A warm report does not count after slow responses: the upstream cannot
    // detect that it is cold.
    temperature.observe(make_report("u"), now + seconds(1));
    EXPECT_TRUE(temperature.is_cold(now + seconds(1)));
}

TEST(upstream_temperature, turns_warm_on_completions_sent_while_cold)
{
    auto temperature = make_warm();
    auto now = start_time + seconds(1);
    temperature.observe(completion("i2", milliseconds(1)), now);
    for (auto index = 0; index < 5; ++index) {
        temperature.observe(completion("i2", seconds(1)),
                            now + milliseconds(10));
    }
    EXPECT_TRUE(temperature.is_cold(now));
    for (auto index = 0; index < 3; ++index) {
        EXPECT_TRUE(temperature.is_cold(now));
        now += milliseconds(10);
        temperature.observe(completion("i2", milliseconds(5)), now);
    }
    EXPECT_FALSE(temperature.is_cold(now));
    EXPECT_EQ(temperature.ramp(), 2U);
    temperature.observe(completion("i2", milliseconds(5)), now);
    EXPECT_EQ(temperature.ramp(), 3U);
}

TEST(upstream_temperature, ignores_late_messages_of_a_former_incarnation)
{
    auto temperature = make_warm();
    const auto later = start_time + seconds(1);
    temperature.observe(completion("i2", milliseconds(1)), later);
    temperature.observe(make_report("u", false, "i1"), later);
    EXPECT_TRUE(temperature.is_cold(later));
    EXPECT_EQ(temperature.incarnation(), "i2");
    auto lagging = make_report("u", false, "i2");
    lagging.age = seconds(1);
    temperature.observe(lagging, later + milliseconds(500));
    EXPECT_TRUE(temperature.is_cold(later + milliseconds(500)));
}

} // namespace almondtiller::routing

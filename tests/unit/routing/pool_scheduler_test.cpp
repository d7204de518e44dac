#include "routing_builders.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>

namespace almondtiller::routing {

namespace {

auto make_settings() -> settings::pool_settings
{
    auto made = settings::pool_settings();
    made.cold_capacity = 2;
    made.max_concurrency = 4;
    made.queue_limit = 16;
    return made;
}

auto make_pool(int upstreams, bool warm) -> pool_scheduler
{
    auto pool = pool_scheduler(make_settings(), core::zone_name("a"), 1);
    auto members = std::vector<upstream_member>();
    for (auto index = 0; index < upstreams; ++index) {
        members.push_back(make_member(std::to_string(index)));
    }
    pool.set_members(members, start_time);
    for (auto index = 0; warm && index < upstreams; ++index) {
        pool.report_load(make_report(std::to_string(index)), start_time);
    }
    return pool;
}

auto rejection_reason(const actions& taken) -> std::error_code
{
    return taken.size() == 1 && std::holds_alternative<rejection>(taken[0])
               ? std::get<rejection>(taken[0]).reason
               : std::error_code();
}

auto grant(const std::string& id, std::uint32_t slots, core::duration valid)
    -> cold_grant
{
    return {core::upstream_id(id), "", slots, start_time + valid};
}

} // namespace

TEST(pool_scheduler, rejects_work_when_the_queue_is_full)
{
    auto settings = settings::pool_settings();
    settings.queue_limit = 0;
    auto scheduler = pool_scheduler(settings, core::zone_name("a"), 1);
    auto wanted = attempt_request();
    wanted.id = core::attempt_id("1");
    wanted.deadline = start_time;
    const auto taken = scheduler.submit(wanted, core::time_point());
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(std::get<rejection>(taken[0]).reason, routing_errc::queue_full);
}

TEST(pool_scheduler, rejects_work_that_cannot_be_served)
{
    auto empty = make_pool(0, false);
    EXPECT_EQ(rejection_reason(empty.submit(make_work("1"), start_time)),
              routing_errc::no_upstream);
    auto pool = make_pool(1, true);
    auto late = make_work("1");
    late.deadline = start_time;
    EXPECT_EQ(rejection_reason(pool.submit(late, start_time)),
              routing_errc::deadline_passed);
    auto tight = make_work("2");
    tight.min_budget = seconds(3);
    EXPECT_EQ(rejection_reason(pool.submit(tight, start_time)),
              routing_errc::deadline_unreachable);
    auto greedy = make_work("3");
    greedy.max_in_flight = 0;
    EXPECT_EQ(rejection_reason(pool.submit(greedy, start_time)),
              routing_errc::workspace_limit);
    auto retry = make_work("4");
    retry.reason = attempt_reason::retry;
    EXPECT_EQ(rejection_reason(pool.submit(retry, start_time)),
              routing_errc::retry_budget_spent);
    auto hedge = make_work("5");
    hedge.reason = attempt_reason::hedge;
    EXPECT_EQ(rejection_reason(pool.submit(hedge, start_time)),
              routing_errc::hedge_budget_spent);
}

TEST(pool_scheduler, dispatches_to_a_cold_upstream_only_with_slots)
{
    auto pool = make_pool(1, false);
    EXPECT_TRUE(pool.submit(make_work("1"), start_time).empty());
    EXPECT_EQ(pool.cold_demand().at(core::upstream_id("0")), 2U);
    const auto taken =
        pool.grant_cold_slots(grant("0", 1, seconds(1)), start_time);
    ASSERT_EQ(taken.size(), 1U);
    const auto sent = std::get<dispatch>(taken[0]);
    EXPECT_TRUE(sent.cold);
    EXPECT_LE(sent.finish_by, start_time + longest_cold_dispatch);
    EXPECT_TRUE(pool.submit(make_work("2"), start_time).empty());
    const auto expired = start_time + seconds(1);
    EXPECT_TRUE(pool.finish(make_result(sent, seconds(1)), expired).empty());
}

TEST(pool_scheduler, counts_work_in_flight_when_the_grant_has_expired)
{
    auto pool = make_pool(1, false);
    pool.grant_cold_slots(grant("0", 1, seconds(1)), start_time);
    EXPECT_EQ(pool.submit(make_work("1"), start_time).size(), 1U);
    const auto later = start_time + seconds(2);
    EXPECT_TRUE(
        pool.grant_cold_slots(grant("0", 1, seconds(4)), later).empty());
    EXPECT_TRUE(pool.submit(make_work("2"), later).empty());
}

TEST(pool_scheduler, rejects_work_without_a_slot_in_time)
{
    auto pool = make_pool(1, false);
    EXPECT_TRUE(pool.submit(make_work("1"), start_time).empty());
    EXPECT_TRUE(
        pool.deny_cold_slots(core::upstream_id("0"), seconds(1), start_time)
            .empty());
    const auto taken =
        pool.deny_cold_slots(core::upstream_id("0"), seconds(6), start_time);
    EXPECT_EQ(rejection_reason(taken), routing_errc::upstream_cold);
    EXPECT_EQ(std::get<rejection>(taken[0]).retry_after, seconds(6));
}

TEST(pool_scheduler, stops_dispatching_when_an_upstream_turns_cold)
{
    auto pool = make_pool(1, true);
    const auto taken = pool.submit(make_work("1"), start_time);
    ASSERT_EQ(taken.size(), 1U);
    auto answer = make_result(std::get<dispatch>(taken[0]), milliseconds(5));
    answer.reported_cold = true;
    pool.finish(answer, start_time + milliseconds(5));
    EXPECT_TRUE(
        pool.submit(make_work("2"), start_time + milliseconds(5)).empty());
}

TEST(pool_scheduler, sends_nothing_to_a_leaving_upstream)
{
    auto pool = make_pool(2, true);
    auto leaving = make_member("0");
    leaving.accepts_work = false;
    pool.set_members({leaving, make_member("1")}, start_time);
    for (auto index = 0; index < 10; ++index) {
        for (const auto& taken :
             pool.submit(make_work(std::to_string(index)), start_time)) {
            const auto* sent = std::get_if<dispatch>(&taken);
            EXPECT_TRUE(sent == nullptr || sent->upstream.str() == "1");
        }
    }
}

// For any sequence of events, each attempt gets exactly one dispatch or
// rejection, no upstream exceeds its limit, and no cold upstream its slots.
RC_GTEST_PROP(pool_scheduler, settles_each_attempt_once, ())
{
    auto pool = make_pool(3, *rc::gen::arbitrary<bool>());
    auto now = start_time;
    auto waiting = std::set<std::string>();
    auto running = std::map<std::string, dispatch>();
    auto load = std::map<std::string, std::uint32_t>();
    auto slots = std::map<std::string, cold_grant>();
    const auto settle = [&](const actions& taken) {
        for (const auto& item : taken) {
            if (const auto* sent = std::get_if<dispatch>(&item)) {
                RC_ASSERT(waiting.erase(sent->id.str()) == 1U);
                const auto in_flight = ++load[sent->upstream.str()];
                RC_ASSERT(in_flight <= 4U);
                if (sent->cold) {
                    const auto& held = slots[sent->upstream.str()];
                    RC_ASSERT(now < held.expires);
                    RC_ASSERT(in_flight <= held.slots);
                }
                running.emplace(sent->id.str(), *sent);
            } else {
                const auto& id = std::get<rejection>(item).id.str();
                RC_ASSERT(waiting.erase(id) == 1U);
            }
        }
    };
    const auto steps = *rc::gen::inRange(1, 150);
    for (auto step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 100));
        const auto id = std::to_string(*rc::gen::inRange(0, 3));
        const auto kind = *rc::gen::inRange(0, 8);
        if (kind < 3) {
            auto item = make_work(std::to_string(step), id);
            item.deadline = now + milliseconds(*rc::gen::inRange(0, 500));
            item.reason = attempt_reason(*rc::gen::inRange(0, 3));
            waiting.insert(item.id.str());
            settle(pool.submit(item, now));
        } else if (kind < 5 && !running.empty()) {
            const auto sent = running.begin()->second;
            running.erase(running.begin());
            --load[sent.upstream.str()];
            auto result = make_result(sent, milliseconds(10),
                                      attempt_end(*rc::gen::inRange(0, 7)));
            result.reported_cold = *rc::gen::inRange(0, 10) == 0;
            settle(pool.finish(result, now));
        } else if (kind == 5) {
            slots[id] = {core::upstream_id(id), "", 1, now + milliseconds(200)};
            settle(pool.grant_cold_slots(slots[id], now));
        } else if (kind == 6) {
            const auto cold = *rc::gen::arbitrary<bool>();
            settle(pool.report_load(make_report(id, cold), now));
        } else {
            settle(pool.advance(now));
        }
        RC_ASSERT(pool.queued() == waiting.size());
    }
    settle(pool.advance(now + seconds(10)));
    RC_ASSERT(waiting.empty());
}

} // namespace almondtiller::routing

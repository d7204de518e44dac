#include "routing/wait_queue.h"
#include "routing_builders.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>

namespace almondtiller::routing {

namespace {

auto take(wait_queue& queue, double cost = 1.0)
    -> std::optional<attempt_request>
{
    const auto any = [](const attempt_request&) {
        return placement::placed;
    };
    return queue.take_next(any, cost);
}

} // namespace

TEST(wait_queue, takes_priority_then_earliest_deadline)
{
    auto queue = wait_queue(10);
    auto late = make_work("late");
    late.deadline += seconds(1);
    auto urgent = make_work("urgent");
    urgent.priority = 1;
    for (const auto& item : {late, make_work("early"), urgent}) {
        EXPECT_FALSE(queue.push(item).has_value());
    }
    EXPECT_EQ(take(queue)->id.str(), "urgent");
    EXPECT_EQ(take(queue)->id.str(), "early");
    EXPECT_EQ(take(queue)->id.str(), "late");
    EXPECT_FALSE(take(queue).has_value());
}

TEST(wait_queue, shares_by_weight_and_measured_cost)
{
    auto queue = wait_queue(1000);
    auto number = 0;
    auto turns = std::map<std::string, int>();
    for (auto index = 0; index < 300; ++index) {
        for (const auto* name : {"plain", "heavy", "costly"}) {
            auto item = make_work(std::to_string(number++), name);
            item.workspace_weight = item.workspace.str() == "heavy" ? 2 : 1;
            EXPECT_FALSE(queue.push(item).has_value());
        }
    }
    for (auto index = 0; index < 140; ++index) {
        const auto item = take(queue);
        ++turns[item->workspace.str()];
        if (item->workspace.str() == "costly") {
            queue.charge(*item, 1.0);
        }
    }
    EXPECT_NEAR(turns["plain"], 40, 2);
    EXPECT_NEAR(turns["heavy"], 80, 2);
    EXPECT_NEAR(turns["costly"], 20, 2);
}

TEST(wait_queue, displaces_from_the_largest_workspace_when_full)
{
    auto queue = wait_queue(3);
    for (const auto* id : {"1", "2", "3"}) {
        EXPECT_FALSE(queue.push(make_work(id, "large")).has_value());
    }
    EXPECT_EQ(queue.push(make_work("4", "small"))->workspace.str(), "large");
    EXPECT_EQ(queue.queued(core::workspace_name("small")), 1U);
    EXPECT_EQ(queue.push(make_work("5", "large"))->id.str(), "5");
}

TEST(wait_queue, gives_low_priorities_a_turn)
{
    auto queue = wait_queue(1000);
    auto low = make_work("low");
    EXPECT_FALSE(queue.push(low).has_value());
    for (auto index = 0; index < 50; ++index) {
        auto item = make_work(std::to_string(index));
        item.priority = 1;
        EXPECT_FALSE(queue.push(item).has_value());
    }
    auto turns = 0U;
    while (take(queue)->id.str() != "low") {
        ++turns;
    }
    EXPECT_EQ(turns, wait_queue::turns_before_lower);
}

// An attempt of a small workspace is neither displaced nor delayed for more
// than a bounded number of turns, regardless of the number, cost and priority
// of the attempts of large workspaces.
RC_GTEST_PROP(wait_queue, never_starves_a_small_workspace, ())
{
    const auto large = *rc::gen::inRange(1, 6);
    auto queue = wait_queue(40);
    auto number = 0;
    const auto push_large = [&] {
        const auto name = "large" + std::to_string(*rc::gen::inRange(0, large));
        auto item = make_work(std::to_string(number++), name);
        item.priority = *rc::gen::inRange(0, 2);
        item.deadline += milliseconds(*rc::gen::inRange(-2000, 2000));
        static_cast<void>(queue.push(item));
    };
    for (auto index = 0; index < 60; ++index) {
        push_large();
    }
    const auto displaced = queue.push(make_work("small", "small"));
    RC_ASSERT(displaced->workspace.str() != "small");
    auto turns = 0;
    for (;; ++turns) {
        push_large();
        const auto item = take(queue, 0.5);
        if (item->workspace.str() == "small") {
            break;
        }
        queue.charge(*item, *rc::gen::inRange(0, 100) / 100.0);
        RC_ASSERT(queue.queued(core::workspace_name("small")) == 1U);
        RC_ASSERT(turns <= 9 * (large + 1));
    }
}

RC_GTEST_PROP(wait_queue, loses_nothing, (std::vector<std::uint8_t> steps))
{
    auto queue = wait_queue(8);
    auto inside = 0;
    auto number = 0;
    auto now = start_time;
    for (const auto step : steps) {
        if (step % 4 < 2) {
            auto item =
                make_work(std::to_string(number++), std::to_string(step % 5));
            item.priority = step % 3;
            item.deadline = now + milliseconds(step);
            inside += queue.push(item).has_value() ? 0 : 1;
        } else if (step % 4 == 2) {
            inside -= take(queue, step).has_value() ? 1 : 0;
        } else {
            now += milliseconds(step % 50);
            inside -= int(queue.take_expired(now).size());
            const auto id = core::attempt_id(std::to_string(step % 20));
            inside -= queue.remove(id).has_value() ? 1 : 0;
        }
        RC_ASSERT(int(queue.size()) == inside);
        RC_ASSERT(queue.size() <= 8U);
        RC_ASSERT(queue.next_expiry().has_value() == (inside > 0));
    }
}

} // namespace almondtiller::routing

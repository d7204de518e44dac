#include "core/random.h"
#include "orders/orders.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace almondtiller::orders {

namespace {

using models = std::set<std::string>;

auto make_engine(const std::string& id, const models& loaded) -> engine_view
{
    return {core::upstream_id(id), core::pool_name("p"), true, false,
            desired_state{loaded, {}, ""}};
}

auto make_goal(const models& wanted) -> pool_goal
{
    return {core::pool_name("p"), desired_state{wanted, {}, ""}};
}

auto make_limits(std::uint32_t loads) -> placement_limits
{
    return {loads, core::milliseconds(1000), 0.34, core::milliseconds(5000)};
}

auto at(int ms) -> core::time_point
{
    return core::time_point(core::milliseconds(ms));
}

/// Model of engines that execute orders after a random delay and do not serve
/// until then.
class engines_model
{
public:
    explicit engines_model(std::uint64_t seed) : random(seed)
    {
        const auto count = 2 + this->random.below(10);
        for (auto index = 0U; index < count; ++index) {
            auto loaded = models();
            if (index == 0 || this->random.below(2) == 0) {
                loaded.insert("old");
            }
            this->engines.push_back(
                make_engine("e" + std::to_string(index), loaded));
        }
    }

    auto run() -> void
    {
        auto planner = placement_planner(make_limits(3));
        const auto goal = make_goal({"new"});
        for (auto step = 0; step < 400; ++step) {
            const auto now = at(step * 100);
            for (const auto& order : planner.plan({goal}, this->engines, now)) {
                this->begin(order, step);
            }
            this->complete(step);
            RC_ASSERT(this->is_served());
        }
        for (const auto& engine : this->engines) {
            RC_ASSERT(engine.reported == goal.desired);
        }
    }

private:
    struct load
    {
        placement_order order;
        int done_at;
    };

    auto find(const core::upstream_id& id) -> engine_view&
    {
        return *std::ranges::find(this->engines, id, &engine_view::id);
    }

    auto begin(const placement_order& order, int step) -> void
    {
        this->find(order.engine).is_loading = true;
        this->loads.push_back({order, step + 1 + int(this->random.below(10))});
    }

    auto complete(int step) -> void
    {
        std::erase_if(this->loads, [this, step](const load& each) {
            if (each.done_at > step) {
                return false;
            }
            auto& engine = this->find(each.order.engine);
            engine.is_loading = false;
            engine.reported = each.order.desired;
            return true;
        });
    }

    [[nodiscard]] auto is_served() const -> bool
    {
        const auto has = [this](const std::string& model) {
            return std::ranges::any_of(
                this->engines, [&model](const engine_view& engine) {
                    return engine.is_serving && !engine.is_loading &&
                           engine.reported.models.contains(model);
                });
        };
        return has("old") || has("new");
    }

    core::random_source random;
    std::vector<engine_view> engines;
    std::vector<load> loads;
};

} // namespace

TEST(placement_planner, loads_the_new_model_before_unloading_the_last_old_copy)
{
    auto planner = placement_planner(make_limits(10));
    auto engine = make_engine("e", {"old"});
    auto orders = planner.plan({make_goal({"new"})}, {engine}, at(0));
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].desired.models, (models{"new", "old"}));
    engine.reported = orders[0].desired;
    orders = planner.plan({make_goal({"new"})}, {engine}, at(100));
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].desired.models, models{"new"});
}

TEST(placement_planner, limits_loads_to_the_weight_store_rate)
{
    auto planner = placement_planner(make_limits(2));
    auto engines = std::vector<engine_view>();
    for (auto index = 0; index < 20; ++index) {
        engines.push_back(make_engine("e" + std::to_string(index), {}));
    }
    EXPECT_EQ(planner.plan({make_goal({"m"})}, engines, at(0)).size(), 2U);
    EXPECT_EQ(planner.plan({make_goal({"m"})}, engines, at(500)).size(), 0U);
    EXPECT_EQ(planner.plan({make_goal({"m"})}, engines, at(1000)).size(), 2U);
}

TEST(placement_planner, keeps_most_of_a_pool_serving)
{
    auto planner = placement_planner(make_limits(100));
    auto engines = std::vector<engine_view>();
    for (auto index = 0; index < 9; ++index) {
        engines.push_back(make_engine("e" + std::to_string(index), {"old"}));
    }
    EXPECT_EQ(planner.plan({make_goal({"old", "new"})}, engines, at(0)).size(),
              3U);
}

TEST(placement_planner, repeats_an_order_only_after_the_repeat_delay)
{
    auto planner = placement_planner(make_limits(10));
    const auto engines = std::vector{make_engine("e", {})};
    const auto goals = std::vector{make_goal({"m"})};
    EXPECT_EQ(planner.plan(goals, engines, at(0)).size(), 1U);
    EXPECT_EQ(planner.plan(goals, engines, at(4999)).size(), 0U);
    EXPECT_EQ(planner.plan(goals, engines, at(5000)).size(), 1U);
}

TEST(placement_planner, gives_no_orders_to_engines_that_do_not_serve)
{
    auto planner = placement_planner(make_limits(10));
    auto engine = make_engine("e", {});
    engine.is_serving = false;
    EXPECT_TRUE(planner.plan({make_goal({"m"})}, {engine}, at(0)).empty());
}

TEST(placement_planner, does_not_change_both_serving_engines_at_once)
{
    auto planner = placement_planner(make_limits(10));
    auto engines = std::vector{make_engine("e0", {"old"}),
                               make_engine("e1", {"old", "new"})};
    EXPECT_EQ(planner.plan({make_goal({"new"})}, engines, at(0)).size(), 1U);
    EXPECT_EQ(planner.plan({make_goal({"new"})}, engines, at(100)).size(), 0U);
}

RC_GTEST_PROP(placement_planner_property,
              converges_and_serves_old_or_new_at_all_times, ())
{
    engines_model(*rc::gen::arbitrary<std::uint64_t>()).run();
}

} // namespace almondtiller::orders

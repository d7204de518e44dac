#include "routing/upstream_picker.h"
#include "routing_builders.h"

#include <gtest/gtest.h>

#include <set>

namespace almondtiller::routing {

namespace {

struct picker_fixture
{
    picker_fixture()
    {
        auto members = std::vector<upstream_picker::member>();
        for (auto index = 0; index < 8; ++index) {
            members.push_back(
                {core::upstream_id(std::to_string(index)), index < 4});
        }
        this->picker.set_members(members);
        this->current.utilisation = [this](std::uint32_t index) {
            return this->load.at(index);
        };
        this->current.is_serviceable = [](std::uint32_t) {
            return true;
        };
    }

    auto pick(const attempt_request& wanted) -> std::optional<std::uint32_t>
    {
        return this->picker.pick(wanted, this->current, this->random);
    }

    upstream_picker picker;
    upstream_picker::conditions current;
    core::random_source random = core::random_source(3);
    std::vector<std::optional<double>> load =
        std::vector<std::optional<double>>(8, 0.2);
};

} // namespace

TEST(upstream_picker, leaves_the_zone_only_beyond_the_spill_threshold)
{
    auto fixture = picker_fixture();
    fixture.current.spill_threshold = 0.3;
    for (auto index = 0; index < 4; ++index) {
        fixture.load[index] = 0.45;
    }
    EXPECT_LT(*fixture.pick(make_work("1")), 4U);
    for (auto index = 0; index < 4; ++index) {
        fixture.load[index] = 0.6;
    }
    EXPECT_GE(*fixture.pick(make_work("1")), 4U);
    for (auto index = 0; index < 4; ++index) {
        fixture.load[index] = std::nullopt;
    }
    EXPECT_GE(*fixture.pick(make_work("1")), 4U);
}

TEST(upstream_picker, spreads_over_equal_upstreams)
{
    auto fixture = picker_fixture();
    auto seen = std::set<std::uint32_t>();
    for (auto index = 0; index < 100; ++index) {
        seen.insert(*fixture.pick(make_work("1")));
    }
    EXPECT_EQ(seen.size(), 4U);
}

TEST(upstream_picker, avoids_excluded_upstreams_while_another_exists)
{
    auto fixture = picker_fixture();
    auto wanted = make_work("1");
    for (auto index = 0; index < 7; ++index) {
        wanted.excluded.emplace_back(std::to_string(index));
    }
    EXPECT_EQ(*fixture.pick(wanted), 7U);
    wanted.excluded.emplace_back("7");
    EXPECT_TRUE(fixture.pick(wanted).has_value());
}

TEST(upstream_picker, keeps_a_prefix_on_one_upstream_up_to_the_load_bound)
{
    auto fixture = picker_fixture();
    fixture.current.mean_utilisation = 0.3;
    auto wanted = make_work("1");
    wanted.prefix_hash = 42;
    const auto home = *fixture.pick(wanted);
    for (auto index = 0; index < 20; ++index) {
        EXPECT_EQ(*fixture.pick(wanted), home);
    }
    fixture.load[home] = 0.9;
    EXPECT_NE(*fixture.pick(wanted), home);
    fixture.load[home] = 0.2;
    const auto other = (home + 1) % 4;
    const auto id = core::upstream_id(std::to_string(other));
    fixture.picker.apply_hint({id, 42, true});
    EXPECT_EQ(*fixture.pick(wanted), other);
    fixture.picker.apply_hint({id, 42, false});
    EXPECT_EQ(*fixture.pick(wanted), home);
}

} // namespace almondtiller::routing

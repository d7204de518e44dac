#include "dispatch/serving_state.h"

#include <gtest/gtest.h>

namespace almondtiller::dispatch {
namespace {

auto make_upstream(const std::string& name) -> serving::upstream
{
    auto made = serving::upstream();
    made.id = core::upstream_id(name);
    made.service = serving::service_name("s");
    made.zone = core::zone_name("z");
    return made;
}

auto make_config(std::int64_t version)
    -> std::shared_ptr<const serving::configuration>
{
    auto config = std::make_shared<serving::configuration>();
    config->version = version;
    return config;
}

class serving_state_test : public testing::Test
{
protected:
    serving_state state;
    core::time_point now{std::chrono::hours(1)};
    serving::service_name service{"s"};
    core::upstream_id id{"i"};
};

} // namespace

TEST_F(serving_state_test, never_returns_to_an_older_configuration)
{
    EXPECT_TRUE(this->state.apply(make_config(5)));
    EXPECT_FALSE(this->state.apply(make_config(4)));
    EXPECT_FALSE(this->state.apply(make_config(5)));
    EXPECT_EQ(this->state.config()->version, 5);
}

TEST_F(serving_state_test, draining_upstreams_and_evacuated_zones_get_no_work)
{
    auto upstream = make_upstream("i");
    this->state.update(upstream, 1, this->now);
    EXPECT_EQ(this->state.usable(this->service).size(), 1U);
    EXPECT_TRUE(this->state.set_evacuated({core::zone_name("z")}));
    EXPECT_TRUE(this->state.usable(this->service).empty());
    EXPECT_TRUE(this->state.set_evacuated({}));
    upstream.is_draining = true;
    EXPECT_TRUE(this->state.update(upstream, 2, this->now));
    EXPECT_FALSE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test, a_late_write_of_an_older_incarnation_is_ignored)
{
    auto upstream = make_upstream("i");
    upstream.started_ms = 20;
    this->state.update(upstream, 1, this->now);
    auto older = upstream;
    older.started_ms = 10;
    older.is_draining = true;
    EXPECT_FALSE(this->state.update(older, 99, this->now));
    EXPECT_TRUE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test,
       entries_that_expire_in_an_outage_stay_for_two_seconds)
{
    this->state.update(make_upstream("i"), 1, this->now);
    EXPECT_FALSE(this->state.apply_list({}, this->now + reappearance_period));
    EXPECT_TRUE(this->state.is_usable(this->id));
    this->state.expire(this->now + core::milliseconds(1900));
    EXPECT_TRUE(this->state.is_usable(this->id));
    EXPECT_TRUE(this->state.expire(this->now + core::milliseconds(2000)));
    EXPECT_FALSE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test, an_entry_that_reappears_in_time_stays)
{
    this->state.update(make_upstream("i"), 1, this->now);
    this->state.apply_list({}, this->now + reappearance_period);
    EXPECT_TRUE(this->state.update(make_upstream("i"), 1, this->now));
    EXPECT_FALSE(this->state.expire(this->now + std::chrono::seconds(9)));
    EXPECT_TRUE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test, drops_an_entry_at_once_if_the_removal_is_trusted)
{
    this->state.update(make_upstream("i"), 1, this->now);
    EXPECT_TRUE(this->state.remove(this->id, std::nullopt));
    EXPECT_FALSE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test,
       a_leaving_upstream_gets_no_work_when_its_entry_returns)
{
    this->state.update(make_upstream("i"), 1, this->now);
    EXPECT_TRUE(this->state.mark_leaving(this->id, this->now));
    EXPECT_FALSE(this->state.mark_leaving(this->id, this->now));
    this->state.remove(this->id, std::nullopt);
    this->state.update(make_upstream("i"), 2, this->now);
    EXPECT_FALSE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test,
       an_upstream_that_leaves_while_its_entry_is_gone_stays_out)
{
    EXPECT_TRUE(this->state.mark_leaving(this->id, this->now));
    this->state.update(make_upstream("i"), 1, this->now);
    EXPECT_FALSE(this->state.is_usable(this->id));
}

// The store may report a restart long after it, so that the announcement can be
// that of the new process.
TEST_F(serving_state_test,
       a_leaving_upstream_that_restarts_gets_no_work_at_once)
{
    auto upstream = make_upstream("i");
    this->state.update(upstream, 1, this->now);
    this->state.mark_leaving(this->id, this->now);
    upstream.started_ms = 10;
    this->state.update(upstream, 1, this->now);
    EXPECT_FALSE(this->state.is_usable(this->id));
    const auto later = this->now + restart_confirmation;
    this->state.expire(later - core::milliseconds(1));
    EXPECT_FALSE(this->state.is_usable(this->id));
    EXPECT_TRUE(this->state.expire(later));
    EXPECT_TRUE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test,
       an_announcement_after_a_restart_is_that_of_the_new_process)
{
    auto upstream = make_upstream("i");
    this->state.update(upstream, 1, this->now);
    this->state.mark_leaving(this->id, this->now);
    upstream.started_ms = 10;
    this->state.update(upstream, 1, this->now);
    this->state.mark_leaving(this->id, this->now + core::milliseconds(5));
    this->state.expire(this->now + std::chrono::hours(1));
    EXPECT_FALSE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test, an_announcement_of_an_upstream_that_is_gone_ends)
{
    this->state.update(make_upstream("i"), 1, this->now);
    this->state.mark_leaving(this->id, this->now);
    this->state.remove(this->id, std::nullopt);
    this->state.expire(this->now + std::chrono::seconds(60));
    this->state.update(make_upstream("i"), 2, this->now);
    EXPECT_TRUE(this->state.is_usable(this->id));
}

TEST_F(serving_state_test, a_limit_ends_with_a_later_answer_that_states_none)
{
    EXPECT_TRUE(this->state.set_limit(this->id, {1.5, this->now}));
    EXPECT_FALSE(this->state.set_limit(
        this->id, {1.5, this->now + core::milliseconds(20)}));
    EXPECT_FALSE(
        this->state.end_limit(this->id, this->now + core::milliseconds(10)))
        << "the answer may be older than the newest statement";
    EXPECT_EQ(this->state.limits().at(this->id).per_second, 1.5);
    EXPECT_TRUE(
        this->state.end_limit(this->id, this->now + core::milliseconds(30)));
    EXPECT_TRUE(this->state.limits().empty());
}

TEST_F(serving_state_test, a_limit_ends_with_the_process_that_stated_it)
{
    this->state.update(make_upstream("i"), 1, this->now);
    this->state.set_limit(this->id, {1.5, this->now});
    this->state.update(make_upstream("i"), 2, this->now);
    EXPECT_EQ(this->state.limits().size(), 1U);
    auto restarted = make_upstream("i");
    restarted.started_ms = 10;
    this->state.update(restarted, 1, this->now);
    EXPECT_TRUE(this->state.limits().empty());
}

TEST_F(serving_state_test, a_limit_outlasts_a_missing_entry_for_a_minute)
{
    this->state.update(make_upstream("i"), 1, this->now);
    this->state.set_limit(this->id, {1.5, this->now});
    this->state.remove(this->id, std::nullopt);
    this->state.expire(this->now + std::chrono::seconds(59));
    EXPECT_EQ(this->state.limits().size(), 1U);
    this->state.expire(this->now + std::chrono::seconds(60));
    EXPECT_TRUE(this->state.limits().empty());
}

// Load pattern: hundreds of upstreams whose single owner has no processor time
// left.
TEST_F(serving_state_test, a_large_service_has_a_shard_in_each_zone)
{
    const auto name = serving::service_name("s");
    const auto add = [&](int number) {
        auto entry = serving::upstream();
        entry.id = core::upstream_id("u" + std::to_string(number));
        entry.service = name;
        entry.zone = core::zone_name(number % 2 == 0 ? "a" : "b");
        entry.address = {"127.0.0.1", std::uint16_t(number + 1)};
        entry.started_ms = 1;
        EXPECT_TRUE(this->state.update(entry, 1, this->now));
    };
    for (auto number = 0; number < 23; ++number) {
        add(number);
    }
    const auto zone = core::zone_name("a");
    EXPECT_EQ(this->state.shard_for(name, zone), (shard{name, {}}));
    EXPECT_EQ(this->state.shards_of(name).size(), 1U);
    add(23);
    EXPECT_EQ(this->state.shard_for(name, zone), (shard{name, zone}));
    EXPECT_EQ(this->state.shards_of(name).size(), 2U);
    EXPECT_EQ(this->state.usable(shard{name, zone}).size(), 12U);
    EXPECT_EQ(this->state.usable_zones(name).at(zone), 12U);
    EXPECT_EQ(this->state.zone_at({"127.0.0.1", 2}), core::zone_name("b"));
    this->state.set_evacuated({zone});
    EXPECT_FALSE(this->state.usable_zones(name).contains(zone));
    EXPECT_TRUE(this->state.usable(shard{name, zone}).empty());
}

} // namespace almondtiller::dispatch

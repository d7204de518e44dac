#include "core/random.h"
#include "fleet/config_shards.h"
#include "fleet/contact_monitor.h"
#include "fleet/endpoint_choice.h"
#include "fleet/fleet_errc.h"
#include "fleet/instance_feed.h"
#include "fleet/leave_schedule.h"
#include "fleet/poll_schedule.h"
#include "fleet/startup_check.h"
#include "fleet/store_budget.h"
#include "fleet/watcher_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace almondtiller::fleet {
namespace {

using namespace std::chrono_literals;

auto make_node(int number, const char* zone,
               member_state state = member_state::alive) -> member
{
    auto made = member();
    made.id = core::node_id("n" + std::to_string(number));
    made.zone = core::zone_name(zone);
    made.address = "127.0.0.1:" + std::to_string(number);
    made.state = state;
    return made;
}

TEST(contact_monitor_test, silence_of_platform_and_peers_isolates)
{
    auto monitor = contact_monitor(3000ms);
    const auto start = core::time_point() + 1h;
    monitor.on_platform_contact(start);
    EXPECT_FALSE(monitor.is_isolated(start + 1h));
    monitor.on_peer_contact(start);
    EXPECT_FALSE(monitor.is_isolated(start + 3s));
    EXPECT_TRUE(monitor.is_isolated(start + 3001ms));
    monitor.on_peer_contact(start + 4s);
    EXPECT_FALSE(monitor.is_isolated(start + 5s));
}

TEST(startup_check_test, one_peer_of_many_is_not_enough)
{
    auto check = startup_check();
    EXPECT_FALSE(check.is_complete(0));
    check.on_peer_report(core::node_id("a"));
    check.on_peer_report(core::node_id("a"));
    EXPECT_FALSE(check.is_complete(5));
    EXPECT_TRUE(check.is_complete(1));
    check.on_platform_confirmed();
    EXPECT_TRUE(check.is_complete(5));
}

TEST(watcher_choice_test, all_nodes_choose_the_same_and_changes_are_small)
{
    auto members = std::vector<member>();
    for (auto number = 0; number < 21; ++number) {
        members.push_back(make_node(number, "a"));
    }
    const auto chosen = choose_watchers(members, core::zone_name("a"));
    ASSERT_EQ(chosen.size(), watchers_per_zone);
    std::reverse(members.begin(), members.end());
    EXPECT_EQ(choose_watchers(members, core::zone_name("a")), chosen);
    std::erase(members, chosen[0]);
    const auto next = choose_watchers(members, core::zone_name("a"));
    EXPECT_EQ(next[0], chosen[1]);
}

TEST(endpoint_choice_test, names_only_alive_nodes_of_zones_that_are_in)
{
    auto config = settings::snapshot();
    for (const auto* name : {"a", "b", "c"}) {
        auto& zone = config.zones[core::zone_name(name)];
        zone.state =
            *name == 'c' ? settings::zone_state::out : settings::zone_state::in;
    }
    const auto members = std::vector<member>{
        make_node(1, "a"), make_node(2, "b"), make_node(3, "c"),
        make_node(4, "a", member_state::leaving),
        make_node(5, "a", member_state::suspect)};
    auto random = core::random_source(1);
    const auto chosen =
        choose_endpoints(members, config, core::zone_name("b"), random);
    ASSERT_EQ(chosen.size(), 2U);
    EXPECT_EQ(chosen[0], members[1]);
    EXPECT_EQ(chosen[1], members[0]);
}

TEST(endpoint_choice_test, spreads_callers_evenly)
{
    auto config = settings::snapshot();
    config.zones[core::zone_name("a")] = {};
    auto members = std::vector<member>();
    for (auto number = 0; number < 4; ++number) {
        members.push_back(make_node(number, "a"));
    }
    auto random = core::random_source(1);
    auto first = std::map<core::node_id, int>();
    constexpr auto callers = 4000;
    constexpr auto share = callers / 4;
    for (auto caller = 0; caller < callers; ++caller) {
        const auto chosen =
            choose_endpoints(members, config, core::zone_name("a"), random);
        ++first[chosen[0].id];
    }
    for (const auto& [id, count] : first) {
        EXPECT_NEAR(count, share, 200);
    }
}

/// Endpoint answers expire before the node rejects requests, however short
/// leave_delay is.
RC_GTEST_PROP(leave_schedule_properties, outlasts_endpoint_answers,
              (std::uint16_t delay, std::uint16_t lifetime))
{
    auto settings = settings::fleet_settings();
    settings.leave_delay = core::milliseconds(delay);
    settings.endpoint_lifetime = core::milliseconds(lifetime);
    const auto now = core::time_point();
    const auto plan = plan_leaving(settings, now);
    RC_ASSERT(plan.reject_from - now > settings.endpoint_lifetime);
    RC_ASSERT(plan.stop_listening_from > plan.reject_from);
}

/// \return The number of polls by \a nodes followers in each second of an
///         outage that begins at once, and of the time after it.
auto count_polls_by_second(int nodes, int outage_seconds, int seconds)
    -> std::vector<int>
{
    auto schedules = std::vector<poll_schedule>();
    for (auto number = 0; number < nodes; ++number) {
        schedules.emplace_back(poll_options(), std::uint64_t(number));
    }
    const auto start = core::time_point() + 1h;
    auto counts = std::vector<int>(std::size_t(seconds));
    auto confirmed = start;
    for (auto& schedule : schedules) {
        schedule.succeeded(poll_role::follower, start);
    }
    for (auto now = start; now < start + std::chrono::seconds(seconds);
         now += 100ms) {
        const auto second = std::size_t((now - start) / 1s);
        const auto is_down = second < std::size_t(outage_seconds);
        for (auto& schedule : schedules) {
            if (!schedule.is_due(poll_role::follower, confirmed, now)) {
                continue;
            }
            ++counts[second];
            if (is_down) {
                schedule.failed(poll_role::follower, now);
            } else {
                schedule.succeeded(poll_role::follower, now);
                confirmed = now;
            }
        }
    }
    return counts;
}

TEST(poll_schedule_test, outage_and_recovery_cause_no_burst)
{
    constexpr auto nodes = 420;
    constexpr auto outage = 120;
    const auto counts = count_polls_by_second(nodes, outage, outage + 60);
    for (auto second = 30; second < outage + 60; ++second) {
        EXPECT_LT(counts[std::size_t(second)], nodes / 5) << second;
    }
}

TEST(poll_schedule_test, follower_polls_rarely_while_watchers_send_updates)
{
    auto schedule = poll_schedule(poll_options(), 1);
    auto now = core::time_point() + 1h;
    schedule.succeeded(poll_role::follower, now);
    auto polls = 0;
    for (auto step = 0; step < 6000; ++step) {
        now += 100ms;
        if (schedule.is_due(poll_role::follower, now, now)) {
            ++polls;
            schedule.succeeded(poll_role::follower, now);
        }
    }
    EXPECT_LE(polls, 27);
    EXPECT_GE(polls, 15);
}

/// A node never makes more calls than its budget allows, however often it
/// tries.
RC_GTEST_PROP(store_budget_properties, calls_are_bounded,
              (std::vector<std::uint16_t> pauses))
{
    constexpr auto per_second = 5.0;
    constexpr auto burst = 10.0;
    auto budget = store_budget(per_second, burst);
    const auto start = core::time_point() + 1h;
    auto now = start;
    auto calls = 0.0;
    for (const auto pause : pauses) {
        now += core::milliseconds(pause);
        calls += budget.try_acquire(now) ? 1.0 : 0.0;
    }
    const auto seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(calls <= burst + per_second * seconds + 0.001);
}

auto make_instance(int number, int port) -> platform::instance
{
    auto made = platform::instance();
    made.id = "u" + std::to_string(number);
    made.address = "127.0.0.1:" + std::to_string(port);
    made.zone = core::zone_name("a");
    return made;
}

/// A follower that applies a watcher's updates has the watcher's list. Updates
/// are differences where the watcher still keeps the follower's list.
RC_GTEST_PROP(instance_feed_properties, follower_equals_watcher,
              (std::vector<std::vector<std::uint8_t>> lists))
{
    auto watcher = instance_feed();
    auto follower = instance_feed();
    auto now = core::time_point() + 1h;
    for (const auto& list : lists) {
        now += 1s;
        auto listed = std::map<std::string, platform::instance>();
        for (const auto entry : list) {
            const auto made = make_instance(entry % 16, entry);
            listed.insert_or_assign(made.id, made);
        }
        auto values = std::vector<platform::instance>();
        for (const auto& [id, value] : listed) {
            values.push_back(value);
        }
        watcher.observe(values, now);
        const auto update = watcher.update_for(follower.digest(), now);
        const auto sent =
            decode_instances(encode_instances(update.value())).value();
        RC_ASSERT(follower.apply(sent, now).has_value());
        RC_ASSERT(follower.instances() == watcher.instances());
    }
}

TEST(instance_feed_test, older_lists_are_ignored)
{
    auto old_watcher = instance_feed();
    auto follower = instance_feed();
    const auto now = core::time_point() + 1h;
    old_watcher.observe({make_instance(1, 1)}, now);
    follower.observe({make_instance(2, 2)}, now + 1s);
    const auto update = old_watcher.update_for(0, now + 2s).value();
    EXPECT_FALSE(follower.apply(update, now + 2s).value());
    EXPECT_EQ(follower.instances()[0].id, "u2");
}

} // namespace
} // namespace almondtiller::fleet

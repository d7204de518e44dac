#include "cold_fleet.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::routing {

namespace {

const auto upstream = core::upstream_id("u");

auto request_for(std::uint64_t sequence, std::uint32_t wanted,
                 std::uint64_t min_valid_sequence = 0) -> cold_slot_request
{
    return {upstream, core::pool_name("p"), 1,
            sequence, min_valid_sequence,   wanted,
            0};
}

} // namespace

TEST(cold_slot_coordinator, waits_before_granting)
{
    const auto self = core::node_id("n");
    auto coordinator = cold_slot_coordinator(self, {}, start_time);
    EXPECT_EQ(coordinator.handle_request(self, request_for(1, 1), 1, start_time)
                  .verdict,
              cold_verdict::waiting);
    const auto ready = start_time + seconds(6);
    for (auto now = start_time; now < ready; now += milliseconds(100)) {
        coordinator.tick(now);
    }
    EXPECT_EQ(
        coordinator.handle_request(self, request_for(2, 5), 3, ready).slots,
        3U);
    // A paused coordinator may have been replaced in the meantime.
    EXPECT_EQ(
        coordinator
            .handle_request(self, request_for(3, 1), 1, ready + seconds(2))
            .verdict,
        cold_verdict::waiting);
}

TEST(cold_slot_coordinator, grants_nothing_without_quorum)
{
    const auto self = core::node_id("n");
    auto coordinator = cold_slot_coordinator(self, {}, start_time);
    auto now = start_time;
    const auto others =
        std::vector{core::node_id("o"), self, core::node_id("q")};
    coordinator.set_view({others, {}}, now);
    coordinator.set_view({{self}, {}}, now);
    for (; now < start_time + seconds(10); now += milliseconds(100)) {
        coordinator.tick(now);
    }
    EXPECT_EQ(
        coordinator.handle_request(self, request_for(1, 1), 1, now).verdict,
        cold_verdict::no_quorum);
    coordinator.set_view({{self}, {core::node_id("o"), core::node_id("q")}},
                         now);
    EXPECT_EQ(
        coordinator.handle_request(self, request_for(2, 1), 1, now).verdict,
        cold_verdict::decided);
}

TEST(cold_slot_coordinator, rotates_a_single_slot_among_holders)
{
    auto fleet = cold_fleet(6, 1, 5);
    for (auto step = 0; step < 3000; ++step) {
        fleet.step();
    }
    for (const auto& node : fleet.nodes) {
        EXPECT_GT(node.completed, 0U);
    }
    EXPECT_EQ(fleet.max_in_flight, 1U);
}

TEST(cold_client, accepts_grants_only_from_the_coordinator_and_in_time)
{
    auto client = cold_client(core::node_id("n"), 1, {});
    client.set_view({{core::node_id("n"), core::node_id("s")}, {}});
    const auto demand =
        cold_client::slot_demand{core::pool_name("p"), {upstream, "", 1, 0}};
    const auto planned = client.poll({demand}, start_time);
    ASSERT_EQ(planned.requests.size(), 1U);
    const auto& sent = planned.requests[0];
    auto response = cold_slot_response();
    response.id = upstream;
    response.sequence = sent.slot_request.sequence;
    response.slots = 1;
    response.valid_for = seconds(1);
    const auto other_node = core::node_id("stranger");
    EXPECT_TRUE(std::holds_alternative<std::monostate>(
        client.on_response(other_node, response, start_time)));
    auto late = client;
    EXPECT_TRUE(std::holds_alternative<cold_client::denial>(
        late.on_response(sent.target, response, start_time + seconds(1))));
    const auto taken = std::get<cold_client::grant_change>(client.on_response(
        sent.target, response, start_time + milliseconds(900)));
    EXPECT_EQ(taken.grant.expires, start_time + seconds(1));
}

// The attempts in flight at a cold upstream, summed over all nodes, never
// exceed its capacity. This holds with lost, delayed and duplicated messages
// and with paused and restarted nodes, as long as the nodes' views differ for
// no longer than cold_timing::view_skew.
RC_GTEST_PROP(cold_slots, never_exceed_the_capacity, ())
{
    const auto capacity = *rc::gen::inRange(1, 5);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto fleet = cold_fleet(*rc::gen::inRange(1, 7), capacity, seed);
    fleet.faults = true;
    for (auto step = 0; step < 1500; ++step) {
        fleet.step();
        RC_ASSERT(fleet.in_flight() <= std::uint32_t(capacity));
    }
}

TEST(cold_slots, are_used_despite_faults)
{
    auto fleet = cold_fleet(6, 4, 11);
    fleet.faults = true;
    for (auto step = 0; step < 20000; ++step) {
        fleet.step();
    }
    auto completed = 0U;
    for (const auto& node : fleet.nodes) {
        completed += node.completed;
    }
    EXPECT_GT(completed, 100U);
    EXPECT_LE(fleet.max_in_flight, 4U);
}

} // namespace almondtiller::routing
